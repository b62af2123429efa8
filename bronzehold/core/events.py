"""The typed events of the time line."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStarted:
    """A proxy process takes callers from now on."""

    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStopping:
    """A planned stop has begun."""

    callers: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStopped:
    """A planned stop is over."""

    cut: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigAdopted:
    """A configuration is in force on this proxy."""

    revision: int
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigRefused:
    """A document that is no configuration was not taken."""

    source: str
    problems: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantGained:
    """This proxy takes a primary's word from now on."""

    group: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantLapsed:
    """This proxy's right to take a primary's word has run out."""

    group: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimarySuspected:
    """The primary has not answered this proxy for too long."""

    group: str
    term: int
    primary: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeStarted:
    """This proxy has won the right to change a primary."""

    group: str
    term: int
    attempt: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeDrained:
    """No write is in flight on any proxy, as far as they answer."""

    group: str
    term: int
    waited_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeFenced:
    """A majority has promised the new term."""

    group: str
    term: int
    endpoints: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeWaited:
    """Every grant for the older term has lapsed."""

    group: str
    term: int
    waited_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangePromoted:
    """An endpoint has become primary."""

    group: str
    term: int
    primary: str
    position: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeFailed:
    """A change of primary ended without one."""

    group: str
    term: int
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FollowOrdered:
    """An endpoint was told whose log to take."""

    group: str
    term: int
    endpoint: str
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesDiscarded:
    """An endpoint held entries past the fork and has dropped them."""

    group: str
    term: int
    endpoint: str
    entries: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSeen:
    """A peer answers."""

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSilent:
    """A peer has stopped answering."""

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformAway:
    """The platform's service does not answer."""

    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformBack:
    """The platform's service answers again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryFound:
    """An endpoint was seen to lead its group in a new term."""

    group: str
    term: int
    primary: str
    gap_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryLost:
    """The endpoint that led a group does not lead it any more."""

    group: str
    term: int
    primary: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointListed:
    """An endpoint has listed itself, or changed what it lists."""

    group: str
    endpoint: str
    zone: str
    leaving: bool
    leads: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointGone:
    """An endpoint is not listed any more."""

    group: str
    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointFails:
    """An endpoint does not answer, or refuses a connection.

    Attributes:
        group: Its group.
        endpoint: Its id.
        leads: Whether it is the primary, as far as this proxy knows.
        refused: Whether nobody listens at its address.
        silent_ms: How long ago it answered last.
    """

    group: str
    endpoint: str
    leads: bool
    refused: bool
    silent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAnswers:
    """An endpoint that failed answers again."""

    group: str
    endpoint: str
    after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListingRefused:
    """What stands under a key names no endpoint to use."""

    key: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenWon:
    """This proxy may change the primary of a group, under this token."""

    group: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenLost:
    """Another proxy may change the primary of a group by now."""

    group: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromotionOrdered:
    """The platform was asked to make an endpoint primary."""

    group: str
    token: int
    primary: str
    position: str
    why: str
    outcome: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestFailed:
    """A statement was answered with a failure.

    Attributes:
        request: The caller's id for it.
        session: The caller.
        database: The database it asked.
        group: The service of its route.
        work: What kind of statement.
        failure: The failure's type.
        detail: What was known of it.
        endpoint: The last endpoint that was tried.
        tried: The tries before, each with why it did not serve the statement
            and the milliseconds since the statement had come.
        took_ms: How long the statement took in all.
        primary: The primary believed in at the end.
        term: Its term.
        proof_age_ms: Age of the newest proof, -1 for none.
        version: The configuration in force.
    """

    request: str
    session: str
    database: str
    group: str
    work: str
    failure: str
    detail: str
    endpoint: str
    tried: str
    took_ms: int
    primary: str
    term: int
    proof_age_ms: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSlow:
    """A statement was served, but took longer than its operation should.

    Attributes:
        request: The caller's id for it.
        session: The caller.
        database: The database it asked.
        group: The service of its route.
        work: What kind of statement.
        endpoint: Where it ran.
        tried: The tries before, as in RequestFailed.
        took_ms: How long it took in all.
        version: The configuration in force.
    """

    request: str
    session: str
    database: str
    group: str
    work: str
    endpoint: str
    tried: str
    took_ms: int
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestServed(RequestSlow):
    """One of many statements that were served as they should be."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventsNotLogged:
    """So many of the frequent events were left out since the last one."""

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsSignalled:
    """The process was told that its settings file has changed.

    Attributes:
        changed: The fields that differ; they apply from the next start.
    """

    changed: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskFailed:
    """A task ended by an error that nobody expected."""

    task: str
    error: str


Event = (
    ProxyStarted
    | ProxyStopping
    | ProxyStopped
    | ConfigAdopted
    | ConfigRefused
    | GrantGained
    | GrantLapsed
    | PrimarySuspected
    | ChangeStarted
    | ChangeDrained
    | ChangeFenced
    | ChangeWaited
    | ChangePromoted
    | ChangeFailed
    | FollowOrdered
    | EntriesDiscarded
    | PeerSeen
    | PeerSilent
    | PlatformAway
    | PlatformBack
    | TaskFailed
    | PrimaryFound
    | PrimaryLost
    | EndpointListed
    | EndpointGone
    | EndpointFails
    | EndpointAnswers
    | ListingRefused
    | TokenWon
    | TokenLost
    | PromotionOrdered
    | RequestFailed
    | RequestSlow
    | RequestServed
    | EventsNotLogged
    | SettingsSignalled
)
