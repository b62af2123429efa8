"""Immutable records of the data model that all packages share.

A position counts log entries and a term counts primaries. Both start at 1 and
only increase within one database group. Times are in seconds unless a name
ends in _ms or _ns.
"""

import dataclasses
import enum

from bronzehold.core import integers

# One millisecond in seconds.
MILLISECOND = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mark:
    """A log position that the reads of a session must include.

    Attributes:
        group: Name of the database group.
        term: Term of the primary that wrote the entry.
        position: Log position of the entry.
    """

    group: str
    term: int
    position: int

    def __str__(self) -> str:
        return f"{self.group}:{self.term}:{self.position}"


def parse_mark(text: str) -> Mark | None:
    """Parses the text form of a mark.

    Args:
        text: "group:term:position", as reported by the proxy.

    Returns:
        The mark, or None if the text is not a valid mark.
    """
    try:
        group, term, position = text.rsplit(":", 2)
        return Mark(
            group=group,
            term=integers.parse(term),
            position=integers.parse(position),
        )
    except ValueError:
        return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TermStart:
    """The start of a term in a log.

    Attributes:
        term: Number of the term.
        fork: Last position of the terms before it.
    """

    term: int
    fork: int


class Role(enum.Enum):
    """The current role of an endpoint in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointStatus:
    """The status that an endpoint returns to a poll.

    Attributes:
        role: Current role of the endpoint.
        term: Highest term it has promised; it refuses requests of older terms.
        log_term: Term of the primary whose log it holds.
        received: Last log position it holds.
        applied: Last log position that is visible to its readers.
        age: Seconds since its applied data was known to match the primary's.
        following: Endpoint whose log it replicates, "" for a primary.
        history: Start of every term in its log, oldest first.
    """

    role: Role
    term: int
    log_term: int
    received: int
    applied: int
    age: float
    following: str
    history: tuple[TermStart, ...]


class MarkState(enum.Enum):
    """The state of a log relative to a mark.

    SEEN: the entry is applied. BEHIND: the log has not reached it yet. LOST:
    the log diverged before the mark and will never contain it.
    """

    SEEN = "seen"
    BEHIND = "behind"
    LOST = "lost"


def evaluate_mark(mark: Mark, status: EndpointStatus) -> MarkState:
    """Returns whether the readers of an endpoint see a mark.

    The endpoint's own history is sufficient: a mark of an earlier term is in
    the log only if its position is not past the fork of the next term.

    Args:
        mark: The mark to look for.
        status: Status of the endpoint.

    Returns:
        SEEN, BEHIND, or LOST if the log diverged before the mark.
    """
    if mark.term > status.log_term:
        return MarkState.BEHIND
    for start in status.history:
        if start.term > mark.term:
            if mark.position > start.fork:
                return MarkState.LOST
            break
    if status.applied < mark.position:
        return MarkState.BEHIND
    return MarkState.SEEN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """One endpoint of a database group, as the operators configured it.

    Attributes:
        name: Name, unique within the whole configuration.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        region: Region of the zone.
        connections: Maximum number of connections, from all proxies.
        slots: Number of statements it runs concurrently.
        leaving: Whether it is being drained and gets no new work.
    """

    name: str
    host: str
    port: int
    zone: str
    region: str
    connections: int
    slots: int
    leaving: bool = False


class Ack(enum.Enum):
    """The condition for acknowledging a write.

    PRIMARY: the primary holds the write. REPLICA: a replica holds it, too.
    """

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A database group and its limits, under the name that callers use.

    Attributes:
        name: Database name that callers connect to; also the group's name.
        endpoints: Endpoints of the database group.
        max_age_ms: Maximum age of the data that its reads may see, in
            milliseconds; 0 if they may see no old data.
        deadline_ms: Maximum duration of a request in milliseconds, including
            the time in queues.
        ack: Condition for acknowledging a write.
        spend_seconds: Quota of statement seconds in each window, 0 for none.
        spend_window_s: Length of the quota window in seconds.
    """

    name: str
    endpoints: tuple[Endpoint, ...]
    max_age_ms: int = 0
    deadline_ms: int = 5000
    ack: Ack = Ack.REPLICA
    spend_seconds: int = 0
    spend_window_s: int = 60


@dataclasses.dataclass(frozen=True, kw_only=True)
class Document:
    """One accepted configuration.

    Attributes:
        revision: Revision number; each accepted change increments it by one.
        change_id: Id that the writer generates. It shows whether a write
            whose answer was lost has taken effect.
        author: Author of the change.
        services: All services, in the order of the sheet.
        lineage: Change ids of the documents before it, oldest first.
    """

    revision: int
    change_id: str
    author: str
    services: tuple[Service, ...]
    lineage: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """The endpoint that a request is sent to.

    Attributes:
        endpoint: Name of the endpoint.
        is_primary: Whether it is the primary.
        term: Term of the primary, 0 for a replica.
    """

    endpoint: str
    is_primary: bool
    term: int


class RequestLength(enum.Enum):
    """The expected duration of a request, as a class."""

    SHORT = "short"
    LONG = "long"
