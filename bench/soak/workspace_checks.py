"""Checks of workspaces, keys and limits.

Each check compares what callers sent and were told with what the endpoints
executed, and returns one line for each violated guarantee. The module does no
I/O.
"""

import collections
import collections.abc

from bench.soak import records as records_lib
from bronzehold.platform import standin_group

# Time within which a withdrawn key has to be out of use, in seconds.
WITHDRAWAL_S = 6.0
# The bound of a workspace's operations in any window, see
# docs/design/workspace-limits.md.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
REFUSALS = ("DENIED", "BUSY")

_Executions = collections.abc.Sequence[standin_group.ExecutedStatement]
_Requested = collections.abc.Mapping[str, records_lib.Statement]


def check(
    executions: _Executions,
    requested: collections.abc.Iterable[records_lib.Statement],
    workspaces: collections.abc.Sequence[records_lib.Workspace],
    withdrawals: collections.abc.Sequence[records_lib.Withdrawal],
) -> list[str]:
    """Runs all checks and returns the violations.

    Args:
        executions: The statements that the endpoints executed.
        requested: The statements of all callers.
        workspaces: The workspaces of the configuration; without any, nothing
            is checked.
        withdrawals: The times at which keys were not in the configuration.
    """
    if not workspaces:
        return []
    by_id = {statement.id: statement for statement in requested}
    return [
        *_check_owners(executions, by_id, workspaces),
        *_check_withdrawals(executions, by_id, withdrawals),
        *_check_refusals(executions, by_id),
        *_check_limits(executions, by_id, workspaces),
    ]


def _check_owners(
    executions: _Executions,
    requested: _Requested,
    workspaces: collections.abc.Iterable[records_lib.Workspace],
) -> list[str]:
    """Checks that each statement ran in the workspace of its caller's key."""
    owners = {key: w.name for w in workspaces for key in w.keys}
    return [
        f"{run.request_id} ran on {run.endpoint} as {run.client!r}, its key"
        f" {statement.access_key} is of {owners.get(statement.access_key)}"
        for run in executions
        if (statement := requested.get(run.request_id))
        and run.client != owners.get(statement.access_key)
    ]


def _check_withdrawals(
    executions: _Executions,
    requested: _Requested,
    withdrawals: collections.abc.Sequence[records_lib.Withdrawal],
) -> list[str]:
    """Checks that withdrawn keys were out of use in time."""
    return [
        f"{run.request_id} ran on {run.endpoint} via {statement.proxy},"
        f" {run.executed_at - withdrawal.began:.2f} s after its key"
        f" {withdrawal.key} was withdrawn"
        for run in executions
        if (statement := requested.get(run.request_id))
        for withdrawal in withdrawals
        if withdrawal.key == statement.access_key
        and withdrawal.began + WITHDRAWAL_S < run.executed_at < withdrawal.ended
    ]


def _check_refusals(
    executions: _Executions, requested: _Requested
) -> list[str]:
    """Checks that no refused statement was executed."""
    return [
        f"{run.request_id} {run.text} ran on {run.endpoint}, but was answered"
        f" {statement.code} by {statement.proxy}"
        for run in executions
        if (statement := requested.get(run.request_id))
        and statement.code in REFUSALS
    ]


def _check_limits(
    executions: _Executions,
    requested: _Requested,
    workspaces: collections.abc.Iterable[records_lib.Workspace],
) -> list[str]:
    """Checks that each workspace stayed within its limit."""
    violations = []
    for workspace in workspaces:
        if workspace.rate_per_s is None:
            continue
        count, began = busiest_window(executions, requested, workspace.name)
        bound = limit_bound(workspace)
        if count > bound:
            violations.append(
                f"{workspace.name} ran {count} operations in the {WINDOW_S} s"
                f" from {began:.2f}, {bound:.1f} are permitted"
            )
    return violations


def limit_bound(workspace: records_lib.Workspace) -> float:
    """Returns the operations that a workspace may run in any window."""
    granted = workspace.rate_per_s * WINDOW_S + workspace.burst
    return granted * (1 + OVERAGE) + SLACK


def busiest_window(
    executions: _Executions, requested: _Requested, workspace: str
) -> tuple[int, float]:
    """Returns the most operations of a workspace in a window, and its start.

    A transaction is one operation, and so is a statement that ran twice.
    """
    started: dict[object, float] = {}
    for run in executions:
        if run.client == workspace:
            statement = requested.get(run.request_id)
            operation: object = run.request_id
            if statement and statement.transaction_began is not None:
                operation = statement.session, statement.transaction_began
            first = started.get(operation, run.executed_at)
            started[operation] = min(first, run.executed_at)
    window: collections.deque[float] = collections.deque()
    busiest = (0, 0.0)
    for time_s in sorted(started.values()):
        window.append(time_s)
        while window[0] < time_s - WINDOW_S:
            window.popleft()
        busiest = max(busiest, (len(window), window[0]))
    return busiest
