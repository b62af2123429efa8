"""Runs the soak: `python -m bench.soak.run --seed 7 --seconds 30 --seeds 5`.

Each run starts a deployment and callers, injects faults from one seed, and
checks that all proxies recover and that the answers and the executed statements
violate no guarantee.
"""

import dataclasses
import pathlib
import sys
import tempfile
import time

import defopt

from bench.soak import callers as callers_lib
from bench.soak import checks
from bench.soak import deployment as deployment_lib
from bench.soak import faults as faults_lib
from bronzehold.platform import local

CALLER_COUNT = 8
# Time within which all proxies must accept writes after the last fault.
RECOVERY_TIMEOUT_S = 12.0
# The time for a confirmed configuration to be in force, in seconds.
CONFIG_APPLY_S = 3.0
# Time without faults after the callers start.
WARM_UP_S = 1.0
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        seed: The seed of the faults and of the callers.
        faults: The descriptions of the injected faults, in order.
        served: The number of statements that succeeded.
        violations: The descriptions of all violated guarantees.
    """

    seed: int
    faults: tuple[str, ...]
    served: int
    violations: tuple[str, ...]


def run_seed(
    seed: int, seconds: float, proxies: int, folder: pathlib.Path
) -> Report:
    """Runs callers while faults from one seed occur, and checks the result."""
    deployment = deployment_lib.Deployment(
        folder=folder, proxies=proxies, seed=seed
    )
    try:
        deployment.start()
        records = callers_lib.Records()
        callers = [
            callers_lib.Caller(
                deployment=deployment, records=records, number=n, seed=seed
            )
            for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.thread.start()
        time.sleep(WARM_UP_S)
        faults = faults_lib.FaultInjector(deployment=deployment, seed=seed)
        faults.run(seconds)
        violations = _find_unrecovered(deployment, records)
        violations += _find_outdated(deployment)
        for caller in callers:
            caller.stop_event.set()
        for caller in callers:
            caller.thread.join(2 * local.ANSWER_TIMEOUT_S)
        group = deployment.group
        with group.lock:
            violations += checks.check_run(
                list(group.primary().log),
                list(group.executed),
                records,
                list(deployment.store.promotion_orders),
                promoted=group.term > 1,
            )
    finally:
        deployment.close()
    done = callers_lib.Outcome.DONE
    return Report(
        seed=seed,
        faults=tuple(faults.injected),
        served=sum(s.outcome is done for s in records.statements),
        violations=tuple(violations),
    )


def _find_unrecovered(
    deployment: deployment_lib.Deployment, records: callers_lib.Records
) -> list[str]:
    """Returns a violation for each proxy that does not recover in time."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    return [
        f"{proxy.name} does not serve again after {RECOVERY_TIMEOUT_S} s"
        for proxy in deployment.processes
        if not _wait_until_serving(proxy, records, deadline)
    ]


def _find_outdated(deployment: deployment_lib.Deployment) -> list[str]:
    """Returns a violation for each proxy that misses a new configuration."""
    marker = "marker"
    deployment.configure(marker=marker)
    deadline = time.monotonic() + CONFIG_APPLY_S
    return [
        f"{proxy.name} has no added route {CONFIG_APPLY_S} s after it"
        for proxy in deployment.processes
        if not _wait_until_routed(proxy, marker, deadline)
    ]


def _wait_until_routed(
    proxy: deployment_lib.Proxy, database: str, deadline: float
) -> bool:
    while True:
        try:
            local.connect(proxy.caller_address, database).sock.close()
            return True
        except callers_lib.CONNECTION_ERRORS:
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_INTERVAL_S)


def _wait_until_serving(
    proxy: deployment_lib.Proxy, records: callers_lib.Records, deadline: float
) -> bool:
    attempts = 0
    while time.monotonic() < deadline:
        attempts += 1
        name = f"recovery.{proxy.name}.{attempts}"
        try:
            session = local.connect(proxy.caller_address, "own", name)
            with session.sock:
                statement = callers_lib.execute(
                    session,
                    "WRITE recovery 1",
                    records=records,
                    proxy=proxy.name,
                    database="own",
                )
        except callers_lib.CONNECTION_ERRORS:
            time.sleep(POLL_INTERVAL_S)
            continue
        if statement.outcome is callers_lib.Outcome.DONE:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def main(
    *, seed: int = 1, seconds: float = 30.0, proxies: int = 3, seeds: int = 1
) -> int:
    """Runs the soak and prints its results.

    Args:
        seed: The first seed.
        seconds: Duration of the faults in each run.
        proxies: Number of proxy processes.
        seeds: Number of consecutive seeds, one run each.
    """
    failed = 0
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{current_seed}-"))
        report = run_seed(current_seed, seconds, proxies, folder)
        print(
            f"seed {current_seed}: {report.served} served,",
            len(report.faults),
            "faults",
        )  # noqa: T201
        if report.violations:
            failed += 1
            print(*report.faults, *report.violations, folder, sep="\n  ")  # noqa: T201
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
