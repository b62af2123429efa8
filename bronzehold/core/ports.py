"""Interfaces between the request and failover logic and its surroundings.

They cover the connection of a caller, a connection to an endpoint, the
key-value store that holds persistent state, the call that promotes an
endpoint, and the decoding of the stored records. The package platform
implements them.
"""

import collections.abc
import dataclasses
import enum
import typing

from bronzehold.core import errors
from bronzehold.core import routes
from bronzehold.core import statements


class TransportError(Exception):
    """A connection was lost, or its peer did not answer in time."""


class DialFailure(enum.Enum):
    """The reason why a connection to an endpoint could not be opened."""

    CONNECTION_REFUSED = "nobody listens there"
    NO_ANSWER = "no answer"
    TOO_MANY_CONNECTIONS = "the endpoint has too many connections"
    WRONG_ENDPOINT = "another endpoint listens there"
    LOCAL = "this process cannot open a connection"


class DialError(TransportError):
    """A new connection to an endpoint could not be opened.

    Attributes:
        failure: Reason why it could not be opened.
    """

    def __init__(
        self, message: str, failure: DialFailure = DialFailure.NO_ANSWER
    ):
        super().__init__(message)
        self.failure = failure


class RefusedStatusError(TransportError):
    """The endpoint answers, but is too busy to return its status."""


class StoreError(Exception):
    """A store call failed; a change may still have taken effect."""


class CompactedError(StoreError):
    """The store has compacted the requested revisions."""


class StaleEraError(StoreError):
    """A call or its answer belongs to an older era of the store."""


class CallerConn(typing.Protocol):
    """One caller's connection."""

    def receive(self, wait_s: float | None) -> statements.Request | None:
        """Waits for a statement.

        Args:
            wait_s: Maximum wait in seconds, None for no limit.

        Returns:
            The statement, or None if the caller has disconnected.

        Raises:
            TimeoutError: No statement arrived within wait_s.
        """

    def complete(self, body: bytes, state: statements.TransactionState) -> None:
        """Sends an endpoint's answer to the caller."""

    def acknowledge(self, state: statements.TransactionState) -> None:
        """Reports the success of a statement that the proxy itself handled."""

    def fail(
        self, failure: errors.Failure, state: statements.TransactionState
    ) -> None:
        """Reports a failure to the caller."""

    def announce(self, failure: errors.Failure) -> None:
        """Reports the failure of the next request before it arrives.

        If that request arrives, fail completes its answer. No request on the
        connection may run any more. May be called from another task than
        receive. Never waits.
        """

    def hold_state(self, size: int) -> bool:
        """Returns whether the session's state may take a number of bytes."""

    def hold_answer(self, size: int) -> None:
        """Charges the memory for an answer of some bytes that has arrived."""

    def may_start(self) -> bool:
        """Returns whether there is memory for an answer."""

    def stop_receiving(self) -> None:
        """Ends the connection after the requests that have arrived."""


