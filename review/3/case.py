"""Case 3: an entry that cannot be read stops every later change.

A writer other than the backends puts bytes under servers/ that cannot be read.
Then the operator removes one route and adds another one.
"""

import time

from review.lib import stage as stage_lib

# Bytes that are no complete JSON text: 4 KB of opening brackets.
STRAY_ENTRY = b"[" * 4000
OLD_ROUTE = stage_lib.Route(database="old", service="svc")
NEW_ROUTE = stage_lib.Route(database="new", service="svc")
# Requests are sent this long after the bound has passed.
MARGIN_S = 1.0
RECOVERY_CHECK_S = 4.0


def _check(record, folder) -> list[str]:
    with stage_lib.running(
        record=record, folder=folder, services=("svc",)
    ) as stage:
        stage.configure(1, [OLD_ROUTE])
        stage.start()
        time.sleep(2.0)
        sessions = []
        for number in range(len(stage.proxies)):
            session = stage.connect(number, "old")
            answer = session.execute(f"WRITE item{number} before")
            if not answer[0].startswith("COMPLETE"):
                raise stage_lib.StageError("no service before the disruption")
            sessions.append(session)
        if stage_lib.has_trouble():
            stage.store.put("servers/i-0badc0de", STRAY_ENTRY)
            record.add("another writer has put servers/i-0badc0de")
        time.sleep(1.0)
        confirmed_at = stage.configure(5, [NEW_ROUTE])
        time.sleep(stage_lib.CONFIG_APPLY_S + MARGIN_S)
        broken = []
        for number, session in enumerate(sessions):
            broken += _check_proxy(stage, number, session, confirmed_at)
        broken += _check_recovery(stage)
        stage.dump_runs()
        return broken


def _check_proxy(stage, number, session, confirmed_at) -> list[str]:
    broken = []
    late_s = time.monotonic() - confirmed_at
    when = f"{late_s:.1f} s after the confirmation of version 5"
    name = stage.proxies[number].name
    request_id = session.send(f"WRITE item{number} after")
    answer = session.read_answer()
    stage.record.add(f"{request_id} answered {answer}")
    if stage.runs(request_id):
        broken.append(
            f"CONFIG: {name} ran {request_id} with a dropped route, {when}"
        )
    welcome = stage.connect(number, "new").welcome
    if "NODATABASE" in welcome:
        broken.append(
            f"CONFIG: {name} refused the route that is there, {when}: {welcome}"
        )
    return broken


def _check_recovery(stage) -> list[str]:
    """Kills all proxies once and checks that requests are served again."""
    for proxy in stage.proxies:
        proxy.kill()
    stage.record.add("all proxies were killed")
    for proxy in stage.proxies:
        proxy.start()
    stage.record.add("all proxies were started again")
    time.sleep(stage_lib.RECOVERY_S + 1.0)
    sent = served = 0
    end = time.monotonic() + RECOVERY_CHECK_S
    while time.monotonic() < end:
        for number in range(len(stage.proxies)):
            sent += 1
            try:
                session = stage.connect(number, "new")
                answer = session.execute("WRITE item recovered")
                served += answer[0].startswith("COMPLETE")
                session.close()
            except OSError as exc:
                stage.record.add(f"no answer: {type(exc).__name__}")
        time.sleep(0.2)
    ready = sum(proxy.is_ready() for proxy in stage.proxies)
    stage.record.add(f"after recovery_s: {served} of {sent}, {ready} ready")
    if 4 * served < sent:
        return [f"RECOVER: {served} of {sent} served, {ready} proxies ready"]
    return []


stage_lib.run_case(__file__, _check)
