"""Statements and answers as records that are independent of a protocol.

Listeners decode the statements of callers into these records, and endpoint
connections encode them. The execution path works on these records alone.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, order=True, kw_only=True, slots=True)
class LogPosition:
    """A position in the log of a group, ordered by term, then number.

    Attributes:
        term: Term of the primary that wrote the entry.
        number: Number of the entry; 0 is the start of the term.
    """

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


class TransactionState(enum.Enum):
    """The transaction state of a session or of an endpoint connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


# Statements of callers.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Reads one item."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Writes one item."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Begin:
    """Begins a transaction.

    Attributes:
        read_only: Whether the transaction may only read.
    """

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """Commits the transaction."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rollback:
    """Rolls the transaction back."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Sets a value of the session.

    Attributes:
        name: Name of the value.
        value: New value.
    """

    name: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepare:
    """Prepares a statement under a name of the session.

    Attributes:
        name: Name of the prepared statement.
        writes: Whether the statement writes.
        shape: Shape of the statement, that is its text without arguments.
    """

    name: str
    writes: bool
    shape: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """Runs a prepared statement.

    Attributes:
        name: Name of the prepared statement.
        arguments: Text after the name, as the caller wrote it.
    """

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deallocate:
    """Removes a prepared statement.

    Attributes:
        name: Name of the prepared statement.
    """

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """A statement that is not part of the protocol.

    Attributes:
        problem: Reason why it is invalid.
    """

    problem: str


Statement = (
    Read
    | Write
    | Begin
    | Commit
    | Rollback
    | SetValue
    | Prepare
    | Execute
    | Deallocate
    | Invalid
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One statement of a caller.

    Attributes:
        id: Id that the caller gave it.
        text: Text of the statement, as the caller wrote it.
        statement: Decoded statement.
        arrived: Time when it was read completely, in seconds of clock.now().
    """

    id: str
    text: str
    statement: Statement
    arrived: float


# Commands to endpoints.


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardStatement:
    """Forwards a caller's statement with its id.

    Attributes:
        request: Statement of the caller.
        min_position: Position that the endpoint's log must include, None if
            any log suffices.
        prepared_name: Name on this connection if the statement executes a
            prepared one, "" otherwise.
    """

    request: Request
    min_position: LogPosition | None = None
    prepared_name: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenTransaction:
    """Begins a transaction on the endpoint.

    Only the primary of the group accepts a transaction that may write. If the
    endpoint ceases to be the primary, it refuses all further statements of the
    transaction.

    Attributes:
        read_only: Whether it only reads, so that any endpoint accepts it.
        min_position: Position that the endpoint's log must include, None if
            any log suffices.
    """

    read_only: bool
    min_position: LogPosition | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RollbackTransaction:
    """Rolls back the open transaction of the connection."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResetSession:
    """Clears the values and prepared statements of the connection."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GetStatus:
    """Requests the status of the endpoint."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseReplication:
    """Stops a replica from receiving, until it is resumed or one is promoted.

    Attributes:
        term: A term above the newest one that any endpoint has reported.
    """

    term: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResumeReplication:
    """Lets a paused replica receive again."""


GET_STATUS = GetStatus()

# The commands that an endpoint answers with its status.
StatusCommand = GetStatus | PauseReplication | ResumeReplication

Command = (
    ForwardStatement
    | OpenTransaction
    | RollbackTransaction
    | ResetSession
    | GetStatus
    | PauseReplication
    | ResumeReplication
    | SetValue
    | Prepare
)


# Answers of endpoints.


class RefusalReason(enum.Enum):
    """The reason why an endpoint did not execute a command."""

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_ENDPOINT = "wrong endpoint"
    CONNECTIONS_FULL = "connections full"
    IN_DOUBT = "in doubt"
    TIMED_OUT = "timed out"
    FAILED = "failed"
    UNKNOWN_STATEMENT = "unknown statement"
    MALFORMED = "malformed"
    OTHER = "other"


# The endpoint has not run the statement if it refuses it for these reasons.
NOT_RUN_REASONS = frozenset(
    {
        RefusalReason.BUSY,
        RefusalReason.LAGGING,
        RefusalReason.READ_ONLY,
        RefusalReason.WRONG_ENDPOINT,
        RefusalReason.CONNECTIONS_FULL,
        RefusalReason.UNKNOWN_STATEMENT,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """The endpoint executed the command.

    Attributes:
        body: Answer to forward to the caller unchanged.
        rows: Fields of each short row, for commands of the proxy itself.
        state: Transaction state of the connection after the command.
        position: Log position of the endpoint after the command, None if the
            answer has none.
    """

    body: bytes
    rows: tuple[str, ...] = ()
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The endpoint refused the command or failed to execute it.

    Attributes:
        reason: Class of the error.
        detail: Further text of the answer.
        state: Transaction state of the connection after the command.
        position: Log position of the endpoint after the command, None if the
            answer has none.
    """

    reason: RefusalReason
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: LogPosition | None = None


Answer = Completed | Refused


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """The status of an endpoint as it reports it.

    Attributes:
        leads: Whether it considers itself the primary.
        term: Term of the endpoint.
        received: Last position that its log holds.
        paused_term: Term of the pause of its replication, 0 if there is none.
        lag_s: Replication lag of its readers in seconds.
        busy_slots: Number of slots in use.
        connections: Number of open connections, from all callers.
    """

    leads: bool
    term: int
    received: LogPosition
    paused_term: int
    lag_s: float
    busy_slots: int
    connections: int
