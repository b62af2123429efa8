"""What callers and the fault injectors record during a run.

The `checks` module compares these records with the statements that the
endpoints executed.
"""

import dataclasses
import enum
import threading


class Outcome(enum.Enum):
    """The result of a statement, as far as its caller knows.

    Attributes:
        DONE: The statement succeeded.
        NOT_RUN: The answer guarantees that the statement was not executed.
        UNKNOWN: The statement may have been executed.
        CONNECTION_LOST: The connection was lost before an answer arrived.
    """

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    CONNECTION_LOST = "cut"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Statement:
    """One statement and its answer.

    Attributes:
        id: The request id that the caller chose.
        text: The statement text.
        database: The database name, which selects the route.
        session: The name of the caller's session.
        proxy: The name of the proxy that received the statement.
        sent: The time of sending in seconds of time.monotonic().
        ended: The time at which the answer arrived or the connection was
            lost, in seconds of time.monotonic().
        outcome: The result that the answer reports.
        transaction_began: The time at which its transaction began, in seconds
            of time.monotonic(); None outside a transaction.
        rows: The rows of the answer.
        mac: The authentication code of the answer.
        code: The error code of the answer, "" if it has none.
        access_key: The key that the session presented.
    """

    id: str
    text: str
    database: str
    session: str
    proxy: str
    sent: float
    ended: float
    outcome: Outcome
    transaction_began: float | None = None
    rows: tuple[str, ...] = ()
    mac: str = ""
    code: str = ""
    access_key: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """A write of a key. Each key is written at most once.

    Attributes:
        key: The key.
        session: The name of the session that sent the write.
        ended: The time at which the outcome became known, in seconds of
            time.monotonic().
        outcome: The outcome of the write, or of the commit of its
            transaction.
    """

    key: str
    session: str
    ended: float
    outcome: Outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A workspace of the configuration.

    Attributes:
        name: The name of the workspace.
        keys: The keys of its callers.
        rate_per_s: The operations per second of its limit, None for no limit.
        burst: The burst of its limit.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float | None = None
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A time during which a key was not in the configuration.

    Attributes:
        key: The key.
        began: The time at which the configuration without the key had been
            written, in seconds of time.monotonic().
        ended: The time before the key was added again, in seconds of
            time.monotonic().
    """

    key: str
    began: float
    ended: float


class Exit(enum.Enum):
    """Why a proxy process exited.

    Attributes:
        STOP: It received SIGTERM, which is a planned stop.
        KILL: It received SIGKILL, without a stop before.
    """

    STOP = "stop"
    KILL = "kill"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyExit:
    """An exit of a proxy process that the run has caused.

    Attributes:
        proxy: The name of the proxy.
        kind: Why the process exited.
        began: The time before the signal, in seconds of time.monotonic().
        ended: The time at which the process had exited, in seconds of
            time.monotonic().
    """

    proxy: str
    kind: Exit
    began: float
    ended: float


class Records:
    """The statements and writes of all callers; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self.statements: list[Statement] = []
        self.writes: list[Write] = []

    def record(self, statement: Statement) -> None:
        """Adds a statement."""
        with self._lock:
            self.statements.append(statement)

    def record_write(self, write: Write) -> None:
        """Adds a write and its outcome."""
        with self._lock:
            self.writes.append(write)
