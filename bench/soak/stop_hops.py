"""Stops where statements take a hop: `python -m bench.soak.stop_hops --seed 3`.

Six proxies stand before endpoints with so few connections that one of each zone
serves them; the other one of the zone forwards to it. Proxies of a zone stop or
die in several orders while callers work on all of them. All transactions are
short enough to end before the exit. A run lists the statements that a stopping
proxy cut, and the writes that ran although their callers were told otherwise.
"""

import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

import defopt

from bench.soak import callers as callers_lib
from bench.soak import deployment as deployment_lib
from bench.soak import stops
from bronzehold.platform import local

PROXIES = 6
CONNECTIONS = 8
# An endpoint works this long on a statement.
WORK_S = (0.005, 0.25)
MAX_STATEMENTS = 4
MAX_PAUSE_S = 0.25
TRANSACTION_CALLERS = 3
STATEMENT_CALLERS = 3
LATE_CALLERS = 1
# The longest time between the signals to the two proxies of a zone.
MAX_INTERVAL_S = 3.0
# Time for the proxies to agree on the serving set.
SETTLE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """A statement with a wrong end.

    Attributes:
        statement: The statement.
        kind: What is wrong.
        sent_s: Time of sending, in seconds after SIGTERM of its proxy; None if
            that was not stopped.
    """

    statement: callers_lib.Statement
    kind: str
    sent_s: float | None


def run_short_transactions(
    caller: stops.Caller, session: local.Session
) -> None:
    """Runs short transactions until the connection ends."""
    done = callers_lib.Outcome.DONE
    while caller.working():
        begin = caller.random.choice(("BEGIN", "BEGIN", "BEGIN READ"))
        last = caller.execute(session, begin)
        for number in range(caller.random.randint(1, MAX_STATEMENTS)):
            if last.outcome is not done:
                break
            caller.pause(MAX_PAUSE_S)
            key = f"{session.name}.{session.sent_count}.{number}"
            write = begin == "BEGIN" and caller.random.random() < 0.6
            text = f"WRITE {key} 1" if write else f"READ {key}"
            last = caller.execute(session, text)
        caller.execute(
            session, "COMMIT" if last.outcome is done else "ROLLBACK"
        )


OPERATIONS = (
    (run_short_transactions, TRANSACTION_CALLERS),
    (stops.run_short_statements, STATEMENT_CALLERS),
    (stops.connect_late, LATE_CALLERS),
)


def run_seed(seed: int, folder: pathlib.Path) -> tuple[str, list[Finding]]:
    """Stops proxies of two zones; returns the order and the findings."""
    rng = random.Random(seed)
    deployment = deployment_lib.Deployment(
        folder=folder,
        proxies=PROXIES,
        seed=seed,
        stop_s=stops.STOP_S,
        work_s=rng.uniform(*WORK_S),
        slots=8,
        connections=CONNECTIONS,
    )
    deployment.configure(max_connections=CONNECTIONS)
    records = callers_lib.Records()
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        callers = _start_callers(deployment, records, seed)
        time.sleep(stops.WARM_UP_S)
        order, stopped_at, killed = _stop_zone(deployment, rng)
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.thread.join(local.ANSWER_TIMEOUT_S)
        with deployment.group.lock:
            executed = list(deployment.group.executed)
    finally:
        deployment.close()
    return order, _find(records, executed, stopped_at, killed)


def _start_callers(
    deployment: deployment_lib.Deployment,
    records: callers_lib.Records,
    seed: int,
) -> list[stops.Caller]:
    callers = [
        stops.Caller(
            proxy=proxy,
            records=records,
            name=f"{proxy.name}.{operation.__name__}.{number}",
            seed=seed,
            operation=operation,
        )
        for proxy in deployment.processes
        for operation, count in OPERATIONS
        for number in range(count)
    ]
    for caller in callers:
        caller.thread.start()
    return callers


def _stop_zone(
    deployment: deployment_lib.Deployment, rng: random.Random
) -> tuple[str, dict[str, float], set[str]]:
    """Stops or kills the proxies of two zones in random orders.

    Returns:
        The order as a text, the times of the SIGTERMs by proxy, and the killed
        proxies.
    """
    moments = []
    for zone in rng.sample((0, 1, 2), 2):
        pair = [zone, zone + 3]
        rng.shuffle(pair)
        interval_s = rng.choice((0.0, rng.uniform(0.0, MAX_INTERVAL_S)))
        second = rng.choice((signal.SIGTERM, signal.SIGKILL, None))
        moments.append((0.0, pair[0], signal.SIGTERM))
        if second is not None:
            moments.append((interval_s, pair[1], second))
    moments.sort(key=lambda moment: moment[0])
    started_at = time.monotonic()
    stopped_at = {}
    killed = set()
    for after_s, number, which in moments:
        time.sleep(max(0.0, started_at + after_s - time.monotonic()))
        proxy = deployment.processes[number]
        if which is signal.SIGKILL:
            killed.add(proxy.name)
        else:
            stopped_at[proxy.name] = time.monotonic()
        proxy.signal(which)
    for name in stopped_at:
        proxy = next(p for p in deployment.processes if p.name == name)
        proxy.wait_for_exit(stops.STOP_S + stops.EXIT_MARGIN_S)
    order = ", ".join(
        f"{which.name} p{number} +{after_s:.2f}"
        for after_s, number, which in moments
    )
    return order, stopped_at, killed


def _find(
    records: callers_lib.Records,
    executed: list,
    stopped_at: dict[str, float],
    killed: set[str],
) -> list[Finding]:
    kept = {
        run.request_id
        for run in executed
        if run.text == "COMMIT" or not run.in_transaction
    }
    ran = {run.request_id for run in executed}
    findings = []
    for statement in records.statements:
        kind = ""
        match statement.outcome:
            case callers_lib.Outcome.CONNECTION_LOST:
                if statement.proxy not in killed:
                    kind = "cut, ran" if statement.id in ran else "cut"
            case callers_lib.Outcome.NOT_RUN:
                if statement.id in kept and not statement.text.startswith("R"):
                    kind = f"told {statement.code}, ran"
        if kind:
            began = stopped_at.get(statement.proxy)
            findings.append(
                Finding(
                    statement=statement,
                    kind=kind,
                    sent_s=None if began is None else statement.sent - began,
                )
            )
    return findings


def main(*, seed: int = 1, seeds: int = 1) -> int:
    """Runs stops and prints the statements with a wrong end.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds, one run each.
    """
    failed = 0
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"hops-{current_seed}-"))
        order, findings = run_seed(current_seed, folder)
        ran = [f for f in findings if f.kind.endswith("ran")]
        failed += bool(ran)
        print(  # noqa: T201
            f"seed {current_seed}: {order}: {len(ran)} ran with a wrong end,"
            f" {len(findings) - len(ran)} more had no answer; {folder}",
            flush=True,
        )
        for finding in findings:
            statement = finding.statement
            sent = "" if finding.sent_s is None else f"{finding.sent_s:.3f}"
            print(  # noqa: T201
                f"  {finding.kind}: {statement.proxy} {statement.id}"
                f" {statement.text.split(' ')[0]} {statement.database}"
                f" sent {sent} took {statement.ended - statement.sent:.3f}",
                flush=True,
            )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
