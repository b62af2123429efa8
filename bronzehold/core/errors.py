"""The failures of a request, as one record type for each cause.

Every failure has exactly one of three outcomes: the request was not run, its
outcome is unknown, or it ran and failed. report() maps a failure to its
outcome, its SQLSTATE and the message for the caller.
"""

import dataclasses
import enum

from bronzehold.core import statements

# Messages quote names and values of callers, of up to a mebibyte each.
MAX_MESSAGE_LENGTH = 1000


class Outcome(enum.Enum):
    """The outcome of a request that failed."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "run and failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overloaded:
    """The request could not be served within its deadline because of load.

    Attributes:
        endpoint: Name of the endpoint, or of the group if all are busy.
        expected_ms: Expected wait in ms; for a group, the expected duration of
            the request.
    """

    endpoint: str
    expected_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoPrimary:
    """No endpoint is known to be the primary of the group."""

    group: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoFreshEndpoint:
    """No reachable endpoint has data that is fresh enough for the read."""

    group: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceUnknown:
    """No service has the database name that the caller requested."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AccessDenied:
    """The caller's user name or password is invalid."""

    user: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyDenied:
    """The caller's key is unknown or has been revoked."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyUnconfirmed:
    """The proxy has not been able to confirm its configuration for too long.

    The caller's key may have been revoked meanwhile.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServedElsewhere:
    """The endpoint for the statement is served by proxies of its region.

    A proxy reports it to another one, never to a caller.
    """

    region: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stopping:
    """This proxy is stopping; the caller must connect to another one."""

    proxy: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemoryShort:
    """The proxy has no memory for what the caller sends.

    Attributes:
        purpose: What the memory is for.
    """

    purpose: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConnectionsShort:
    """The proxy closes or refuses a connection since it has too many."""

    proxy: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpendReached:
    """The service has used up its statement seconds for this window."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimited:
    """The workspace has used up its rate limit for now.

    Attributes:
        workspace: Name of the workspace.
        retry_after_ms: Time until its next operation may be let through, in ms.
    """

    workspace: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsupported:
    """The statement needs state that pooled connections do not preserve."""

    feature: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed:
    """The caller violated the protocol."""

    problem: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NameMissing:
    """The caller used the name of an unknown statement or portal.

    Attributes:
        kind: "statement" or "portal".
        name: The unknown name.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadValue:
    """A variable of the proxy itself was set to an invalid value."""

    variable: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFailedTransaction:
    """A statement was sent in a transaction that had already failed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionLost:
    """The endpoint was lost before the commit was sent: no write persists."""

    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """The endpoint may or may not have executed the request."""

    endpoint: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerCut:
    """A read was cut off after part of its answer may have been forwarded.

    Attributes:
        endpoint: Name of the endpoint.
        reason: Cause of the loss, "" if it is not known.
    """

    endpoint: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class MarkLost:
    """An earlier write of the session was lost in a change of primary."""

    mark: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MarkAhead:
    """No endpoint reached the session's mark within the deadline."""

    mark: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedOut:
    """The endpoint did not answer within the statement's timeout.

    Attributes:
        endpoint: Name of the endpoint.
        waited_ms: Timeout of the statement in ms.
    """

    endpoint: str
    waited_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """No connection to the endpoint could be opened."""

    endpoint: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointError:
    """An error that the endpoint itself returned.

    Attributes:
        endpoint: Name of the endpoint.
        reason: Class of the error.
        detail: Further text of the endpoint's answer.
    """

    endpoint: str
    reason: statements.RefusalReason
    detail: str


Failure = (
    Overloaded
    | TimedOut
    | Unreachable
    | EndpointError
    | NoPrimary
    | NoFreshEndpoint
    | ServiceUnknown
    | AccessDenied
    | KeyDenied
    | KeyUnconfirmed
    | ServedElsewhere
    | Stopping
    | MemoryShort
    | ConnectionsShort
    | SpendReached
    | RateLimited
    | Unsupported
    | Malformed
    | NameMissing
    | BadValue
    | InFailedTransaction
    | TransactionLost
    | OutcomeUnknown
    | AnswerCut
    | MarkLost
    | MarkAhead
)


