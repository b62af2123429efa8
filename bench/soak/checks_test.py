import pytest

from bench.soak import checks
from bench.soak import records as records_lib
from bench.soak import workspace_checks
from bronzehold.core import statements
from bronzehold.platform import standin_group

OUTCOME = records_lib.Outcome


def _position(number, term=1):
    return statements.LogPosition(term=term, number=number)


def _entry(number, key):
    return standin_group.LogEntry(
        position=_position(number), writes=((key, f"v{key}"),), committed_at=0.0
    )


def _write(key, outcome=OUTCOME.DONE, ended=1.0, session="s"):
    return records_lib.Write(
        key=key, session=session, ended=ended, outcome=outcome
    )


def _statement(**fields):
    plain = {
        "id": "s.1",
        "text": "READ k",
        "database": "bounded",
        "session": "s",
        "proxy": "p0",
        "sent": 10.0,
        "ended": 10.1,
        "outcome": OUTCOME.DONE,
        "rows": ("vk",),
        "mac": "mac.e1.s.1",
    }
    return records_lib.Statement(**{**plain, **fields})


def _run(number, **fields):
    plain = {
        "endpoint": "e1",
        "request_id": "s.1",
        "text": "READ k",
        "values": (),
        "position": _position(number),
        "in_transaction": False,
        "executed_at": 0.0,
        "client": "",
    }
    return standin_group.ExecutedStatement(**{**plain, **fields})


def _check(
    log=(),
    executions=(),
    writes=(),
    requested=(),
    *,
    orders=(),
    exits=(),
    promoted=False,
):
    records = records_lib.Records()
    records.writes.extend(writes)
    records.statements.extend(requested)
    return checks.check_run(
        log, executions, records, orders, exits, promoted=promoted
    )


def test_run_without_faults_has_no_violations():
    assert not _check(
        log=[_entry(1, "k")],
        executions=[_run(1)],
        writes=[_write("k")],
        requested=[_statement()],
        orders=[("g", "e", "p0", 1), ("g", "e", "p0", 1), ("g", "e", "p1", 2)],
    )


def test_write_applied_twice_is_reported():
    assert _check(log=[_entry(1, "k"), _entry(2, "k")], writes=[_write("k")])


def test_applied_write_reported_as_not_run_is_a_violation():
    writes = [_write("k", OUTCOME.NOT_RUN)]
    assert _check(log=[_entry(1, "k")], writes=writes)
    unknown = [_write("k", OUTCOME.UNKNOWN)]
    assert not _check(log=[_entry(1, "k")], writes=unknown)


def test_lost_write_is_reported_unless_a_promotion_may_have_discarded_it():
    assert _check(writes=[_write("k")])
    assert not _check(writes=[_write("k")], promoted=True)


def test_read_staler_than_its_route_allows_is_reported():
    log = [_entry(1, "a"), _entry(2, "b")]
    old = [_write("a", ended=1.0), _write("b", ended=8.0)]
    new = [_write("a", ended=1.0), _write("b", ended=9.0)]
    executions, requested = [_run(1)], [_statement()]
    assert _check(log, executions, old, requested)
    assert not _check(log, executions, new, requested)
    latest = [_statement(database="latest")]
    assert _check(log, executions, new, latest)


def test_read_without_own_earlier_write_is_reported():
    log = [_entry(1, "a"), _entry(2, "b")]
    own = [_write("a", ended=1.0), _write("b", ended=9.9)]
    other = [_write("a", ended=1.0), _write("b", ended=9.9, session="t")]
    requested = [_statement(database="own")]
    assert _check(log, [_run(1)], own, requested)
    assert not _check(log, [_run(1)], other, requested)


def test_execution_of_a_statement_never_sent_is_reported():
    assert _check(executions=[_run(1)])
    assert _check(executions=[_run(1, text="READ l")], requested=[_statement()])


def test_answer_to_another_statement_is_reported():
    executions = [_run(1)]
    assert _check(
        executions=executions, requested=[_statement(mac="mac.e1.s.2")]
    )
    assert _check(executions=executions, requested=[_statement(rows=("vl",))])


