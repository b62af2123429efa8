"""Records the operations of callers and checks the guarantees over them.

The workload adds each operation with its reported outcome. `check` compares
them with the rows that are present at the end.
"""

import collections
import collections.abc
import dataclasses
import enum
import threading


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    DONE = "done"
    UNKNOWN = "outcome unknown"
    NOT_RUN = "not run"
    FAILED = "run and failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """A write and its reported outcome.

    Attributes:
        session: Name of the session that sent it.
        key: Key that it wrote, unique in the history.
        outcome: Outcome reported to the caller.
        start: Monotonic time in seconds at which it was sent.
        end: Monotonic time in seconds at which its outcome was reported.
        error: Text of the error that the caller got, "" for none.
    """

    session: str
    key: int
    outcome: Outcome
    start: float
    end: float
    error: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """A read of all rows that its session has written.

    Attributes:
        session: Name of the session that sent it.
        keys: Keys that it returned.
        start: Monotonic time in seconds at which it was sent.
        end: Monotonic time in seconds at which its result was received.
    """

    session: str
    keys: frozenset[int]
    start: float
    end: float


Operation = Write | Read


class History:
    """Collects operations from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._operations: list[Operation] = []

    def add(self, operation: Operation) -> None:
        """Records an operation that has ended."""
        with self._lock:
            self._operations.append(operation)

    def all(self) -> list[Operation]:
        """Returns the operations, ordered by their end."""
        with self._lock:
            return sorted(self._operations, key=lambda op: op.end)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostWrite:
    """A write was acknowledged but is absent at the end."""

    key: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnexpectedWrite:
    """A write was reported as not run or failed but is present at the end.

    Attributes:
        key: Key of the write.
        error: Text of the error that the caller got.
    """

    key: int
    error: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DuplicateWrite:
    """A write is present more than once at the end."""

    key: int
    times: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StaleRead:
    """A read missed an earlier acknowledged write of its own session."""

    session: str
    key: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnexpectedRead:
    """A read returned a key that its session did not write."""

    session: str
    key: int


Violation = (
    LostWrite | UnexpectedWrite | DuplicateWrite | StaleRead | UnexpectedRead
)


def check(
    operations: collections.abc.Sequence[Operation],
    final: collections.abc.Iterable[int],
) -> list[Violation]:
    """Checks a history for violations of the guarantees.

    Args:
        operations: All operations, ordered by their end.
        final: Keys that are present at the end, with duplicates.

    Returns:
        The violations; empty if every guarantee holds.
    """
    writes = [op for op in operations if isinstance(op, Write)]
    reads = [op for op in operations if isinstance(op, Read)]
    counts = collections.Counter(final)
    return [
        *_check_final(writes, counts),
        *_check_reads(writes, reads),
    ]


def _check_final(
    writes: list[Write], counts: collections.Counter[int]
) -> collections.abc.Iterator[Violation]:
    for write in writes:
        count = counts[write.key]
        match write.outcome:
            case Outcome.DONE if count == 0:
                yield LostWrite(key=write.key)
            case Outcome.NOT_RUN | Outcome.FAILED if count > 0:
                yield UnexpectedWrite(key=write.key, error=write.error)
        if count > 1:
            yield DuplicateWrite(key=write.key, times=count)


def _check_reads(
    writes: list[Write], reads: list[Read]
) -> collections.abc.Iterator[Violation]:
    by_session = collections.defaultdict(list)
    for write in writes:
        by_session[write.session].append(write)
    for read in reads:
        own = by_session[read.session]
        for write in own:
            earlier = write.end <= read.start
            done = write.outcome is Outcome.DONE
            if done and earlier and write.key not in read.keys:
                yield StaleRead(
                    session=read.session, key=write.key, at=read.start
                )
        for key in read.keys - {write.key for write in own}:
            yield UnexpectedRead(session=read.session, key=key)


def longest_gap(
    operations: collections.abc.Iterable[Operation], since: float
) -> float | None:
    """Returns the longest gap between successful writes after a given time.

    Args:
        operations: The operations, in any order.
        since: The given time in seconds; only gaps that end later count.

    Returns:
        The gap in seconds, or None if no write succeeded after that time.
    """
    times = sorted(
        op.end
        for op in operations
        if isinstance(op, Write) and op.outcome is Outcome.DONE
    )
    return longest_gap_of(times, since)


def longest_gap_of(
    times: collections.abc.Sequence[float], since: float
) -> float | None:
    """Returns the longest gap between events that ends after a given time.

    Args:
        times: Times of the events in seconds, in ascending order.
        since: The given time in seconds.

    Returns:
        The gap in seconds, or None if no event follows the given time.
    """
    pairs = zip(times, times[1:], strict=False)
    return max((b - a for a, b in pairs if b > since), default=None)
