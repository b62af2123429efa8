"""Compares the answers that callers received with what the endpoints executed.

Each check takes the records of a finished run and returns one line for each
violated guarantee. The module does no I/O.

A statement that an endpoint executed must be answered (rule LOST). Callers
connect to the proxies directly, so only the end of the proxy's process explains
a connection that ends without an answer, and of its ends only one without
notice: a statement does not count if its proxy was killed while it was under
way. Nothing else excuses it:

- a planned stop: the proxy has to answer what it has sent on;
- a stop that takes too long and that SIGKILL ends: the platform does the same;
- SIGHUP, and a paused proxy, which goes on where it was;
- an endpoint that was killed, froze or lost its answer, and a reset, silent or
  slow link between proxy and endpoint or store: the proxy has to tell the
  caller that the outcome is in doubt;
- any fault of another proxy.

A statement that no endpoint executed may never have been read.
"""

import bisect
import collections
import collections.abc
import contextlib
import json

from bench.soak import records as records_lib
from bronzehold.core import promotion_events
from bronzehold.core import statements
from bronzehold.platform import standin_group

# The permitted staleness of reads by database name, as configured in
# bronzehold.platform.local.DATABASES.
MAX_AGE_S = {"latest": 0.0, "bounded": 1.5, "own": 2.5}
# Error codes that promise that nothing is kept.
PROMISE_CODES = (
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "CONNLIMIT",
)


def check_run(
    log: collections.abc.Sequence[standin_group.LogEntry],
    executions: collections.abc.Sequence[standin_group.ExecutedStatement],
    records: records_lib.Records,
    orders: collections.abc.Sequence[tuple[str, str, str, int]],
    exits: collections.abc.Sequence[records_lib.ProxyExit] = (),
    *,
    promoted: bool,
) -> list[str]:
    """Runs all checks and returns the violations.

    Args:
        log: The log of the last primary.
        executions: The statements that the endpoints executed.
        records: The statements and writes of all callers.
        orders: The requested promotions: service, endpoint, holder and token.
        exits: The exits of proxies that the run has caused.
        promoted: Whether a promotion may have discarded writes.
    """
    positions = _positions_by_key(log)
    return [
        *check_writes(positions, records.writes, promoted=promoted),
        *check_reads(positions, executions, records),
        *check_statements(executions, records.statements),
        *check_promises(positions, records.statements),
        *check_lost(executions, records.statements, exits),
        *check_tokens(orders),
    ]


def _positions_by_key(
    log: collections.abc.Sequence[standin_group.LogEntry],
) -> dict[str, list[statements.LogPosition]]:
    positions = collections.defaultdict(list)
    for entry in log:
        for key, _ in entry.writes:
            positions[key].append(entry.position)
    return positions


def check_writes(
    positions: dict[str, list[statements.LogPosition]],
    writes: collections.abc.Iterable[records_lib.Write],
    *,
    promoted: bool,
) -> list[str]:
    """Checks that each write is applied as often as its outcome permits.

    No write is applied twice. A write that was reported as not run is not
    applied. An acknowledged write is applied, unless a promotion may have
    discarded it.
    """
    violations = []
    for write in writes:
        applied_count = len(positions.get(write.key, ()))
        if applied_count > 1:
            violations.append(f"{write.key} was applied {applied_count} times")
        if applied_count and write.outcome is records_lib.Outcome.NOT_RUN:
            violations.append(
                f"{write.key} was applied, but reported as not run"
            )
        acknowledged = write.outcome is records_lib.Outcome.DONE
        if acknowledged and not applied_count and not promoted:
            violations.append(f"{write.key} was acknowledged and is lost")
    return violations


