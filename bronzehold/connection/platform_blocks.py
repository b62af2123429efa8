"""Statement context and transaction states of the platform path.

A caller's transaction is Idle, Deferred, Pinned, Forwarded or Failed.
platform_caller and the runners choose by this state how the next statement is
handled.
"""

import collections.abc
import dataclasses

from bronzehold.connection import forward_client
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import platform_service
from bronzehold.process import pool as pool_lib
from bronzehold.process import shutdown as shutdown_lib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatementContext:
    """The route, service and deadline of a statement.

    Attributes:
        route: The route of the statement's database.
        service: The route's service.
        timeout_at: The end of the statement's own timeout, in seconds of
            clock.now().
        shutdown: The planned stop of this proxy.
        workspace: The workspace that the statement belongs to, "" for none.
        version: The version of the configuration that allowed it.
        may_redirect: Whether it may be refused in favour of the proxies in the
            region of its endpoint, which have the workspace's connections.
        may_start: Returns whether there is memory for an answer.
        hold_answer: Charges the bytes of an answer that has arrived.
    """

    route: routes.Route
    service: platform_service.PlatformService
    timeout_at: float
    shutdown: shutdown_lib.Shutdown
    workspace: str = ""
    version: int = 0
    may_redirect: bool = False
    may_start: collections.abc.Callable[[], bool] = lambda: True
    hold_answer: collections.abc.Callable[[int], None] = lambda _size: None

    @property
    def deadline(self) -> float:
        """The time by which it must be answered, in seconds of clock.now().

        It becomes earlier when a stop begins that ends before the timeout.
        """
        return self.shutdown.limit(self.timeout_at)

    def has_expired(self) -> bool:
        """Returns whether the deadline has passed."""
        return clock.now() >= self.deadline

    def ended_by_stop(self) -> bool:
        """Returns whether the stop ended it, before its own timeout."""
        return self.has_expired() and clock.now() < self.timeout_at


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequirement:
    """The requirement of a bounded-staleness read on its endpoint.

    Attributes:
        min_position: The minimum position of the endpoint's log.
        expires: The time until which min_position is fresh enough, in seconds
            of clock.now().
        max_age_s: The maximum age of the data in seconds.
        last_write: The position of the session's last write, None if the read
            need not see it.
    """

    min_position: statements.LogPosition
    expires: float
    max_age_s: float
    last_write: statements.LogPosition | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No transaction is open."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deferred:
    """A transaction is open, but none of its statements has run yet.

    Attributes:
        read_only: Whether the transaction was opened as read-only.
    """

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pinned:
    """A transaction that holds an endpoint connection.

    Attributes:
        conn: The endpoint connection.
        pool: The pool that the connection is returned to.
        service: The service that the endpoint belongs to.
        endpoint: The id of the endpoint.
        read_only: Whether the transaction may only read.
        guarded: Whether the endpoint refuses its statements once it is no
            longer the primary.
        has_written: Whether a write was sent in the transaction.
    """

    conn: ports.EndpointConn
    pool: pool_lib.Pool
    service: platform_service.PlatformService
    endpoint: str
    read_only: bool
    guarded: bool
    has_written: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The transaction has failed and accepts only COMMIT or ROLLBACK."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forwarded:
    """A transaction that another proxy runs.

    Attributes:
        link: The connection to that proxy; it holds the transaction.
        endpoint: The id of the endpoint that runs it.
        has_written: Whether a write was sent in the transaction.
    """

    link: forward_client.Link
    endpoint: str
    has_written: bool = False


Block = Idle | Deferred | Pinned | Forwarded | Failed


def state(block: Block) -> statements.TransactionState:
    """Returns the transaction state that the caller is told."""
    match block:
        case Idle():
            return statements.TransactionState.IDLE
        case Failed():
            return statements.TransactionState.FAILED
        case _:
            return statements.TransactionState.OPEN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A failed attempt to run a statement, kept for the log.

    Attributes:
        endpoint: The endpoint that was tried.
        failure: The reason of the failure.
        failed_at: The time of the failure, in seconds of clock.now().
    """

    endpoint: str
    failure: errors.Failure
    failed_at: float


class TryOtherEndpointError(Exception):
    """The statement may be sent to another endpoint.

    It did not run, or it was a read that is safe to repeat.

    Attributes:
        failure: The error for the caller if no other endpoint remains.
        sent: Whether the attempt put load on an endpoint, so that a retry
            counts against the retry budget.
    """

    def __init__(self, failure: errors.Failure, *, sent: bool):
        super().__init__(failure)
        self.failure = failure
        self.sent = sent
