"""The events that a proxy process records in its timeline and its log.

process.timeline writes the names of these classes and of their fields to the
log, so they are part of the log format. Those of requests, endpoints and the
platform's store are in modules of their own.
"""

import dataclasses

from bronzehold.core import endpoint_events
from bronzehold.core import promotion_events
from bronzehold.core import request_events
from bronzehold.core import store_events


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStarted:
    """The proxy process has started to accept callers.

    Attributes:
        port: TCP port for callers.
    """

    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStopping:
    """A planned stop has begun.

    Attributes:
        callers: Number of connected callers.
    """

    callers: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallersPortClosed:
    """A planned stop has closed the port for callers.

    Attributes:
        callers: Number of connections of callers.
        busy: Number of them with a request or a transaction in progress.
    """

    callers: int
    busy: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyStopped:
    """A planned stop has ended.

    Attributes:
        cut: Number of connections whose request got no whole answer.
        ended: Number of connections with a request or a transaction that the
            stop ended.
    """

    cut: int
    ended: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigAdopted:
    """This proxy has applied a configuration.

    Attributes:
        revision: Revision of the configuration.
        source: Origin of the configuration.
    """

    revision: int
    source: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigRefused:
    """A configuration was rejected as invalid.

    Attributes:
        source: Origin of the configuration.
        problems: Problems found in it.
    """

    source: str
    problems: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantGained:
    """This proxy has obtained a grant to use the group's primary."""

    group: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GrantLapsed:
    """The grant of this proxy to use the group's primary has expired."""

    group: str
    term: int
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimarySuspected:
    """This proxy considers that the primary must be replaced.

    Attributes:
        group: Name of the group.
        term: Term of the primary.
        primary: Name of the primary, "" if none is known.
        why: Reason, for example that the primary does not answer.
    """

    group: str
    term: int
    primary: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeStarted:
    """This proxy has claimed a new term in order to change the primary.

    Attributes:
        group: Name of the group.
        term: Claimed term.
        attempt: Id of the attempt.
        why: Reason for the change.
    """

    group: str
    term: int
    attempt: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeDrained:
    """No write is in flight on any proxy that answers.

    Attributes:
        group: Name of the group.
        term: Term of the present primary.
        waited_ms: Time in ms until the writes had ended.
    """

    group: str
    term: int
    waited_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeFenced:
    """A majority of the endpoints has promised the new term.

    Attributes:
        group: Name of the group.
        term: New term.
        endpoints: Names of these endpoints.
    """

    group: str
    term: int
    endpoints: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeWaited:
    """All grants for the older term have expired.

    Attributes:
        group: Name of the group.
        term: New term.
        waited_ms: Time in ms since the majority was fenced.
    """

    group: str
    term: int
    waited_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangePromoted:
    """An endpoint was promoted to primary.

    Attributes:
        group: Name of the group.
        term: Term of the new primary.
        primary: Name of the new primary.
        position: Last log position that it held when it was promoted.
    """

    group: str
    term: int
    primary: str
    position: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeFailed:
    """A change of primary ended without a new primary."""

    group: str
    term: int
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FollowOrdered:
    """An endpoint was ordered to replicate from a primary."""

    group: str
    term: int
    endpoint: str
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntriesDiscarded:
    """An endpoint has discarded log entries after the fork of a new term.

    Attributes:
        group: Name of the group.
        term: Term of the log that the endpoint now holds.
        endpoint: Name of the endpoint.
        entries: Number of discarded entries.
    """

    group: str
    term: int
    endpoint: str
    entries: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSeen:
    """A peer was seen for the first time, or answers again."""

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSilent:
    """A peer has stopped answering."""

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryFound:
    """This proxy has found the primary of a group.

    Attributes:
        group: Name of the group.
        term: Term of the primary.
        primary: Id of the primary.
        gap_ms: Time in ms for which no primary was known, 0 if the group
            changed directly from one primary to the next.
    """

    group: str
    term: int
    primary: str
    gap_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryLost:
    """The endpoint that was the primary of a group no longer is."""

    group: str
    term: int
    primary: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServingSetChanged:
    """Other proxies serve a service than before, as this proxy sees it.

    Attributes:
        group: The service.
        proxies: Names of the proxies that serve it.
    """

    group: str
    proxies: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimiterRoleChanged:
    """This proxy holds another share of a workspace's limit than before.

    Attributes:
        workspace: Name of the workspace.
        role: "limiter", "standby" or "none".
        tokens: Tokens that it starts with.
        first: Name of the first proxy in the order of the workspace's limiters.
        present: Number of live proxies of the region.
        known: Number of known proxies of the region.
        in_contact: Whether more than half of the known ones were heard lately.
        version: Version of the configuration.
    """

    workspace: str
    role: str
    tokens: float
    first: str
    present: int
    known: int
    in_contact: bool
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimiterUnanswered:
    """A limiter gave no tokens and no refusal, so it is not asked for a while.

    Attributes:
        workspace: Name of the workspace.
        peer: Name of the proxy that was asked.
        ended: Whether it is stopping, or no process listens there.
        why: Cause of the failure.
        asked: Number of tokens that were asked for.
    """

    workspace: str
    peer: str
    ended: bool
    why: str
    asked: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventsNotLogged:
    """Frequent events were not logged because of the rate limit.

    Attributes:
        count: Number of events left out since the last event of this type.
    """

    count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsSignalled:
    """The process was signalled that its settings file has changed.

    Attributes:
        changed: Fields that differ; they take effect at the next start.
    """

    changed: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TaskFailed:
    """A task ended with an unexpected error."""

    task: str
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitReached:
    """A limit on what callers or peers may hold has taken effect.

    Attributes:
        bound: The limit: "receive_budget_mb", "max_descriptors" or
            "message_time".
        action: What was done: "refused", "closed" or "state refused".
        amount: Bytes or connections that it was done to.
        used: Bytes or connections of the whole process at that time.
        limit: The value of the limit.
    """

    bound: str
    action: str
    amount: int
    used: int
    limit: int


Event = (
    ProxyStarted
    | ProxyStopping
    | CallersPortClosed
    | ProxyStopped
    | request_events.RequestCut
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
    | store_events.PlatformAway
    | store_events.PlatformBack
    | store_events.StoreEraChanged
    | store_events.StoreAnswerDiscarded
    | store_events.StoreEntryDiscarded
    | store_events.TokenRecordRestored
    | TaskFailed
    | PrimaryFound
    | PrimaryLost
    | endpoint_events.EndpointListed
    | endpoint_events.EndpointGone
    | endpoint_events.EndpointFails
    | endpoint_events.EndpointAnswers
    | endpoint_events.EndpointSlow
    | endpoint_events.EndpointRecovered
    | endpoint_events.ListingRefused
    | promotion_events.TokenWon
    | promotion_events.TokenLost
    | promotion_events.PromotionOrdered
    | promotion_events.SuccessorAwaited
    | promotion_events.SuccessorChosen
    | promotion_events.WritesHeld
    | promotion_events.WritesReleased
    | request_events.RequestFailed
    | request_events.RequestSlow
    | request_events.RequestServed
    | request_events.ForwardedRequestFailed
    | ServingSetChanged
    | request_events.ForwardFailed
    | LimiterRoleChanged
    | LimiterUnanswered
    | EventsNotLogged
    | SettingsSignalled
    | LimitReached
)
