"""Runs the soak: `python -m bench.soak.run --seed 7 --seconds 30 --seeds 5`.

Each run starts a deployment and callers, injects faults from one seed, and
checks that all proxies recover and that the answers and the executed statements
violate no guarantee.
"""

import dataclasses
import pathlib
import sys
import tempfile
import threading
import time

import defopt

from bench.soak import callers as callers_lib
from bench.soak import checks
from bench.soak import deployment as deployment_lib
from bench.soak import fault_journal
from bench.soak import faults as faults_lib
from bench.soak import process_faults
from bench.soak import records as records_lib
from bench.soak import recovery
from bench.soak import scenarios
from bench.soak import stop_series
from bench.soak import workspace_checks
from bench.soak import workspaces as workspaces_lib
from bronzehold.core import promotion_events

# Time without faults after the callers start.
WARM_UP_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        seed: The seed of the faults and of the callers.
        faults: The descriptions of the injected faults, in order.
        served: The number of statements that succeeded.
        unanswered: The descriptions of the statements that no endpoint executed
            and whose connections ended; they violate nothing.
        violations: The descriptions of all violated guarantees.
    """

    seed: int
    faults: tuple[str, ...]
    served: int
    unanswered: tuple[str, ...]
    violations: tuple[str, ...]


def run_seed(
    seed: int,
    seconds: float,
    proxies: int,
    folder: pathlib.Path,
    scenario: scenarios.Scenario = scenarios.FAULTS,
) -> Report:
    """Runs callers while faults from one seed occur, and checks the result."""
    deployment = deployment_lib.Deployment(
        folder=folder,
        proxies=proxies,
        seed=seed,
        **scenarios.deployment_fields(scenario, seed),
    )
    try:
        deployment.configure()
        deployment.start()
        records = records_lib.Records()
        callers = scenarios.create_callers(scenario, deployment, records, seed)
        for caller in callers:
            caller.thread.start()
        time.sleep(WARM_UP_S)
        journal = fault_journal.FaultJournal()
        _inject_faults(
            scenario, deployment, journal, records, seed=seed, seconds=seconds
        )
        violations = recovery.find_unrecovered(deployment, records)
        violations += recovery.find_outdated(deployment)
        callers_lib.finish(callers)
        violations += _check(deployment, records, journal)
    finally:
        deployment.close()
    done = records_lib.Outcome.DONE
    return Report(
        seed=seed,
        faults=tuple(journal.injected),
        served=sum(s.outcome is done for s in records.statements),
        unanswered=_find_unanswered(deployment, records, journal),
        violations=tuple(violations),
    )


def _inject_faults(
    scenario: scenarios.Scenario,
    deployment: deployment_lib.Deployment,
    journal: fault_journal.FaultJournal,
    records: records_lib.Records,
    *,
    seed: int,
    seconds: float,
) -> None:
    processes = process_faults.ProcessFaults(
        deployment=deployment, journal=journal
    )
    workspaces = workspaces_lib.WorkspaceFaults(
        deployment=deployment, journal=journal, records=records
    )
    faults = faults_lib.FaultInjector(
        deployment=deployment,
        processes=processes,
        journal=journal,
        workspaces=workspaces,
        seed=seed,
    )
    stops = threading.Thread(
        target=stop_series.run, args=(processes, seed, seconds), daemon=True
    )
    if scenario.stops:
        stops.start()
    if scenario.faults:
        faults.run(seconds)
    if scenario.stops:
        stops.join()


def _check(
    deployment: deployment_lib.Deployment,
    records: records_lib.Records,
    journal: fault_journal.FaultJournal,
) -> list[str]:
    group = deployment.group
    limit_s = deployment.processes[0].stop_s + process_faults.STOP_MARGIN_S
    with group.lock:
        return [
            *checks.check_run(
                list(group.primary().log),
                list(group.executed),
                records,
                list(deployment.store.promotion_orders),
                journal.exits,
                promoted=group.term > 1,
            ),
            *workspace_checks.check(
                list(group.executed),
                records.statements,
                deployment.workspaces,
                journal.withdrawals,
            ),
            *checks.check_exits(journal.exits, limit_s),
            *checks.check_won_tokens(
                line
                for proxy in deployment.processes
                for line in proxy.log_lines()
                if promotion_events.TokenWon.__name__ in line
            ),
        ]


def _find_unanswered(
    deployment: deployment_lib.Deployment,
    records: records_lib.Records,
    journal: fault_journal.FaultJournal,
) -> tuple[str, ...]:
    executed = {e.request_id for e in deployment.group.executed}
    return tuple(
        checks.describe_cut(cut, journal.exits)
        for cut in checks.find_cuts(records.statements, journal.exits)
        if cut.id not in executed
    )


def main(
    *,
    seed: int = 1,
    seconds: float = 30.0,
    proxies: int = 0,
    seeds: int = 1,
    scenario: str = "all",
    verbose: bool = False,
) -> int:
    """Runs the soak and prints its results.

    Args:
        seed: The first seed.
        seconds: Duration of the faults in each run.
        proxies: Number of proxy processes, 0 for that of the scenario.
        seeds: Number of consecutive seeds, one run each.
        scenario: The kind of the runs: "faults" for random faults, "stops" for
            planned stops of several proxies, "all" for both, "returns" for
            random faults and a store that returns from older copies,
            "workspaces" for keys and limits of workspaces.
        verbose: Whether to print the unanswered statements that did not run.
    """
    failed = 0
    for current_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{current_seed}-"))
        chosen = scenarios.BY_NAME[scenario]
        count = proxies or chosen.proxies
        report = run_seed(current_seed, seconds, count, folder, chosen)
        print(  # noqa: T201
            f"seed {current_seed}: {report.served} served,"
            f" {len(report.faults)} faults,"
            f" {len(report.unanswered)} not run and not answered,"
            f" {len(report.violations)} violations"
        )
        if verbose:
            for cut in report.unanswered:
                print(f"  {cut}")  # noqa: T201
        if report.violations:
            failed += 1
            print(*report.faults, *report.violations, folder, sep="\n  ")  # noqa: T201
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
