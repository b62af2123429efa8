"""The kinds of callers: what each sends, and how it pauses."""

import time

from bench.soak import callers as callers_lib
from bench.soak import records as records_lib
from bronzehold.platform import local

# Share of the transactions that commit; the others roll back.
COMMIT_SHARE = 0.7
MAX_STATEMENTS = 3
MAX_HELD_STATEMENTS = 12
MAX_HELD_PAUSE_S = 1.0

_DONE = records_lib.Outcome.DONE


def write(caller: callers_lib.Caller, session: local.Session) -> None:
    """Writes a new key outside a transaction."""
    key = caller.new_key()
    try:
        statement = caller.execute(session, f"WRITE {key} v{key}")
    except callers_lib.CONNECTION_ERRORS:
        unknown = records_lib.Outcome.UNKNOWN
        caller.record_write(key, session, unknown, time.monotonic())
        raise
    caller.record_write(key, session, statement.outcome, statement.ended)


def read(caller: callers_lib.Caller, session: local.Session) -> None:
    """Reads a key that the caller may have written."""
    caller.execute(session, f"READ {caller.used_key()}")


def run_transaction(
    caller: callers_lib.Caller,
    session: local.Session,
    *,
    begin: str = "BEGIN",
    statements: int = 0,
    read_share: float = 0.0,
    pause_s: float = 0.0,
) -> None:
    """Runs a transaction, which a failure of a statement rolls back.

    Args:
        caller: The caller.
        session: The session of the transaction.
        begin: The statement that begins the transaction.
        statements: The number of reads and writes, 0 for a random one.
        read_share: The share of reads among them.
        pause_s: The longest pause before each of them, in seconds.
    """
    written = []
    committing = False
    began = time.monotonic()
    last = caller.execute(session, begin, began)
    try:
        for _ in range(statements or caller.random.randint(1, MAX_STATEMENTS)):
            if last.outcome is not _DONE or (pause_s and caller.finishing):
                break
            caller.pause(pause_s)
            if read_share and caller.random.random() < read_share:
                text = f"READ {caller.used_key()}"
            else:
                written.append(caller.new_key())
                text = f"WRITE {written[-1]} v{written[-1]}"
            last = caller.execute(session, text, began)
        committing = (
            last.outcome is _DONE and caller.random.random() < COMMIT_SHARE
        )
        last = caller.execute(
            session, "COMMIT" if committing else "ROLLBACK", began
        )
    finally:
        outcome = _transaction_outcome(last, committing=committing)
        for key in written:
            caller.record_write(key, session, outcome, last.ended)


def _transaction_outcome(
    last: records_lib.Statement, *, committing: bool
) -> records_lib.Outcome:
    """Returns the outcome of the writes of a transaction.

    Args:
        last: The last statement that was answered.
        committing: Whether COMMIT was sent.
    """
    if not committing:
        return records_lib.Outcome.NOT_RUN
    if last.text != "COMMIT":
        return records_lib.Outcome.UNKNOWN
    return last.outcome


def _mix(caller: callers_lib.Caller, session: local.Session) -> None:
    choice = caller.random.random()
    if choice < 0.4:
        write(caller, session)
    elif choice < 0.8:
        read(caller, session)
    else:
        run_transaction(caller, session)


def _hold(caller: callers_lib.Caller, session: local.Session) -> None:
    begin = caller.random.choice(("BEGIN", "BEGIN", "BEGIN READ"))
    run_transaction(
        caller,
        session,
        begin=begin,
        statements=caller.random.randint(2, MAX_HELD_STATEMENTS),
        read_share=0.5 if begin == "BEGIN" else 1.0,
        pause_s=MAX_HELD_PAUSE_S,
    )


def _send_one(caller: callers_lib.Caller, session: local.Session) -> None:
    (write if caller.random.random() < 0.5 else read)(caller, session)


# Single statements and short transactions, without pauses.
MIXED = callers_lib.Kind(
    name="mixed", operate=_mix, shortest_pause_s=0.01, longest_pause_s=0.01
)
# The same with hardly a pause, for callers that exceed a limit.
EXCEEDING = callers_lib.Kind(
    name="exceeding", operate=_mix, shortest_pause_s=0.0, longest_pause_s=0.005
)
# Transactions that stay open for seconds.
HOLDING = callers_lib.Kind(
    name="holding", operate=_hold, shortest_pause_s=0.0, longest_pause_s=0.0
)
# Single statements on a connection that stays open.
SHORT = callers_lib.Kind(
    name="short", operate=_send_one, shortest_pause_s=0.0, longest_pause_s=0.1
)
# Single statements, each on a connection of its own.
LATE = callers_lib.Kind(
    name="late",
    operate=_send_one,
    shortest_pause_s=0.0,
    longest_pause_s=0.0,
    connects_each_time=True,
)