class FailureError(Exception):
    """Carries a failure to the code that answers the caller."""

    def __init__(self, failure: Failure):
        super().__init__(failure)
        self.failure = failure


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The report of a failure to a caller.

    Attributes:
        outcome: Outcome of the request.
        sqlstate: Five-character SQLSTATE.
        message: Human-readable message.
    """

    outcome: Outcome
    sqlstate: str
    message: str


def report(failure: Failure) -> Report:
    """Maps a failure to the report that the caller receives."""
    match failure:
        case Overloaded(endpoint=endpoint, expected_ms=expected_ms):
            return _not_run(
                "53300", f"{endpoint} is busy for another {expected_ms} ms"
            )
        case NoPrimary(group=group):
            return _not_run("57P03", f"no primary is known for {group}")
        case NoFreshEndpoint(group=group):
            return _not_run("57P03", f"no endpoint of {group} is fresh enough")
        case ServiceUnknown(service=service):
            return _not_run("3D000", f'service "{service}" does not exist')
        case AccessDenied(user=user):
            return _not_run("28P01", f'user "{user}" is not let in')
        case KeyDenied():
            return _not_run("28000", "the key is not valid")
        case KeyUnconfirmed():
            return _not_run("57P03", "the key cannot be confirmed at present")
        case ServedElsewhere(region=region):
            return _not_run("57P03", f"proxies in {region} serve it")
        case Stopping(proxy=proxy):
            return _not_run("57P01", f"proxy {proxy} is stopping")
        case MemoryShort(purpose=purpose):
            return _not_run("53200", f"no memory for {purpose}")
        case ConnectionsShort(proxy=proxy):
            return _not_run("53300", f"proxy {proxy} has too many connections")
        case SpendReached(service=service):
            return _not_run("53400", f"{service} has spent its seconds")
        case RateLimited(workspace=workspace, retry_after_ms=retry_after_ms):
            return _not_run(
                "53400",
                f"{workspace} is over its rate limit for another "
                f"{retry_after_ms} ms",
            )
        case Unsupported(feature=feature):
            return _not_run("0A000", f"{feature} is not supported by the proxy")
        case Malformed(problem=problem):
            return _not_run("08P01", f"protocol violation: {problem}")
        case NameMissing(kind=kind, name=name):
            state = "26000" if kind == "statement" else "34000"
            return _not_run(state, f'{kind} "{name}" does not exist')
        case BadValue(variable=variable, value=value):
            return _not_run("22023", f'"{value}" is no value for {variable}')
        case InFailedTransaction():
            return _not_run("25P02", "the transaction has already failed")
        case MarkAhead(mark=mark):
            return _not_run("57P03", f"no endpoint has reached mark {mark}")
        case MarkLost(mark=mark):
            return _not_run("72000", f"the write at mark {mark} was lost")
        case OutcomeUnknown(endpoint=endpoint, reason=reason):
            return Report(
                outcome=Outcome.UNKNOWN,
                sqlstate="08007",
                message=f"outcome unknown on {endpoint}: {reason}",
            )
        case TransactionLost(endpoint=endpoint):
            return Report(
                outcome=Outcome.FAILED,
                sqlstate="08006",
                message=f"{endpoint} was lost, the transaction rolled back",
            )
        case TimedOut(endpoint=endpoint, waited_ms=waited_ms):
            return Report(
                outcome=Outcome.UNKNOWN,
                sqlstate="57014",
                message=f"{endpoint} did not answer within {waited_ms} ms",
            )
        case Unreachable(endpoint=endpoint, reason=reason):
            return _not_run("57P03", f"{endpoint} cannot be reached: {reason}")
        case EndpointError(endpoint=endpoint, reason=reason, detail=detail):
            not_run = reason in statements.NOT_RUN_REASONS
            return Report(
                outcome=Outcome.NOT_RUN if not_run else Outcome.FAILED,
                sqlstate="58000",
                message=f"{endpoint}: {reason.value} {detail}",
            )
        case AnswerCut(endpoint=endpoint, reason=reason):
            cause = f": {reason}" if reason else ""
            return Report(
                outcome=Outcome.FAILED,
                sqlstate="08006",
                message=f"{endpoint} was lost while it answered the read"
                + cause,
            )


def _not_run(sqlstate: str, message: str) -> Report:
    return Report(
        outcome=Outcome.NOT_RUN,
        sqlstate=sqlstate,
        message=f"not run: {message[:MAX_MESSAGE_LENGTH]}",
    )
