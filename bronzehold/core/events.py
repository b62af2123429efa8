"""The events that a proxy process records in its timeline and its log.

process.timeline writes the names of these classes and of their fields to the
log, so they are part of the log format.
"""

import dataclasses


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
class CallerNotified:
    """A planned stop has told a caller without a request that it closes.

    Attributes:
        session: Name of the session.
        in_transaction: Whether a transaction was open; it is rolled back.
    """

    session: str
    in_transaction: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestCut:
    """A request that was read ends without a whole answer to its sender.

    Attributes:
        request: Request id.
        session: Name of the session, "" for a request of another proxy.
        group: Name of the group.
        work: Kind of statement.
        endpoint: Name of the endpoint that was tried last, "" if there was
            none.
        in_transaction: Whether a transaction was open before the request.
        took_ms: Time since the request was read, in ms.
        cause: The error that ended it, or that the process exits.
    """

    request: str
    session: str
    group: str
    work: str
    endpoint: str
    in_transaction: bool
    took_ms: int
    cause: str


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
class PlatformAway:
    """The platform's key-value service does not answer."""

    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformBack:
    """The platform's key-value service answers again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreEraChanged:
    """The store has returned from an older copy, or its era is now known.

    Attributes:
        old: The highest era seen before, 0 for none.
        new: The era.
        forgotten: What this process knew of older eras and does not use again.
    """

    old: int
    new: int
    forgotten: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreAnswerDiscarded:
    """A call to the store was not sent, or its answer was not used.

    Attributes:
        call: The call.
        answered: The era of the answer, or the highest era seen if the call was
            not sent.
        expected: The era that the call was based on.
    """

    call: str
    answered: int
    expected: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreEntryDiscarded:
    """An entry in the store is older than one already acted on.

    Attributes:
        key: Key of the entry.
        era: Era in which it was read.
        found: Version that the store holds.
        known: Version in force here.
    """

    key: str
    era: int
    found: str
    known: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenRecordRestored:
    """A holder has written the record of its fencing token again.

    Attributes:
        group: Name of the group.
        token: The fencing token.
        found: The fencing token of the record that was replaced, 0 for none.
        era: Era of the store.
    """

    group: str
    token: int
    found: int
    era: int


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
class EndpointListed:
    """An endpoint has registered itself or has changed its listing."""

    group: str
    endpoint: str
    zone: str
    leaving: bool
    leads: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointGone:
    """An endpoint is no longer listed."""

    group: str
    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointFails:
    """An endpoint does not answer, or refuses a connection.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        leads: Whether it is the primary, as far as this proxy knows.
        refused: Whether it refused a connection.
        silent_ms: Time in ms since its last answer.
    """

    group: str
    endpoint: str
    leads: bool
    refused: bool
    silent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAnswers:
    """An endpoint that failed answers again.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        after_ms: Time in ms since it began to fail.
    """

    group: str
    endpoint: str
    after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSlow:
    """An endpoint is slow, or fails more statements, than its siblings.

    Reads that may run elsewhere leave it, except for a few.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        cause: "slow" or "failing".
        leads: Whether it is the primary, as far as this proxy knows.
        ratio: Its slowness relative to its best sibling.
        service_ms: Usual duration of its statements in ms, without the
            network's part.
        failed_share: Fraction of its recent statements that failed.
        best_failed_share: The same of its best sibling.
        capacity: Limit on statements in flight.
        responses: Number of statements that the decision rests on.
        measured_ms: Age of the last of them in ms.
        from_peers: Whether it rests on the reports of peers.
    """

    group: str
    endpoint: str
    cause: str
    leads: bool
    ratio: float
    service_ms: float
    failed_share: float
    best_failed_share: float
    capacity: int
    responses: int
    measured_ms: int
    from_peers: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRecovered:
    """An endpoint that was slow or failing is like its siblings again.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        after_ms: Time in ms since the EndpointSlow event.
        ratio: Its slowness relative to its best sibling.
        failed_share: Fraction of its recent statements that failed.
        measured_ms: Age of its last statement in ms.
        why: "measured", "not measured" if no statement has run there for long,
            "role changed", or "gone".
    """

    group: str
    endpoint: str
    after_ms: int
    ratio: float
    failed_share: float
    measured_ms: int
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListingRefused:
    """A listing in the store is invalid and was ignored.

    Attributes:
        key: Key of the listing.
        why: Problems found in it.
    """

    key: str
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenWon:
    """This proxy has acquired the fencing token of a group.

    Its holder alone may change the primary of the group.
    """

    group: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenLost:
    """Another proxy has acquired the fencing token of a group."""

    group: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromotionOrdered:
    """The platform was ordered to promote an endpoint to primary.

    Attributes:
        group: Name of the group.
        token: Fencing token of the order.
        primary: Id of the endpoint to promote.
        position: Last known log position of the endpoint, "" if it is already
            the primary.
        why: Reason for the order.
        outcome: Type of the outcome; see ports.OrderOutcome.
    """

    group: str
    token: int
    primary: str
    position: str
    why: str
    outcome: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuccessorAwaited:
    """A lost primary is not replaced yet: no endpoint is known to have all.

    Attributes:
        group: Name of the group, whose commits a replica confirms.
        endpoints: The listed endpoints that have not reported their logs.
    """

    group: str
    endpoints: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestFailed:
    """A statement failed.

    Attributes:
        request: Id that the caller gave the statement.
        session: Session of the caller.
        database: Database name that the caller connected to.
        group: Service of the route.
        work: Type of the statement.
        failure: Type of the failure; see errors.Failure.
        detail: Message of the failure.
        endpoint: Last endpoint that was tried.
        tried: Failed attempts, each with the endpoint, the reason and the time
            in ms since the statement arrived.
        via: Proxy that the statement was forwarded to, "" if none.
        took_ms: Duration of the statement in ms.
        primary: Primary known at the time of the failure, "" if none.
        term: Term of the primary.
        proof_age_ms: Age of the newest proof in ms, -1 if there is none.
        version: Version of the configuration in force.
        workspace: Workspace of the caller, "" for none.
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
    via: str
    took_ms: int
    primary: str
    term: int
    proof_age_ms: int
    version: int
    workspace: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestSlow:
    """A statement was served, but took longer than the target of its route.

    Attributes:
        request: Id that the caller gave the statement.
        session: Session of the caller.
        database: Database name that the caller connected to.
        group: Service of the route.
        work: Type of the statement.
        endpoint: Endpoint that ran the statement.
        tried: Failed attempts, as in RequestFailed.
        via: Proxy that the statement was forwarded to, "" if none.
        took_ms: Duration of the statement in ms.
        version: Version of the configuration in force.
        workspace: Workspace of the caller, "" for none.
    """

    request: str
    session: str
    database: str
    group: str
    work: str
    endpoint: str
    tried: str
    via: str
    took_ms: int
    version: int
    workspace: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestServed(RequestSlow):
    """A sample of the statements that were served within their target."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyRefused:
    """A caller's key is unknown or was revoked; nothing of it ran.

    Attributes:
        session: Session of the caller, "" if it was refused at its start.
        database: Database name that the caller connected to.
        version: Version of the configuration that does not hold the key.
        in_transaction: Whether an open transaction was rolled back.
    """

    session: str
    database: str
    version: int
    in_transaction: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedRequestFailed:
    """A statement that another proxy forwarded to this one failed here.

    Attributes:
        request: Id that the caller gave the statement.
        session: Session of the caller; it begins with the name of its proxy.
        group: Service of the route.
        endpoint: Last endpoint that was tried.
        failure: Type of the failure; see errors.Failure.
        detail: Message of the failure.
        took_ms: Time in ms since this proxy received the statement.
    """

    request: str
    session: str
    group: str
    endpoint: str
    failure: str
    detail: str
    took_ms: int


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
class ForwardFailed:
    """A proxy did not take a statement, so it gets none for a while.

    Attributes:
        peer: Name of the proxy.
        why: Cause of the failure.
    """

    peer: str
    why: str


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
    | RequestCut
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
    | StoreEraChanged
    | StoreAnswerDiscarded
    | StoreEntryDiscarded
    | TokenRecordRestored
    | TaskFailed
    | PrimaryFound
    | PrimaryLost
    | EndpointListed
    | EndpointGone
    | EndpointFails
    | EndpointAnswers
    | EndpointSlow
    | EndpointRecovered
    | ListingRefused
    | TokenWon
    | TokenLost
    | PromotionOrdered
    | SuccessorAwaited
    | RequestFailed
    | RequestSlow
    | RequestServed
    | ForwardedRequestFailed
    | ServingSetChanged
    | ForwardFailed
    | LimiterRoleChanged
    | LimiterUnanswered
    | EventsNotLogged
    | SettingsSignalled
    | LimitReached
)
