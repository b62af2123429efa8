"""Metrics and log events of the requests of a caller of the platform path."""

import dataclasses

from bronzehold.connection import caller_host
from bronzehold.connection import forwarding_runner
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import request_events
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import metrics

# One in this many successful statements of a session is logged; slow and failed
# ones always are.
LOG_SAMPLE_INTERVAL = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Origin:
    """Where a request belongs.

    Attributes:
        route: The route of its database, None if none was found yet.
        workspace: The workspace of its caller, "" for none.
    """

    route: routes.Route | None
    workspace: str

    @property
    def service(self) -> str:
        """Name of the service, "" if there is no route yet."""
        return self.route.service if self.route else ""


class RequestRecorder:
    """Records the requests of one session; used by the caller's task.

    record_cut may be called from any task.

    Args:
        process: The process.
        runner: Runs the requests, and knows their attempts.
        session: Name of the session.
        database: The database that the caller named.
    """

    def __init__(
        self,
        *,
        process: caller_host.Host,
        runner: forwarding_runner.ForwardingRunner,
        session: str,
        database: str,
    ):
        self._process = process
        self._runner = runner
        self._session = session
        self._database = database
        self._served_count = 0

    def record(
        self,
        req: statements.Request,
        failure: errors.Failure | None,
        origin: Origin,
    ) -> None:
        """Records an answered request.

        Args:
            req: The request.
            failure: Its failure, None if it succeeded.
            origin: Where the request belongs.
        """
        elapsed_s = clock.now() - req.arrived
        outcome = "ok" if failure is None else type(failure).__name__
        key = metrics.Key(
            service=origin.service,
            statement_kind=type(req.statement).__name__,
            endpoint=self._runner.exchange.endpoint,
            outcome=outcome,
        )
        self._process.metrics.record(key, elapsed_s)
        if failure is not None:
            self._log_failure(req, failure, origin, elapsed_s)
            return
        target_s = origin.route.target_latency_s if origin.route else 0.0
        self._served_count += 1
        if elapsed_s > target_s:
            self._log_served(request_events.RequestSlow, req, origin, elapsed_s)
        elif self._served_count % LOG_SAMPLE_INTERVAL == 1:
            self._log_served(
                request_events.RequestServed, req, origin, elapsed_s
            )

    def record_cut(
        self,
        req: statements.Request,
        cause: str,
        *,
        service: str,
        in_transaction: bool,
    ) -> None:
        """Logs a request that ends without a whole answer.

        Args:
            req: The request.
            cause: The error that ends it, or that the process exits.
            service: Name of the service, "" if there is no route yet.
            in_transaction: Whether a transaction was open before it.
        """
        self._process.timeline.add_frequent(
            request_events.RequestCut(
                request=req.id,
                session=self._session,
                group=service,
                work=type(req.statement).__name__,
                endpoint=self._runner.exchange.endpoint,
                in_transaction=in_transaction,
                took_ms=int((clock.now() - req.arrived) * 1000),
                cause=cause,
            )
        )

    def _log_served(
        self,
        kind: type[request_events.RequestSlow],
        req: statements.Request,
        origin: Origin,
        elapsed_s: float,
    ) -> None:
        self._process.timeline.add_frequent(
            kind(**self._common_fields(req, origin, elapsed_s))
        )

    def _common_fields(
        self, req: statements.Request, origin: Origin, elapsed_s: float
    ) -> dict[str, str | int]:
        """Returns the fields common to all events of a request."""
        return {
            "request": req.id,
            "session": self._session,
            "database": self._database,
            "group": origin.service,
            "workspace": origin.workspace,
            "work": type(req.statement).__name__,
            "endpoint": self._runner.exchange.endpoint,
            "tried": self._format_attempts(req),
            "via": self._runner.via,
            "took_ms": int(elapsed_s * 1000),
            "version": self._process.table().version,
        }

    def _log_failure(
        self,
        req: statements.Request,
        failure: errors.Failure,
        origin: Origin,
        elapsed_s: float,
    ) -> None:
        served = self._process.service(origin.service)
        leader = served.group.leader() if served else None
        proof = served.group.proofs.newest() if served else None
        age = clock.now() - proof.at if proof else -0.001
        self._process.timeline.add_frequent(
            request_events.RequestFailed(
                **self._common_fields(req, origin, elapsed_s),
                failure=type(failure).__name__,
                detail=errors.report(failure).message,
                primary=leader.endpoint if leader else "",
                term=leader.term if leader else 0,
                proof_age_ms=int(age * 1000),
            )
        )

    def _format_attempts(self, req: statements.Request) -> str:
        """Returns the failed attempts with milliseconds since the request."""
        return ", ".join(
            f"{attempt.endpoint} {_reason(attempt.failure)} "
            f"+{int((attempt.failed_at - req.arrived) * 1000)}"
            for attempt in self._runner.exchange.attempts
        )


def _reason(failure: errors.Failure) -> str:
    match failure:
        case errors.EndpointError(reason=reason, detail=detail):
            return f"{reason.value} {detail}".rstrip()
        case _:
            return type(failure).__name__
