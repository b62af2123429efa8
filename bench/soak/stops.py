"""Stops several proxies at once: `python -m bench.soak.stops --seed 7`.

The callers do what a planned stop has to cope with: they hold transactions open
and pause in them, connect in the last moment, and send statements that take
most of their timeout. A run lists the statements that were read by a proxy and
whose connection ended without a whole answer.
"""

import collections.abc
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

import defopt

from bench.soak import callers as callers_lib
from bench.soak import deployment as deployment_lib
from bronzehold.platform import local

STOP_S = 6.0
# Time of the callers' work before the first stop.
WARM_UP_S = 1.0
# Longest time between two stops that overlap.
MAX_STOP_INTERVAL_S = 1.2
# An endpoint works this long on a statement, below the timeout of 0.8 s.
WORK_S = (0.02, 0.25)
HOLDERS_PER_PROXY = 6
SHORT_CALLERS_PER_PROXY = 3
LATE_CALLERS_PER_PROXY = 2
MAX_STATEMENTS = 12
MAX_PAUSE_S = 1.0
RECONNECT_DELAY_S = 0.01
EXIT_MARGIN_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
    """A statement whose connection ended without a whole answer.

    Attributes:
        statement: The statement.
        ran: Whether an endpoint executed it.
        sent_s: Time of sending, in seconds after SIGTERM.
        cut_s: Time of the end of its connection, in seconds after SIGTERM.
    """

    statement: callers_lib.Statement
    ran: bool
    sent_s: float
    cut_s: float


class Caller:
    """A thread that works on one proxy until that accepts no connection."""

    def __init__(
        self,
        *,
        proxy: deployment_lib.Proxy,
        records: callers_lib.Records,
        name: str,
        seed: int,
        operation: collections.abc.Callable[["Caller", local.Session], None],
    ):
        self._proxy = proxy
        self._records = records
        self._operation = operation
        self._name = name
        self._sessions = 0
        self._done = threading.Event()
        self.random = random.Random(f"{seed}/{name}")
        self.database = self.random.choice(sorted(local.DATABASES))
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._done.is_set():
            self._sessions += 1
            name = f"{self._name}.{self._sessions}"
            try:
                session = local.connect(
                    self._proxy.caller_address, self.database, name
                )
            except callers_lib.CONNECTION_ERRORS:
                time.sleep(RECONNECT_DELAY_S)
                continue
            try:
                self._operation(self, session)
            except callers_lib.CONNECTION_ERRORS:
                continue
            finally:
                session.sock.close()

    def stop(self) -> None:
        """Ends the thread after its present operation."""
        self._done.set()

    def working(self) -> bool:
        """Returns whether the thread is to go on after an operation."""
        return not self._done.is_set()

    def execute(
        self, session: local.Session, text: str
    ) -> callers_lib.Statement:
        """Sends a statement and records its answer, or that there was none."""
        return callers_lib.execute(
            session,
            text,
            records=self._records,
            proxy=self._proxy.name,
            database=self.database,
        )

    def pause(self, longest_s: float) -> None:
        """Pauses for a random time."""
        time.sleep(self.random.uniform(0.0, longest_s))


def hold_transactions(caller: Caller, session: local.Session) -> None:
    """Runs long transactions with pauses, until the connection ends."""
    done = callers_lib.Outcome.DONE
    while caller.working():
        begin = caller.random.choice(("BEGIN", "BEGIN", "BEGIN READ"))
        last = caller.execute(session, begin)
        for number in range(caller.random.randint(2, MAX_STATEMENTS)):
            if last.outcome is not done:
                break
            caller.pause(MAX_PAUSE_S)
            key = f"{session.name}.{session.sent_count}.{number}"
            write = begin == "BEGIN" and caller.random.random() < 0.5
            text = f"WRITE {key} 1" if write else f"READ {key}"
            last = caller.execute(session, text)
        caller.execute(
            session, "COMMIT" if last.outcome is done else "ROLLBACK"
        )