class _AcknowledgedPositions:
    """The highest acknowledged log position at any time."""

    def __init__(
        self,
        positions: dict[str, list[statements.LogPosition]],
        writes: collections.abc.Iterable[records_lib.Write],
    ):
        self._times: list[float] = []
        self._highest: list[statements.LogPosition] = []
        acknowledged = [
            w for w in writes if w.outcome is records_lib.Outcome.DONE
        ]
        for write in sorted(acknowledged, key=lambda w: w.ended):
            # A write that a promotion discarded has no position, and reads
            # need not include it.
            for position in positions.get(write.key, ())[:1]:
                last = self._highest[-1] if self._highest else position
                self._times.append(write.ended)
                self._highest.append(max(last, position))

    def highest_before(self, time_s: float) -> statements.LogPosition | None:
        """Returns the highest position acknowledged before a time."""
        index = bisect.bisect_left(self._times, time_s)
        return self._highest[index - 1] if index else None


def check_reads(
    positions: dict[str, list[statements.LogPosition]],
    executions: collections.abc.Iterable[standin_group.ExecutedStatement],
    records: records_lib.Records,
) -> list[str]:
    """Checks that each read ran on a log that was fresh enough.

    A read includes all writes that were acknowledged longer ago than the
    staleness that its database permits. Reads of "own" also include all earlier
    acknowledged writes of their session.
    """
    all_acknowledged = _AcknowledgedPositions(positions, records.writes)
    by_session = collections.defaultdict(list)
    for write in records.writes:
        by_session[write.session].append(write)
    own_acknowledged = {
        s: _AcknowledgedPositions(positions, ws) for s, ws in by_session.items()
    }
    requested = {
        s.id: s for s in records.statements if s.text.startswith("READ")
    }
    violations = []
    for execution in executions:
        read = requested.get(execution.request_id)
        if read is None:
            continue
        began = read.transaction_began or read.sent
        fresh_since = began - MAX_AGE_S[read.database]
        required_positions = [all_acknowledged.highest_before(fresh_since)]
        if read.database == "own" and read.session in own_acknowledged:
            required_positions.append(
                own_acknowledged[read.session].highest_before(began)
            )
        for position in required_positions:
            if position is not None and execution.position < position:
                violations.append(
                    f"read {read.id} of {read.database} ran on"
                    f" {execution.endpoint} at {execution.position},"
                    f" behind {position}"
                )
    return violations


def check_statements(
    executions: collections.abc.Sequence[standin_group.ExecutedStatement],
    requested: collections.abc.Iterable[records_lib.Statement],
) -> list[str]:
    """Checks that executions and answers match the statements sent.

    Endpoints execute only statements that callers sent. Each answer has the
    authentication code of an endpoint that executed the statement, and each
    read returns the value of its own key or none.
    """
    statements_by_id = {statement.id: statement for statement in requested}
    endpoints_by_id = collections.defaultdict(set)
    violations = []
    for execution in executions:
        endpoints_by_id[execution.request_id].add(execution.endpoint)
        statement = statements_by_id.get(execution.request_id)
        if statement is None or statement.text != execution.text:
            violations.append(
                f"{execution.endpoint} ran"
                f" {execution.request_id}: {execution.text}"
            )
    for statement in statements_by_id.values():
        if statement.outcome is not records_lib.Outcome.DONE:
            continue
        macs = {
            f"mac.{p}.{statement.id}" for p in endpoints_by_id[statement.id]
        }
        if statement.mac != "-" and statement.mac not in macs:
            violations.append(f"{statement.id} has the answer {statement.mac}")
        if statement.text.startswith("READ"):
            value = f"v{statement.text.split(' ')[1]}"
            if statement.rows not in ((value,), ("",)):
                violations.append(
                    f"{statement.id} has the rows {statement.rows}"
                )
    return violations


def check_promises(
    positions: dict[str, list[statements.LogPosition]],
    requested: collections.abc.Sequence[records_lib.Statement],
) -> list[str]:
    """Checks that nothing is kept of what was refused with a promise.

    ABORTED, or any promise as the answer to COMMIT, is about all writes of the
    transaction. The other promises are about the refused statement.
    """
    transactions = collections.defaultdict(list)
    for statement in requested:
        if statement.transaction_began is not None:
            key = statement.session, statement.transaction_began
            transactions[key].append(statement)
    violations = []
    for refused in requested:
        if refused.code not in PROMISE_CODES:
            continue
        key = refused.session, refused.transaction_began
        whole = refused.code == "ABORTED" or refused.text == "COMMIT"
        covered = transactions.get(key, ()) if whole else ()
        for statement in covered or (refused,):
            command, *words = statement.text.split(" ")
            if command == "WRITE" and positions.get(words[0]):
                violations.append(
                    f"{words[0]} was applied, but {refused.id} was answered"
                    f" {refused.code}"
                )
    return violations


