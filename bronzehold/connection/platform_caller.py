"""Connection of one caller of the platform path.

Reads statements, runs them on the runner, sends the answers to the caller and
records metrics and log events of the requests.
"""

import math
import threading
import typing

from bronzehold.connection import forward_client
from bronzehold.connection import forwarding_runner
from bronzehold.connection import operation_token
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import events
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import metrics
from bronzehold.process import platform_service
from bronzehold.process import rate_limiter as rate_limiter_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import access

# One in this many successful statements of a session is logged; slow and failed
# ones always are.
LOG_SAMPLE_INTERVAL = 100


# A stop closes a connection that has been quiet for this long.
QUIET_S = 0.04
# The time between the announcement of the close and the close, if the caller
# does not close the connection before. It covers a round trip between regions,
# and ends before the port closes (drain.CLOSE_LEAD_S) for callers that were
# idle, so that they delay no exit.
CROSSING_S = 0.15


class Host(typing.Protocol):
    """The part of the process that a caller uses.

    Attributes:
        name: The name of the proxy.
        timeline: The log of events.
        metrics: The metrics.
        shutdown: The planned stop of the proxy.
        rate_limiter: The limits of the workspaces.
    """

    name: str
    timeline: timeline_lib.Timeline
    metrics: metrics.Metrics
    shutdown: shutdown_lib.Shutdown
    rate_limiter: rate_limiter_lib.RateLimiter | None

    def table(self) -> routes.Table:
        """Returns the current routing table."""

    def find_route(self, database: str) -> routes.Route | None:
        """Returns the route of a database, None if it is unknown."""

    def service(self, name: str) -> platform_service.PlatformService | None:
        """Returns a service by its name, None if it is unknown."""