def run_short_statements(caller: Caller, session: local.Session) -> None:
    """Runs single statements with short pauses, until the connection ends."""
    while caller.working():
        key = f"{session.name}.{session.sent_count}"
        write = caller.random.random() < 0.5
        caller.execute(session, f"WRITE {key} 1" if write else f"READ {key}")
        caller.pause(0.1)


def connect_late(caller: Caller, session: local.Session) -> None:
    """Runs one statement on a connection of its own."""
    caller.execute(session, f"WRITE {session.name} 1")


OPERATIONS = (
    (hold_transactions, HOLDERS_PER_PROXY),
    (run_short_statements, SHORT_CALLERS_PER_PROXY),
    (connect_late, LATE_CALLERS_PER_PROXY),
)


def run_seed(seed: int, proxies: int, folder: pathlib.Path) -> list[Cut]:
    """Stops all proxies but one within a moment; returns the cut statements."""
    rng = random.Random(seed)
    deployment = deployment_lib.Deployment(
        folder=folder,
        proxies=proxies,
        seed=seed,
        stop_s=STOP_S,
        work_s=rng.uniform(*WORK_S),
        slots=8,
        connections=64,
    )
    deployment.configure(max_connections=64)
    records = callers_lib.Records()
    try:
        deployment.start()
        callers = _start_callers(deployment, records, seed)
        time.sleep(WARM_UP_S)
        stopped_at = _stop_most(deployment, rng)
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.thread.join(local.ANSWER_TIMEOUT_S)
        with deployment.group.lock:
            ran = {e.request_id for e in deployment.group.executed}
    finally:
        deployment.close()
    return _find_cuts(records, ran, stopped_at)


def _start_callers(
    deployment: deployment_lib.Deployment,
    records: callers_lib.Records,
    seed: int,
) -> list[Caller]:
    callers = [
        Caller(
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


def _stop_most(
    deployment: deployment_lib.Deployment, rng: random.Random
) -> dict[str, float]:
    """Stops all proxies but the last; returns the times of the SIGTERMs."""
    stopped_at = {}
    for proxy in deployment.processes[:-1]:
        stopped_at[proxy.name] = time.monotonic()
        proxy.signal(signal.SIGTERM)
        time.sleep(rng.uniform(0.0, MAX_STOP_INTERVAL_S))
    for proxy in deployment.processes[:-1]:
        proxy.wait_for_exit(STOP_S + EXIT_MARGIN_S)
    return stopped_at


def _find_cuts(
    records: callers_lib.Records,
    ran: set[str],
    stopped_at: dict[str, float],
) -> list[Cut]:
    return [
        Cut(
            statement=statement,
            ran=statement.id in ran,
            sent_s=statement.sent - stopped_at[statement.proxy],
            cut_s=statement.ended - stopped_at[statement.proxy],
        )
        for statement in records.statements
        if statement.outcome is callers_lib.Outcome.CONNECTION_LOST
        and statement.proxy in stopped_at
    ]


def main(*, seed: int = 1, seeds: int = 1, proxies: int = 4) -> int:
    """Runs stops and prints the statements that they cut.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds, one run each.
        proxies: Number of proxy processes.
    """
    failed = 0
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"stops-{current_seed}-"))
        cuts = run_seed(current_seed, proxies, folder)
        ran = [cut for cut in cuts if cut.ran]
        failed += bool(ran)
        print(  # noqa: T201
            f"seed {current_seed}: {len(ran)} statements ran and were cut,"
            f" {len(cuts) - len(ran)} more had no answer; {folder}"
        )
        for cut in sorted(cuts, key=lambda cut: cut.sent_s):
            print(  # noqa: T201
                f"  {cut.statement.proxy} {cut.statement.id}"
                f" {cut.statement.text.split(' ')[0]}"
                f" {cut.statement.database} sent {cut.sent_s:.3f}"
                f" cut {cut.cut_s:.3f}{' ran' if cut.ran else ''}"
            )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
