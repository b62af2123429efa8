"""Case 2: after a rolling restart and a kill, no proxy may fail over.

The proxies are stopped and started in turn, the one that may order a change of
the primary last. Later all proxies are killed and started again, and the
primary is lost at the same time.
"""

import json
import signal
import time

from review.lib import stage as stage_lib

ROUTE = stage_lib.Route(database="db", service="svc")
KIND_BOUNDED = stage_lib.Route(
    database="bounded", service="svc", kind="bounded_staleness"
)
DOWN_S = 1.0
CHECK_S = 10.0
CHECK_INTERVAL_S = 0.25
MAX_STOP_S = 10.0


def _holder(stage) -> str:
    """Returns the name of the proxy that may order changes of the primary."""
    value = stage.store.value("bronzehold/groups/svc")
    if value is None:
        return ""
    return json.loads(value)["holder"].partition("/")[0]


def _restart_in_turn(stage) -> None:
    stage_lib.wait_until(lambda: _holder(stage), 10.0, "a proxy holds the duty")
    first_holder = _holder(stage)
    order = sorted(stage.proxies, key=lambda p: p.name == first_holder)
    for proxy in order:
        stage.record.add(f"SIGTERM to {proxy.name}, {_holder(stage)} holds")
        proxy.signal(signal.SIGTERM)
        stage_lib.wait_until(
            lambda proxy=proxy: proxy.exit_code() is not None,
            MAX_STOP_S,
            "the proxy has stopped",
        )
        proxy.start()
        stage_lib.wait_until(proxy.is_ready, MAX_STOP_S, "it is ready again")
        time.sleep(1.0)
    stage.record.add(f"rolling restart done, {_holder(stage)} holds")


def _check(record, folder) -> list[str]:
    with stage_lib.running(
        record=record, folder=folder, services=("svc",)
    ) as stage:
        stage.configure(1, [ROUTE, KIND_BOUNDED])
        stage.start()
        time.sleep(2.0)
        _restart_in_turn(stage)
        time.sleep(5.0)
        sent, served = _send_requests(stage, 2.0)
        record.add(f"before the final fault: {served} of {sent} served")
        if served < sent:
            raise stage_lib.StageError("no full service before the fault")
        group = stage.groups["svc"]
        lost = group.primary()
        if stage_lib.has_trouble():
            for proxy in stage.proxies:
                proxy.signal(signal.SIGKILL)
            record.add("all proxies were killed")
        lost.kill()
        record.add(f"the primary {lost.name} is lost for good")
        time.sleep(DOWN_S)
        if stage_lib.has_trouble():
            for proxy in stage.proxies:
                proxy.start()
            record.add("all proxies were started again")
        # Its entry ends after three intervals of heartbeats.
        time.sleep(3.6)
        stage.store.remove(f"servers/{lost.name}")
        record.add(f"the entry of {lost.name} has expired")
        time.sleep(stage_lib.RECOVERY_S + 1.0 - 3.6)
        sent, served = _send_requests(stage, CHECK_S)
        for order in stage.store.promotion_orders:
            record.add(f"POST /failover {order}")
        record.add(
            f"later than recovery_s: {served} of {sent} served; "
            f"{len(stage.store.promotion_orders)} calls of /failover; "
            f"{sum(p.is_ready() for p in stage.proxies)} proxies ready; "
            f"{_holder(stage)} holds"
        )
        if 4 * served < sent:
            return [
                f"RECOVER: {served} of {sent} served, though two backends run"
            ]
        return []


def _send_requests(stage, seconds: float) -> tuple[int, int]:
    """Sends reads and writes; returns how many were sent and served."""
    sent = served = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for number in range(len(stage.proxies)):
            for database, text in (
                ("db", "WRITE item value"),
                ("db", "READ item"),
                ("bounded", "READ item"),
            ):
                sent += 1
                try:
                    session = stage.connect(number, database)
                    answer = session.execute(text)
                    served += answer[-2].startswith("COMPLETE")
                    session.close()
                except OSError as exc:
                    stage.record.add(f"no answer: {type(exc).__name__}")
        time.sleep(CHECK_INTERVAL_S)
    return sent, served


stage_lib.run_case(__file__, _check)