def test_token_with_two_holders_is_reported():
    assert _check(orders=[("g", "e", "p0", 1), ("g", "e", "p1", 1)])


def _cut(**fields):
    plain = {"outcome": OUTCOME.CONNECTION_LOST, "rows": (), "mac": ""}
    return _statement(**{**plain, **fields})


def _exit(kind, began, ended, proxy="p0"):
    return records_lib.ProxyExit(
        proxy=proxy, kind=kind, began=began, ended=ended
    )


STOP = _exit(records_lib.Exit.STOP, 4.0, 10.1)


def _lost(cut, *exits, executions=None):
    if executions is None:
        executions = [_run(0)]
    return [
        violation
        for violation in _check(
            executions=executions, requested=[cut], exits=exits
        )
        if violation.startswith("LOST")
    ]


def test_cut_of_an_executed_statement_at_a_stop_is_reported():
    [violation] = _lost(_cut(), STOP)
    assert "sent 6.000 s and cut 6.100 s after SIGTERM, ran on e1" in violation


def test_cut_is_described_by_the_stop_that_ended_then():
    next_stop = _exit(records_lib.Exit.STOP, 10.1, 16.0)
    [violation] = _lost(_cut(ended=10.11), STOP, next_stop)
    assert "cut 6.110 s after SIGTERM" in violation


def test_cut_of_an_executed_statement_without_a_stop_is_reported():
    assert _lost(_cut())


def test_cut_of_a_statement_that_never_ran_is_no_violation():
    assert not _lost(_cut(), STOP, executions=[])


def test_answered_statement_is_not_lost():
    assert not _lost(_statement(), STOP)
    refused = _statement(outcome=OUTCOME.UNKNOWN, code="INDOUBT", rows=())
    assert not _lost(refused, STOP)


@pytest.mark.parametrize(
    ("began", "ended", "proxy", "excused"),
    [
        (10.05, 10.07, "p0", True),
        (9.9, 10.01, "p0", True),
        (10.05, 10.07, "p1", False),
        (9.8, 9.99, "p0", False),
        (10.11, 10.2, "p0", False),
    ],
    ids=["during", "as sent", "another proxy", "before", "after"],
)
def test_only_a_kill_of_the_proxy_meanwhile_excuses(
    began, ended, proxy, excused
):
    kill = _exit(records_lib.Exit.KILL, began, ended, proxy)
    assert bool(_lost(_cut(), STOP, kill)) is not excused


def test_stop_that_takes_too_long_is_reported_and_excuses_nothing():
    late = _exit(records_lib.Exit.STOP, 4.0, 12.1)
    assert checks.check_exits([late], 8.0)
    assert not checks.check_exits([STOP], 8.0)
    assert _lost(_cut(ended=12.1), late)


def _refused(code, **fields):
    plain = {"outcome": OUTCOME.NOT_RUN, "code": code, "rows": (), "mac": ""}
    return _statement(**{"text": "WRITE k vk", **plain, **fields})


def _broken_promises(*requested):
    log = [_entry(1, "k")]
    return [v for v in _check(log=log, requested=requested) if "answered" in v]


@pytest.mark.parametrize("code", checks.PROMISE_CODES)
def test_applied_write_answered_with_a_promise_is_reported(code):
    assert _broken_promises(_refused(code))
    assert not _broken_promises(_refused(code, text="WRITE l vl"))


@pytest.mark.parametrize("code", ["INDOUBT", "TIMEOUT", "FAILED"])
def test_applied_write_without_a_promise_is_no_violation(code):
    assert not _broken_promises(_refused(code, outcome=OUTCOME.UNKNOWN))


def test_applied_transaction_answered_with_a_promise_is_reported():
    write = _statement(id="s.1", text="WRITE k vk", transaction_began=9.0)

    def promises(text, code, began=9.0):
        refused = _refused(code, id="s.2", text=text, transaction_began=began)
        return _broken_promises(write, refused)

    assert promises("COMMIT", "ABORTED")
    assert promises("COMMIT", "READONLY")
    assert promises("READ l", "ABORTED")
    # Only the statement itself is refused, or another transaction.
    assert not promises("READ l", "BUSY")
    assert not promises("COMMIT", "ABORTED", began=9.5)