class EndpointConn(typing.Protocol):
    """One connection to an endpoint, used by one caller at a time.

    Attributes:
        values: Session values that are set on the connection.
        prepared: Names of the statements that are prepared on it.
        idle_since: Time of its last return to the pool, in seconds of
            time.monotonic().
        owner: The workspace that it belongs to, "" for none.
    """

    values: dict[str, str]
    prepared: set[str]
    idle_since: float
    owner: str

    def send(
        self, commands: collections.abc.Sequence[statements.Command]
    ) -> None:
        """Sends commands; the endpoint answers them in order.

        Raises:
            TransportError: The connection was lost.
        """

    def receive(
        self,
        deadline: float,
        is_cancelled: collections.abc.Callable[[], bool] | None = None,
    ) -> statements.Answer:
        """Waits for the next answer.

        Args:
            deadline: End of the wait, in seconds of clock.now().
            is_cancelled: Called periodically; True ends the wait early.

        Raises:
            TransportError: The connection was lost, the deadline has passed,
                or the wait was cancelled.
        """

    def discard_next_answer(self) -> None:
        """Discards the answer to the last command when it arrives."""

    def status(
        self,
        deadline: float,
        command: statements.StatusCommand = statements.GET_STATUS,
    ) -> statements.Status:
        """Sends a command that the endpoint answers with its status.

        Raises:
            RefusedStatusError: The endpoint refused the command.
            TransportError: The endpoint did not return its status.
        """

    def usable(self) -> bool:
        """Returns whether the connection is open and has no unread data."""

    def detach(self) -> None:
        """Records that no caller uses the connection."""

    def close(self) -> None:
        """Closes the connection; the endpoint rolls back its transaction."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Position:
    """A revision of the store. Positions are in the order of their issue.

    Attributes:
        era: Era that the revision belongs to. The era rises when the store
            returns from an older copy, and revisions are then issued again.
        revision: The revision.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """A lease of the store.

    Attributes:
        id: Its number, which another process may get in a later era.
        era: Era in which it was granted.
    """

    id: int
    era: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key of the store and its value.

    Attributes:
        key: Name of the key.
        value: Value of the key, None if it was removed.
        revision: Revision of the store at the key's last change, 0 if the key
            does not exist.
        era: Era in which it was read.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The position of the key's last change."""
        return Position(era=self.era, revision=self.revision)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The items of one read.

    Attributes:
        items: The items.
        revision: Revision of the store after which a watch continues.
        era: Era in which all items were read.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The position after which a watch continues."""
        return Position(era=self.era, revision=self.revision)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Swapped:
    """The change was written, in the era in which the item was read.

    Attributes:
        revision: Revision of the store that contains the change.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """The key has changed since it was read, or the lease has expired."""


class Store(typing.Protocol):
    """The key-value service that holds persistent state.

    Each call that is based on an earlier answer raises StaleEraError if its own
    answer is of another era. It may then have been executed.
    """

    def list(self, prefix: str) -> Snapshot:
        """Reads all keys with a prefix; raises StoreError."""

    def get(self, key: str) -> Item:
        """Reads one key; raises StoreError."""

    def watch(self, prefix: str, after: Position, wait_s: float) -> Snapshot:
        """Waits for changes after a revision; raises StoreError."""

    def swap(
        self, old: Item, value: bytes, lease: Lease | None = None
    ) -> Swapped | Conflict:
        """Replaces a value unless it has changed since; raises StoreError.

        Args:
            old: The key as it was last read.
            value: New value.
            lease: Lease that the key is bound to, None for none.
        """

    def grant_lease(self, ttl_s: float) -> Lease:
        """Creates a lease; raises StoreError."""

    def renew_lease(self, lease: Lease) -> bool:
        """Renews a lease; False if it is not valid. Raises StoreError."""

    def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease and removes its keys; raises StoreError."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ordered:
    """The promotion order was accepted."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outranked:
    """A higher fencing token has been used for this service."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRunning:
    """The endpoint named in the order is not running."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unanswered:
    """The outcome is unknown; the order may still be executed later.

    Attributes:
        reason: Error of the call.
    """

    reason: str


OrderOutcome = Ordered | Outranked | NotRunning | Unanswered


class Promoter(typing.Protocol):
    """The platform's interface for promoting an endpoint to primary."""

    def promote(
        self, *, service: str, endpoint: str, holder: str, token: int
    ) -> OrderOutcome:
        """Orders a promotion.

        Args:
            service: Service whose primary changes.
            endpoint: Endpoint to promote.
            holder: Proxy that holds the fencing token.
            token: Fencing token; a lower one than the highest used is refused.
        """


class Directory(typing.Protocol):
    """Decodes the records of operators and endpoints in the store.

    Attributes:
        config_key: Key of the configuration.
        listings_prefix: Common prefix of the keys of the listings.
    """

    config_key: str
    listings_prefix: str

    def decode_table(self, value: bytes) -> routes.Table:
        """Decodes a configuration; raises validation.ProblemsError."""

    def decode_listing(self, item: Item) -> routes.Listing:
        """Decodes a listing; raises validation.ProblemsError."""


# Opens a connection to a listed endpoint for a workspace ("" for none); the
# attempt ends at a time in seconds of clock.now(). Raises DialError.
Dial = collections.abc.Callable[[routes.Listing, float, str], EndpointConn]
