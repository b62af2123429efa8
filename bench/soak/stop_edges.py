"""First statements just before an exit: `python -m bench.soak.stop_edges`.

Proxies without other callers are stopped. Connections that were opened before
their ports close send STARTUP and a first statement around that moment, in one
segment or a little apart. A run lists the statements without a whole answer.
"""

import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

import defopt

from bench.soak import deployment as deployment_lib
from bronzehold.core import ports
from bronzehold.platform import local
from bronzehold.platform import wire
from bronzehold.process import drain

STOP_S = 6.0
WORK_S = 0.05
CONNECTIONS_PER_PROXY = 8
# Connections are opened this long before the port closes, at most.
MAX_OPEN_BEFORE_S = 0.5
# Statements are sent from this long before the port closes until this long
# after.
SENT_BEFORE_S = 0.002
SENT_AFTER_S = 0.016
# Each connection sends this long after the first one of its proxy, at most.
SPREADS_S = (0.0, 0.0, 0.005, 0.05)
# The longest time between STARTUP and the first statement.
MAX_GAP_S = 0.3
EXIT_MARGIN_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The moments of one connection, in seconds after SIGTERM."""

    open_s: float
    startup_s: float
    query_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """The end of one connection.

    Attributes:
        id: The id of its statement.
        plan: Its planned moments.
        answer: The lines that were received.
        ended_s: The end of the connection, in seconds after SIGTERM.
    """

    id: str
    plan: Plan
    answer: tuple[str, ...]
    ended_s: float

    @property
    def answered(self) -> bool:
        """Whether the statement has a whole answer."""
        return sum(line.startswith("READY") for line in self.answer) > 1


def make_plans(rng: random.Random) -> list[Plan]:
    """Returns the moments of the connections of one proxy."""
    closes_s = drain.READINESS_NOTICE_S
    first_s = closes_s + rng.uniform(-SENT_BEFORE_S, SENT_AFTER_S)
    spread_s = rng.choice(SPREADS_S)
    plans = []
    for _ in range(CONNECTIONS_PER_PROXY):
        startup_s = first_s + rng.uniform(0.0, spread_s)
        gap_s = rng.choice((0.0, 0.0, rng.uniform(0.0, MAX_GAP_S)))
        open_s = closes_s - rng.choice((0.0, rng.random())) * MAX_OPEN_BEFORE_S
        plans.append(
            Plan(
                open_s=min(open_s, startup_s),
                startup_s=startup_s,
                query_s=startup_s + gap_s,
            )
        )
    return plans


def run_connection(
    proxy: deployment_lib.Proxy, plan: Plan, stopped_at: float, name: str
) -> Result:
    """Opens one connection, sends its statement and waits for its end."""
    lines: list[str] = []
    try:
        _wait_until(stopped_at + plan.open_s)
        with local.socket.create_connection(proxy.caller_address, 2.0) as sock:
            startup = b"STARTUP latest test\r\n"
            query = f"QUERY {name} WRITE {name} 1\r\n".encode()
            _wait_until(stopped_at + plan.startup_s)
            if plan.query_s == plan.startup_s:
                sock.sendall(startup + query)
            else:
                sock.sendall(startup)
                _wait_until(stopped_at + plan.query_s)
                sock.sendall(query)
            reader = wire.LineReader(sock=sock)
            while True:
                lines.append(reader.read_line().decode())
    except (OSError, ports.TransportError):
        pass
    return Result(
        id=name,
        plan=plan,
        answer=tuple(lines),
        ended_s=time.monotonic() - stopped_at,
    )


def _wait_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def run_seed(
    seed: int, proxies: int, folder: pathlib.Path
) -> tuple[list[Result], set[str]]:
    """Stops all proxies but one; returns the results and the ids that ran."""
    rng = random.Random(seed)
    deployment = deployment_lib.Deployment(
        folder=folder,
        proxies=proxies,
        seed=seed,
        stop_s=STOP_S,
        work_s=WORK_S,
        slots=16,
        connections=128,
    )
    deployment.configure(max_connections=128)
    results: list[Result] = []
    try:
        deployment.start()
        threads = []
        for proxy in deployment.processes[:-1]:
            proxy.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            for number, plan in enumerate(make_plans(rng)):
                name = f"{proxy.name}.{number}"
                thread = threading.Thread(
                    target=lambda *fields: results.append(
                        run_connection(*fields)
                    ),
                    args=(proxy, plan, stopped_at, name),
                )
                thread.start()
                threads.append(thread)
        for thread in threads:
            thread.join()
        for proxy in deployment.processes[:-1]:
            proxy.wait_for_exit(STOP_S + EXIT_MARGIN_S)
        with deployment.group.lock:
            ran = {e.request_id for e in deployment.group.executed}
    finally:
        deployment.close()
    return results, ran


def main(*, seed: int = 1, seeds: int = 1, proxies: int = 6) -> int:
    """Runs stops and prints the statements that ran without an answer.

    Args:
        seed: The first seed.
        seeds: Number of consecutive seeds, one run each.
        proxies: Number of proxy processes.
    """
    cut_count = 0
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"edges-{current_seed}-"))
        results, ran = run_seed(current_seed, proxies, folder)
        open_ = [r for r in results if not r.answered]
        cut = [r for r in open_ if r.id in ran]
        cut_count += len(cut)
        print(  # noqa: T201
            f"seed {current_seed}: {proxies - 1} stops, {len(results)}"
            f" statements, {len(cut)} ran and were cut,"
            f" {len(open_) - len(cut)} more had no answer; {folder}"
        )
        for result in sorted(cut, key=lambda r: r.plan.query_s):
            print(  # noqa: T201
                f"  {result.id} open {result.plan.open_s:.3f}"
                f" STARTUP {result.plan.startup_s:.3f}"
                f" QUERY {result.plan.query_s:.3f} end {result.ended_s:.3f}"
                f" {len(result.answer)} lines"
                f"{' ran' if result.id in ran else ''}"
            )
    return 1 if cut_count else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
