"""Case 4: a prepared write runs with changed data.

Clients write data whose last field ends with blanks, once as plain text and
once through a prepared name.
"""

import time

from review.lib import stage as stage_lib

ROUTE = stage_lib.Route(database="db", service="svc")
# A record of fixed width, filled up with blanks.
PADDED = "SHRED     "
UNPADDED = "SHRED....."


def _check(record, folder) -> list[str]:
    data = PADDED if stage_lib.has_trouble() else UNPADDED
    with stage_lib.running(
        record=record, folder=folder, services=("svc",)
    ) as stage:
        stage.configure(1, [ROUTE])
        stage.start()
        time.sleep(2.0)
        broken = []
        for number in range(len(stage.proxies)):
            broken += _check_proxy(stage, number, data)
        stage.dump_runs()
        return broken


def _check_proxy(stage, number: int, data: str) -> list[str]:
    session = stage.connect(number, "db")
    plain = f"WRITE plain{number} {data}"
    _check_success(session.execute(plain))
    _check_success(session.execute("PARSE s1 WRITE q2c"))
    request_id = session.send(f"EXECUTE s1 prepared{number} {data}")
    answer = session.read_answer()
    stage.record.add(f"{request_id} answered {answer}")
    _check_success(answer)
    session.close()
    primary = stage.groups["svc"].primary()
    stored = {
        name: primary.read(f"{name}{number}") for name in ("plain", "prepared")
    }
    stage.record.add(f"sent {data!r}, stored {stored}")
    if stored["plain"] != data:
        raise stage_lib.StageError("the plain write was changed as well")
    if stored["prepared"] == data:
        return []
    (run,) = stage.runs(request_id)
    return [
        f"UNASKED: {request_id} was sent with the data {data!r} and ran at "
        f"{run.endpoint} as {run.text!r}; the client got a success with MAC"
    ]


def _check_success(answer: list[str]) -> None:
    if not answer[0].startswith("COMPLETE"):
        raise stage_lib.StageError(f"a write failed: {answer}")


stage_lib.run_case(__file__, _check)