def find_cuts(
    requested: collections.abc.Iterable[records_lib.Statement],
    exits: collections.abc.Iterable[records_lib.ProxyExit],
) -> list[records_lib.Statement]:
    """Returns the statements without an answer that no kill explains."""
    kills = [e for e in exits if e.kind is records_lib.Exit.KILL]
    return [
        statement
        for statement in requested
        if statement.outcome is records_lib.Outcome.CONNECTION_LOST
        and not any(_was_under_way(statement, kill) for kill in kills)
    ]


def _was_under_way(
    statement: records_lib.Statement, kill: records_lib.ProxyExit
) -> bool:
    return (
        statement.proxy == kill.proxy
        and statement.sent <= kill.ended
        and statement.ended >= kill.began
    )


def check_lost(
    executions: collections.abc.Iterable[standin_group.ExecutedStatement],
    requested: collections.abc.Iterable[records_lib.Statement],
    exits: collections.abc.Sequence[records_lib.ProxyExit],
) -> list[str]:
    """Checks that each executed statement is answered (rule LOST)."""
    endpoints = {e.request_id: e.endpoint for e in executions}
    return [
        f"LOST: {describe_cut(cut, exits)}, ran on {endpoints[cut.id]}"
        for cut in find_cuts(requested, exits)
        if cut.id in endpoints
    ]


def describe_cut(
    cut: records_lib.Statement,
    exits: collections.abc.Iterable[records_lib.ProxyExit],
) -> str:
    """Describes a cut statement relative to the stop of its proxy."""
    stops = [
        e
        for e in exits
        if e.kind is records_lib.Exit.STOP
        and e.proxy == cut.proxy
        and e.began <= cut.ended
    ]
    what = f"{cut.id} {cut.text} of {cut.database} at {cut.proxy}"
    if not stops:
        return f"{what}, cut without a stop"
    # The next stop may begin as soon as the process has exited.
    stop = min(stops, key=lambda e: abs(e.ended - cut.ended))
    return (
        f"{what}, sent {cut.sent - stop.began:.3f} s and cut"
        f" {cut.ended - stop.began:.3f} s after SIGTERM"
    )


def check_exits(
    exits: collections.abc.Iterable[records_lib.ProxyExit], limit_s: float
) -> list[str]:
    """Checks that each planned stop ends in time."""
    return [
        f"{e.proxy} had not exited {limit_s:.1f} s after SIGTERM"
        for e in exits
        if e.kind is records_lib.Exit.STOP and e.ended - e.began > limit_s
    ]


def check_won_tokens(
    log_lines: collections.abc.Iterable[str],
) -> list[str]:
    """Checks that no token number was acquired twice.

    Args:
        log_lines: The log lines of all processes of all proxies.
    """
    winners = collections.defaultdict(list)
    for line in log_lines:
        # Lines of a process that was killed may be incomplete.
        with contextlib.suppress(ValueError):
            fields = json.loads(line)
            if fields.get("event") == promotion_events.TokenWon.__name__:
                key = fields["group"], fields["token"]
                winners[key].append(fields["instance"])
    return [
        f"token {token} of {group} was acquired by each of {names}"
        for (group, token), names in winners.items()
        if len(names) > 1
    ]


def check_tokens(
    orders: collections.abc.Iterable[tuple[str, str, str, int]],
) -> list[str]:
    """Checks that no two proxies request promotions with the same token."""
    holders = collections.defaultdict(set)
    for service, _, holder, token in orders:
        holders[service, token].add(holder)
    return [
        f"token {token} of {service} was used by {sorted(names)}"
        for (service, token), names in holders.items()
        if len(names) > 1
    ]