def test_token_that_two_processes_acquired_is_found():
    """Guards against a checker that sees only the tokens of orders."""
    line = '{"event": "TokenWon", "group": "g", "token": %d, "instance": "p%d"}'
    once = [line % (1, 0), line % (2, 1), '{"event": "Token', "TokenWon"]
    assert not checks.check_won_tokens(once)
    (violation,) = checks.check_won_tokens([*once, line % (1, 1)])
    assert violation == "token 1 of g was acquired by each of ['p0', 'p1']"


LIMITED = records_lib.Workspace(
    name="w1", keys=("k1",), rate_per_s=2.0, burst=10.0
)
OTHER = records_lib.Workspace(name="w2", keys=("k2",))


def _check_workspaces(executions, requested, withdrawals=()):
    return workspace_checks.check(
        executions, requested, [LIMITED, OTHER], withdrawals
    )


def _operations(count, interval_s, **fields):
    """Returns executions at regular times, and their statements."""
    ids = [f"s.{number}" for number in range(count)]
    executions = [
        _run(1, request_id=i, client="w1", executed_at=n * interval_s)
        for n, i in enumerate(ids)
    ]
    return executions, [
        _statement(id=i, access_key="k1", **fields) for i in ids
    ]


def test_statement_that_ran_in_another_workspace_is_found():
    requested = [_statement(access_key="k2")]
    assert not _check_workspaces([_run(1, client="w2")], requested)
    (violation,) = _check_workspaces([_run(1, client="w1")], requested)
    assert "ran on e1 as 'w1'" in violation


def test_connection_of_no_workspace_is_found():
    (violation,) = _check_workspaces([_run(1)], [_statement(access_key="k2")])
    assert "ran on e1 as ''" in violation


@pytest.mark.parametrize(
    ("executed_at", "found"),
    [(19.0, False), (25.9, False), (26.1, True), (29.9, True), (30.1, False)],
)
def test_statement_with_a_withdrawn_key_is_found(executed_at, found):
    withdrawal = records_lib.Withdrawal(key="k2", began=20.0, ended=30.0)
    violations = _check_workspaces(
        [_run(1, client="w2", executed_at=executed_at)],
        [_statement(access_key="k2")],
        [withdrawal],
    )
    assert bool(violations) is found


def test_withdrawal_of_another_key_permits_a_statement():
    withdrawal = records_lib.Withdrawal(key="k1", began=0.0, ended=30.0)
    run = _run(1, client="w2", executed_at=10.0)
    assert not _check_workspaces(
        [run], [_statement(access_key="k2")], [withdrawal]
    )


@pytest.mark.parametrize("code", ["DENIED", "BUSY"])
def test_refused_statement_that_ran_is_found(code):
    refused = _statement(access_key="k2", outcome=OUTCOME.NOT_RUN, code=code)
    (violation,) = _check_workspaces([_run(1, client="w2")], [refused])
    assert f"answered {code}" in violation


def test_operations_up_to_the_bound_are_permitted():
    # The bound is (2 x 5 + 10) x 1.1 + 20 = 42 operations in 5 s.
    assert not _check_workspaces(*_operations(42, 0.01))


def test_operations_over_the_bound_are_found():
    (violation,) = _check_workspaces(*_operations(43, 0.01))
    assert "w1 ran 43 operations" in violation


def test_operations_of_different_windows_are_not_added_up():
    assert not _check_workspaces(*_operations(100, 0.13))
    assert _check_workspaces(*_operations(100, 0.11))


def test_transaction_is_one_operation():
    assert not _check_workspaces(*_operations(43, 0.01, transaction_began=1.0))


def test_statement_that_ran_twice_is_one_operation():
    executions, requested = _operations(42, 0.01)
    assert not _check_workspaces([*executions, executions[0]], requested)


def test_workspace_without_a_limit_may_run_any_number():
    requested = [_statement(id=f"s.{n}", access_key="k2") for n in range(1000)]
    executions = [_run(1, request_id=s.id, client="w2") for s in requested]
    assert not _check_workspaces(executions, requested)


def test_configuration_without_workspaces_is_not_checked():
    assert not workspace_checks.check([_run(1)], [_statement()], [], [])
