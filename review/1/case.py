"""Case 1: with sync_replicas, an acknowledged commit is lost by a promote.

One replica receives nothing for a while, so that the other one confirms the
commits; then the primary crashes. The replica that has the commits is busy when
it is asked for its status.
"""

import time

from review.lib import stage as stage_lib
from review.lib import sync_group

ROUTE = stage_lib.Route(database="db", service="svc")
PRIMARY, DEAF, HOLDER = "svc-1", "svc-3", "svc-2"
WRITES = 40
WRITE_INTERVAL_S = 0.05
# The replica with the commits has no free slot for this long after the crash.
BUSY_S = 1.5
FAILOVER_TIMEOUT_S = 15.0


def _check(record, folder) -> list[str]:
    with stage_lib.running(
        record=record,
        folder=folder,
        services=("svc",),
        sync_replicas=1,
        make_group=sync_group.SyncGroup,
    ) as stage:
        stage.configure(1, [ROUTE])
        stage.start()
        time.sleep(2.0)
        group = stage.groups["svc"]
        trouble = stage_lib.has_trouble()
        if trouble:
            group.endpoints[DEAF].faults.change(cut_in=frozenset({PRIMARY}))
            record.add(f"{DEAF} receives nothing from now on")
        acknowledged = _write(stage)
        if trouble:
            group.endpoints[HOLDER].has_full_queue = True
            group.endpoints[PRIMARY].kill()
            record.add(f"{PRIMARY} has crashed, {HOLDER} has no free slot")
            crashed_at = time.monotonic()
            while time.monotonic() < crashed_at + BUSY_S:
                time.sleep(0.05)
            group.endpoints[HOLDER].has_full_queue = False
            record.add(f"{HOLDER} has free slots again")
            stage_lib.wait_until(
                lambda: group.primary().running,
                FAILOVER_TIMEOUT_S,
                "a backend was promoted",
            )
            time.sleep(0.5)
        for order in stage.store.promotion_orders:
            record.add(f"POST /failover {order}")
        return _find_lost(stage, acknowledged)


def _write(stage) -> dict[str, str]:
    """Writes items, and returns the value of each acknowledged one."""
    acknowledged = {}
    sessions = [stage.connect(n, "db") for n in range(len(stage.proxies))]
    for number in range(WRITES):
        session = sessions[number % len(sessions)]
        item, value = f"item{number}", f"value{number}"
        answer = session.execute(f"WRITE {item} {value}")
        if answer[0].startswith("COMPLETE"):
            acknowledged[item] = value
        time.sleep(WRITE_INTERVAL_S)
    if len(acknowledged) < WRITES:
        raise stage_lib.StageError("writes failed before the disruption")
    return acknowledged


def _find_lost(stage, acknowledged) -> list[str]:
    primary = stage.groups["svc"].primary()
    lost = [
        item
        for item, value in acknowledged.items()
        if primary.read(item) != value
    ]
    stage.record.add(
        f"{primary.name} leads term {primary.primary_term} with "
        f"{primary.last_position()}; {len(lost)} of {len(acknowledged)} "
        "acknowledged commits are not in its log"
    )
    if not lost:
        return []
    return [
        f"LOST: {len(lost)} acknowledged commits, the first {lost[0]}, are not "
        f"in the log of {primary.name}, which was promoted"
    ]


stage_lib.run_case(__file__, _check)
