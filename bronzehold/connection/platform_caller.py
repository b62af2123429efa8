"""Connection of one caller of the platform path.

Reads statements, runs them on the runner and sends the answers to the caller.
Metrics and log events of the requests are in request_record.py, and when the
connection closes is decided in caller_closing.py.
"""

import math

from bronzehold.connection import caller_closing
from bronzehold.connection import caller_host
from bronzehold.connection import forward_client
from bronzehold.connection import forwarding_runner
from bronzehold.connection import operation_token
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_session
from bronzehold.connection import request_record
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import request_events
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.version import access


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
        process: caller_host.Host,
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
        self._closing = caller_closing.CallerClosing(
            link=link, process=process, session=name
        )
        self._recorder = request_record.RequestRecorder(
            process=process,
            runner=self._runner,
            session=name,
            database=database,
        )
        self._route: routes.Route | None = None
        # The request that has been read and not been answered yet.
        self._unanswered: statements.Request | None = None
        self._in_transaction = False
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
                if self._closing.is_announced():
                    self._refuse_announced(req)
                else:
                    self._in_transaction = not self._is_outside_block()
                    self._answer(req)
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
        failure = self._closing.announced()
        self._record(req, failure)
        if isinstance(failure, errors.KeyDenied):
            # If the key is valid again, end_if_revoked no longer ends it.
            self._closing.refuse()
        self._link.fail(failure, self._state())
        self._link.announce(failure)

    def _is_outside_block(self) -> bool:
        return isinstance(self._runner.block, blocks.Idle)

    def _receive(self) -> statements.Request | None:
        while True:
            with self._closing.waiting(outside_block=self._is_outside_block()):
                try:
                    return self._link.receive(self._receive_timeout_s())
                except TimeoutError:
                    # The endpoint connection is returned to the pool. The
                    # caller gets the error with its next statement, because
                    # drivers discard messages that they did not ask for.
                    self._runner.end_block(blocks.Failed())

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
        self._closing.stop()

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""
        self._closing.end()

    def end_if_revoked(self) -> None:
        """Closes the connection if it is quiet and its key was revoked."""
        if isinstance(self._look_up_key(), access.Denied):
            self._closing.revoke()

    def waiting_since(self) -> float | None:
        """Returns since when a request is waited for outside a transaction.

        In seconds of clock.now(); None at other times.
        """
        return self._closing.waiting_since()

    def in_transaction(self) -> bool:
        """Returns whether a transaction was open before the last request."""
        return self._in_transaction

    def close_idle(self) -> None:
        """Closes the connection if no request or transaction is in progress.

        Requests that have arrived already are answered.
        """
        self._closing.close_idle()

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""
        return self._closing.waiting_since() is None

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
        self._recorder.record_cut(
            req,
            cause,
            service=self._route.service if self._route else "",
            in_transaction=self._in_transaction,
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

    def _require_confirmed_key(self) -> None:
        """Refuses the request if its key may have been revoked long ago."""
        if not self._access.workspace or self._process.keys_confirmed():
            return
        if not self._is_outside_block():
            self._runner.end_block(blocks.Failed())
        raise _failure_error(errors.KeyUnconfirmed())

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
                self._require_confirmed_key()
            case _:
                self._closing.refuse()
                self._process.timeline.add_frequent(
                    request_events.KeyRefused(
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
            hold_answer=self._link.hold_answer,
        )

    def _refuse_if_stopping(
        self, route: routes.Route, *, commits: bool = False
    ) -> None:
        """Refuses a statement that a stop leaves no time for.

        The open transaction is rolled back, so the caller may repeat all of
        it.
        """
        closes_next = self._closing.is_stopping() and self._is_outside_block()
        timeout_s = math.inf if closes_next else route.timeout_s
        if self._process.shutdown.accepts(timeout_s):
            return
        self._closing.refuse()
        if not self._is_outside_block():
            self._runner.end_block(
                blocks.Idle() if commits else blocks.Failed()
            )
        raise _failure_error(self._closing.stop_failure())

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

    def _record(
        self, req: statements.Request, failure: errors.Failure | None
    ) -> None:
        self._recorder.record(
            req,
            failure,
            request_record.Origin(
                route=self._route, workspace=self._access.workspace
            ),
        )


def _missing_statement(name: str) -> errors.Failure:
    return errors.NameMissing(kind="statement", name=name)


def _failure_error(failure: errors.Failure) -> errors.FailureError:
    return errors.FailureError(failure)