class Caller:
    """Serves one caller.

    stop, end, busy and report_cut may be called from any task; all other
    methods run in the caller's own task.
    """

    def __init__(
        self,
        *,
        link: ports.CallerConn,
        database: str,
        key: str,
        process: Host,
        name: str,
        links: forward_client.Links,
    ):
        self._link = link
        self._database = database
        # A secret: never logged and never sent to endpoints or peers.
        self._key = key
        self._access = access.Granted(workspace="")
        self._version = 0
        self._process = process
        self._session = platform_session.PlatformSession(name=name)
        self._runner = forwarding_runner.ForwardingRunner(
            session=self._session, links=links
        )
        self._token = operation_token.OperationToken(
            limiter=process.rate_limiter
        )
        self._route: routes.Route | None = None
        self._lock = threading.Lock()
        # Since when a request outside of a transaction is waited for, in
        # seconds of clock.now(); None at other times.
        self._waiting_since: float | None = None
        self._stopping = False
        # Whether the caller was refused because the proxy stops or its key was
        # revoked, so that the connection ends after what has arrived.
        self._refused = False
        # Since when the caller is told that its next request will not run, in
        # seconds of clock.now(); None if it is not.
        self._announced_at: float | None = None
        self._announced = self._stop_failure()
        self._receiving = False
        # The request that has been read and not been answered yet.
        self._unanswered: statements.Request | None = None
        self._in_transaction = False
        self._served_count = 0
        self._state_bytes = 0

    # Connection lifecycle.

    def serve(self) -> None:
        """Serves statements until the caller disconnects or the proxy stops."""
        try:
            while True:
                # A large request is not kept during the wait for the next one.
                req = None
                req = self._receive()
                if req is None:
                    return
                self._unanswered = req
                if self._announced_at is None:
                    self._in_transaction = not self._is_outside_block()
                    self._answer(req)
                else:
                    self._refuse_announced(req)
                self._unanswered = None
        except Exception as exc:
            self.report_cut(f"{type(exc).__name__}: {exc}")
            raise
        finally:
            self._runner.end_block(blocks.Idle())
            self._token.end()

    def _refuse_announced(self, req: statements.Request) -> None:
        """Refuses a request that crossed the announcement of the close.

        The refusal of the next one is announced as well, for requests that
        arrive after the close.
        """
        self._runner.reset()
        self._runner.end_block(blocks.Idle())
        self._record(req, self._announced)
        if isinstance(self._announced, errors.KeyDenied):
            # If the key is valid again, end_if_revoked no longer ends it.
            self._refused = True
        self._link.fail(self._announced, self._state())
        self._link.announce(self._announced)

    def _is_outside_block(self) -> bool:
        return isinstance(self._runner.block, blocks.Idle)

    def _receive(self) -> statements.Request | None:
        while True:
            outside_block = self._is_outside_block()
            with self._lock:
                if self._refused and outside_block:
                    # What has arrived already is still received.
                    self._link.stop_receiving()
                self._waiting_since = clock.now() if outside_block else None
                self._receiving = True
            try:
                return self._link.receive(self._receive_timeout_s())
            except TimeoutError:
                # The endpoint connection is returned to the pool. The caller
                # gets the error with its next statement, because drivers
                # discard messages that they did not ask for.
                self._runner.end_block(blocks.Failed())
            finally:
                with self._lock:
                    self._waiting_since = None
                    self._receiving = False

    def _receive_timeout_s(self) -> float | None:
        match self._runner.block:
            case blocks.Pinned() | blocks.Forwarded():
                return self._process.table().idle_transaction_s
            case _:
                return None

    def stop(self) -> None:
        """Closes the connection when it is quiet and no transaction is open.

        Called again and again until then. A caller that is never quiet is
        refused its next request once not all are accepted any more.
        """
        with self._lock:
            self._stopping = True
            self._close_when_quiet(self._stop_failure())

    def _stop_failure(self) -> errors.Failure:
        return errors.Stopping(proxy=self._process.name)

    def _close_when_quiet(self, failure: errors.Failure) -> None:
        now = clock.now()
        since = self._waiting_since
        if self._announced_at is not None:
            if now - self._announced_at >= CROSSING_S:
                self._link.stop_receiving()
        elif since is not None and now - since >= QUIET_S:
            self._announce_close(now, failure)

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""
        with self._lock:
            self._stopping = True
            if self._receiving and self._announced_at is None:
                self._announce_close(clock.now(), self._stop_failure())
            self._link.stop_receiving()

    def end_if_revoked(self) -> None:
        """Closes the connection if it is quiet and its key was revoked."""
        if not isinstance(self._look_up_key(), access.Denied):
            return
        with self._lock:
            self._close_when_quiet(errors.KeyDenied())

    def _announce_close(self, now: float, failure: errors.Failure) -> None:
        """Tells a caller without a request that its next one will not run.

        That request may be on its way already, and its caller could not know
        whether it was run if the connection were just closed.
        """
        self._announced_at = now
        self._announced = failure
        self._link.announce(failure)
        self._process.timeline.add_frequent(
            events.CallerNotified(
                session=self._session.name,
                in_transaction=self._waiting_since is None,
            )
        )

    def waiting_since(self) -> float | None:
        """Returns since when a request is waited for outside a transaction.

        In seconds of clock.now(); None at other times.
        """
        with self._lock:
            return self._waiting_since

    def in_transaction(self) -> bool:
        """Returns whether a transaction was open before the last request."""
        return self._in_transaction

    def close_idle(self) -> None:
        """Closes the connection if no request or transaction is in progress.

        Requests that have arrived already are answered.
        """
        with self._lock:
            if self._waiting_since is not None:
                self._link.stop_receiving()

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""
        with self._lock:
            return self._waiting_since is None

    def report_cut(self, cause: str) -> bool:
        """Logs the request that ends without a whole answer, if there is one.

        Args:
            cause: The error that ends it, or that the process exits.

        Returns:
            Whether there is one.
        """
        req = self._unanswered
        if req is None:
            return False
        self._process.timeline.add_frequent(
            events.RequestCut(
                request=req.id,
                session=self._session.name,
                group=self._route.service if self._route else "",
                work=type(req.statement).__name__,
                endpoint=self._runner.exchange.endpoint,
                in_transaction=self._in_transaction,
                took_ms=int((clock.now() - req.arrived) * 1000),
                cause=cause,
            )
        )
        return True

    # Answering.

    def _answer(self, req: statements.Request) -> None:
        self._runner.reset()
        try:
            self._check_key()
            completed = self._run(req)
        except errors.FailureError as exc:
            self._end_operation()
            self._record(req, exc.failure)
            self._link.fail(exc.failure, self._state())
            return
        self._end_operation()
        if completed is None:
            self._link.acknowledge(self._state())
        else:
            self._record(req, None)
            self._link.complete(completed.body, self._state())

    def _end_operation(self) -> None:
        if self._is_outside_block():
            self._token.end()

    def _look_up_key(self) -> access.Granted | access.Denied:
        table = self._process.table()
        route = table.routes.get(self._database) or self._route
        if route is None:
            return self._access
        return access.check(table, route, self._key)

    def _check_key(self) -> None:
        """Refuses the request if the caller's key has been revoked.

        An open transaction is rolled back. It is also if the key has become
        another workspace's, since its connection belongs to the former one.
        """
        version = self._process.table().version
        match self._look_up_key():
            case access.Granted() as granted if (
                self._is_outside_block() or granted == self._access
            ):
                self._access = granted
                self._version = version
            case _:
                self._refused = True
                self._process.timeline.add_frequent(
                    events.KeyRefused(
                        session=self._session.name,
                        database=self._database,
                        version=version,
                        in_transaction=not self._is_outside_block(),
                    )
                )
                self._runner.end_block(blocks.Idle())
                raise _failure_error(errors.KeyDenied())

    def _state(self) -> statements.TransactionState:
        return blocks.state(self._runner.block)

    def _run(self, req: statements.Request) -> statements.Completed | None:
        """Runs a statement; returns None if no endpoint was needed."""
        if isinstance(self._runner.block, blocks.Failed):
            return self._run_failed(req)
        match req.statement:
            case statements.SetValue(name=name, value=value):
                self._charge_state(name, self._session.values.get(name), value)
                self._session.values[name] = value
            case statements.Prepare(name=name, shape=shape) as statement:
                stored = self._session.names.get(name)
                self._charge_state(name, stored and stored.shape, shape)
                self._session.names[name] = platform_session.make_prepared(
                    statement
                )
            case statements.Deallocate(name=name):
                stored = self._session.names.pop(name, None)
                if stored is None:
                    raise _failure_error(_missing_statement(name))
                self._charge_state(name, stored.shape, None)
            case statements.Begin(read_only=read_only):
                self._begin(read_only=read_only)
            case statements.Rollback():
                self._runner.roll_back()
            case statements.Invalid(problem=what):
                raise _failure_error(errors.Malformed(problem=what))
            case statements.Commit():
                return self._commit(req)
            case statements.Read():
                return self._run_on_endpoint(req, writes=False, prepared="")
            case statements.Write():
                return self._run_on_endpoint(req, writes=True, prepared="")
            case statements.Execute(name=name):
                stored = self._session.names.get(name)
                if stored is None:
                    raise _failure_error(_missing_statement(name))
                return self._run_on_endpoint(
                    req, writes=stored.writes, prepared=stored.shared_name
                )
        return None

    def _charge_state(
        self, name: str, old: str | None, new: str | None
    ) -> None:
        """Charges the memory for a named text of the session.

        Args:
            name: The name.
            old: The text that is replaced, None for none.
            new: The new text, None for none.
        """
        size = self._state_bytes
        size += platform_session.entry_bytes(name, new)
        size -= platform_session.entry_bytes(name, old)
        if not self._link.hold_state(size):
            raise _failure_error(
                errors.MemoryShort(purpose="values of the session")
            )
        self._state_bytes = size

    def _run_failed(self, req: statements.Request) -> None:
        match req.statement:
            case statements.Rollback():
                self._runner.roll_back()
            case statements.Commit():
                self._runner.roll_back()
                endpoint = self._runner.exchange.endpoint
                raise _failure_error(errors.TransactionLost(endpoint=endpoint))
            case _:
                raise _failure_error(errors.InFailedTransaction())

    def _begin(self, *, read_only: bool) -> None:
        if not self._is_outside_block():
            raise _failure_error(
                errors.Malformed(problem="a transaction is open")
            )
        self._route = self._find_route()
        self._refuse_if_stopping(self._route)
        # A transaction over the limit is refused before it begins, which leaves
        # the session usable.
        self._token.take(
            self._access.workspace, clock.now() + self._route.timeout_s
        )
        self._runner.begin(read_only=read_only)

    def _find_route(self) -> routes.Route:
        route = self._process.find_route(self._database)
        if route is None:
            raise _failure_error(errors.ServiceUnknown(service=self._database))
        # The route may be of a newer configuration than the check of the key.
        table = self._process.table()
        match access.check(table, route, self._key):
            case access.Granted() as granted:
                self._access = granted
                self._version = table.version
            case _:
                raise _failure_error(errors.KeyDenied())
        return route

    def _context(self, req: statements.Request) -> blocks.StatementContext:
        if self._is_outside_block() or self._route is None:
            self._route = self._find_route()
        route = self._route
        service = self._process.service(route.service)
        if service is None:
            raise _failure_error(errors.ServiceUnknown(service=route.service))
        return blocks.StatementContext(
            route=route,
            service=service,
            timeout_at=req.arrived + route.timeout_s,
            shutdown=self._process.shutdown,
            workspace=self._access.workspace,
            version=self._version,
            may_start=self._link.may_start,
        )

    def _refuse_if_stopping(
        self, route: routes.Route, *, commits: bool = False
    ) -> None:
        """Refuses a statement that a stop leaves no time for.

        The open transaction is rolled back, so the caller may repeat all of
        it.
        """
        closes_next = self._stopping and self._is_outside_block()
        timeout_s = math.inf if closes_next else route.timeout_s
        if self._process.shutdown.accepts(timeout_s):
            return
        self._refused = True
        if not self._is_outside_block():
            self._runner.end_block(
                blocks.Idle() if commits else blocks.Failed()
            )
        raise _failure_error(errors.Stopping(proxy=self._process.name))

    def _commit(self, req: statements.Request) -> statements.Completed:
        if self._is_outside_block():
            raise _failure_error(
                errors.Malformed(problem="no transaction is open")
            )
        context = self._context(req)
        self._refuse_if_stopping(context.route, commits=True)
        return self._runner.run_in_block(req, context, "", writes=False)

    def _run_on_endpoint(
        self, req: statements.Request, *, writes: bool, prepared: str
    ) -> statements.Completed:
        context = self._context(req)
        self._refuse_if_stopping(context.route)
        if isinstance(self._runner.block, blocks.Idle | blocks.Deferred):
            self._token.take(context.workspace, context.deadline)
        try:
            completed = self._run_in_state(
                req, context, writes=writes, prepared=prepared
            )
        except errors.FailureError as exc:
            outcome = errors.report(exc.failure).outcome
            if outcome is not errors.Outcome.NOT_RUN:
                self._token.use()
            raise
        self._token.use()
        return completed

    def _run_in_state(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        *,
        writes: bool,
        prepared: str,
    ) -> statements.Completed:
        match self._runner.block:
            case blocks.Idle() if writes:
                return self._runner.write(req, context, prepared)
            case blocks.Idle():
                return self._runner.read(req, context, prepared)
            case _:
                return self._runner.run_in_block(
                    req, context, prepared, writes=writes
                )

    # Metrics and logs.

    def _record(
        self, req: statements.Request, failure: errors.Failure | None
    ) -> None:
        elapsed_s = clock.now() - req.arrived
        outcome = "ok" if failure is None else type(failure).__name__
        service = self._route.service if self._route else ""
        key = metrics.Key(
            service=service,
            statement_kind=type(req.statement).__name__,
            endpoint=self._runner.exchange.endpoint,
            outcome=outcome,
        )
        self._process.metrics.record(key, elapsed_s)
        if failure is not None:
            self._log_failure(req, failure, service, elapsed_s)
            return
        target_s = self._route.target_latency_s if self._route else 0.0
        self._served_count += 1
        if elapsed_s > target_s:
            self._log_served(events.RequestSlow, req, service, elapsed_s)
        elif self._served_count % LOG_SAMPLE_INTERVAL == 1:
            self._log_served(events.RequestServed, req, service, elapsed_s)

    def _log_served(
        self,
        kind: type[events.RequestSlow],
        req: statements.Request,
        service: str,
        elapsed_s: float,
    ) -> None:
        self._process.timeline.add_frequent(
            kind(**self._common_fields(req, service, elapsed_s))
        )

    def _common_fields(
        self, req: statements.Request, service: str, elapsed_s: float
    ) -> dict[str, str | int]:
        """Returns the fields common to all events of a request."""
        return {
            "request": req.id,
            "session": self._session.name,
            "database": self._database,
            "group": service,
            "workspace": self._access.workspace,
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
        service: str,
        elapsed_s: float,
    ) -> None:
        served = self._process.service(service)
        leader = served.group.leader() if served else None
        proof = served.group.proofs.newest() if served else None
        age = clock.now() - proof.at if proof else -0.001
        self._process.timeline.add_frequent(
            events.RequestFailed(
                **self._common_fields(req, service, elapsed_s),
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


def _missing_statement(name: str) -> errors.Failure:
    return errors.NameMissing(kind="statement", name=name)


def _failure_error(failure: errors.Failure) -> errors.FailureError:
    return errors.FailureError(failure)
