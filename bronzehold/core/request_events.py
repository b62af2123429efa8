"""The events of callers and their requests.

The names of these classes and of their fields are part of the log format, see
events.py.
"""

import dataclasses


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
class ForwardFailed:
    """A proxy did not take a statement, so it gets none for a while.

    Attributes:
        peer: Name of the proxy.
        why: Cause of the failure.
    """

    peer: str
    why: str
