"""Runs one caller's statements here or on the proxy that serves their service.

A transaction stays with the proxy that ran its first statement. A statement is
forwarded at most once, unless it cannot have been read there or is a read: the
reply to a write that was lost leaves the outcome unknown. If no serving proxy
takes a statement, this proxy serves it itself.
"""

import collections.abc
import dataclasses
import time

from bronzehold.connection import forward_client
from bronzehold.connection import forward_codec as codec
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_runner
from bronzehold.connection import platform_session
from bronzehold.connection import read_runner
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.proto import forward_pb2 as pb
from bronzehold.version import members as members_lib

# A read is tried elsewhere once this share of its time has passed without a
# reply.
READ_WAIT_SHARE = 0.5
STARTING_RETRY_DELAY_S = 0.03

# Runs a statement on this proxy.
_RunHere = collections.abc.Callable[
    [blocks.StatementContext], statements.Completed
]


class ForwardingRunner:
    """Runs the statements of one caller; used only by the caller's task.

    Attributes:
        exchange: The exchange with endpoints, which records failed attempts.
        via: The name of the proxy that the last statement was forwarded to, ""
            if it ran here.
    """

    def __init__(
        self,
        *,
        session: platform_session.PlatformSession,
        links: forward_client.Links,
    ):
        self._session = session
        self._links = links
        self._local = platform_runner.Runner(session=session)
        self._forwarded: blocks.Forwarded | None = None
        self.exchange = self._local.exchange
        self.via = ""

    @property
    def block(self) -> blocks.Block:
        """The state of the caller's transaction."""
        return self._forwarded or self._local.block

    def reset(self) -> None:
        """Resets the record of attempts for the next statement."""
        self.exchange.reset()
        self.via = ""

    # Transactions.

    def begin(self, *, read_only: bool) -> None:
        """Opens a transaction; its first statement determines where it runs."""
        self._local.begin(read_only=read_only)

    def roll_back(self) -> None:
        """Rolls back the open transaction."""
        self.end_block(blocks.Idle())

    def end_block(self, block: blocks.Block) -> None:
        """Rolls back an open transaction.

        Args:
            block: The new state of the transaction.
        """
        forwarded, self._forwarded = self._forwarded, None
        if forwarded is not None:
            if forwarded.link.roll_back():
                self._links.release(forwarded.link)
            else:
                forwarded.link.close()
        self._local.end_block(block)

    # Statements.

    def read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        """Runs a read outside of a transaction.

        Raises:
            errors.FailureError: It could not be answered.
        """
        call = _make_call(req, context, prepared)
        try:
            return self._run(
                call,
                context,
                lambda here: self._local.read(req, here, prepared),
            )
        except errors.FailureError as exc:
            raise read_runner.true_read_error(self.exchange, exc) from exc

    def write(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        """Runs a write outside of a transaction.

        Raises:
            errors.FailureError: It did not run or has an unknown outcome.
        """
        call = _make_call(req, context, prepared, writes=True)
        return self._run(
            call, context, lambda here: self._local.write(req, here, prepared)
        )

    def run_in_block(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
        *,
        writes: bool,
    ) -> statements.Completed:
        """Runs a statement of the open transaction.

        Raises:
            errors.FailureError: The transaction has failed, or its outcome is
                unknown.
        """
        call = _make_call(req, context, prepared, writes=writes)
        if self._forwarded is not None:
            call = dataclasses.replace(call, block=pb.NEXT)
            return self._run_next(self._forwarded, call, context)

        def run_here(here: blocks.StatementContext) -> statements.Completed:
            return self._local.run_in_block(req, here, prepared, writes=writes)

        match self._local.block:
            case blocks.Deferred(read_only=read_only):
                call = dataclasses.replace(
                    call, block=pb.FIRST, read_only=read_only
                )
                return self._run(call, context, run_here)
            case _:
                return run_here(context)

    def _run(
        self,
        call: codec.Call,
        context: blocks.StatementContext,
        run_here: _RunHere,
    ) -> statements.Completed:
        """Forwards a statement that no transaction ties to a proxy yet."""
        targets = self._targets(call, context)
        while True:
            try:
                return self._run_on_first(targets, call, context, run_here)
            except _RedirectedError as exc:
                targets = self._links.homes(
                    context.service.limits, context.workspace, exc.region
                )
                call = dataclasses.replace(call, redirected=True)

    def _run_on_first(
        self,
        targets: list[members_lib.Member],
        call: codec.Call,
        context: blocks.StatementContext,
        run_here: _RunHere,
    ) -> statements.Completed:
        """Offers a statement to proxies in turn; the last one is this one."""
        while targets and not context.has_expired():
            target = targets[0]
            try:
                return self._forward(target, call, context)
            except _TryElsewhereError as exc:
                self._links.count(type(exc.failure).__name__)
                self.exchange.record_attempt(target.name, exc.failure)
                if exc.is_starting and self._may_wait(context):
                    time.sleep(STARTING_RETRY_DELAY_S)
                else:
                    del targets[0]
        self.via = ""
        may_redirect = bool(call.workspace) and not call.redirected
        try:
            return run_here(
                dataclasses.replace(context, may_redirect=may_redirect)
            )
        except errors.FailureError as exc:
            if isinstance(exc.failure, errors.ServedElsewhere):
                raise _RedirectedError(exc.failure.region) from exc
            raise

    def _targets(
        self, call: codec.Call, context: blocks.StatementContext
    ) -> list[members_lib.Member]:
        limits = context.service.limits
        if not context.workspace:
            return self._links.targets(limits)
        region = context.service.home_region(on_primary=_on_primary(call))
        return self._links.homes(limits, context.workspace, region)

    def _may_wait(self, context: blocks.StatementContext) -> bool:
        """Returns whether a serving proxy that is starting is worth a wait.

        If all proxies start, one that serves by itself takes connections from
        those that serve for many.
        """
        return (
            self._links.may_be_starting()
            and clock.now() + STARTING_RETRY_DELAY_S < context.deadline
        )

    def _forward(
        self,
        target: members_lib.Member,
        call: codec.Call,
        context: blocks.StatementContext,
    ) -> statements.Completed:
        self.via = target.name
        context.service.budget.deposit()
        try:
            link = self._links.acquire(target)
            self._send(link, call)
        except forward_client.NotTakenError as exc:
            raise _TryElsewhereError(
                errors.Unreachable(endpoint=target.name, reason=str(exc)),
                is_starting=isinstance(exc, forward_client.RefusedError),
            ) from exc
        try:
            reply = link.receive(_reply_deadline(call, context))
        except ports.TransportError as exc:
            link.close()
            self._links.close_idle_to(target)
            raise self._lost_reply_error(target, call, context, exc) from exc
        return self._accept(link, call, reply)

    def _send(self, link: forward_client.Link, call: codec.Call) -> None:
        try:
            link.send(call, self._session)
        except forward_client.NotTakenError:
            link.close()
            raise

    def _lost_reply_error(
        self,
        target: members_lib.Member,
        call: codec.Call,
        context: blocks.StatementContext,
        exc: ports.TransportError,
    ) -> Exception:
        reason = f"{target.name}: {exc}"
        if call.writes:
            if call.block == pb.NONE:
                return errors.FailureError(
                    errors.OutcomeUnknown(endpoint=target.name, reason=reason)
                )
            # The other proxy rolls the transaction back with its connection.
            self._local.end_block(blocks.Failed())
            return errors.FailureError(
                errors.TransactionLost(endpoint=target.name)
            )
        failure = errors.AnswerCut(endpoint=target.name, reason=str(exc))
        may_repeat = (
            not context.has_expired() and context.service.budget.try_withdraw()
        )
        if may_repeat:
            return _TryElsewhereError(failure)
        if call.block != pb.NONE:
            self._local.end_block(blocks.Failed())
        return errors.FailureError(failure)

    def _run_next(
        self,
        forwarded: blocks.Forwarded,
        call: codec.Call,
        context: blocks.StatementContext,
    ) -> statements.Completed:
        """Runs a further statement of a transaction on its proxy."""
        self.via = forwarded.link.target.name
        if call.writes:
            forwarded = dataclasses.replace(forwarded, has_written=True)
            self._forwarded = forwarded
        link = forwarded.link
        try:
            link.ensure_working()
            link.send(call, self._session)
        except forward_client.NotTakenError as exc:
            self._drop(forwarded, call)
            raise errors.FailureError(
                errors.TransactionLost(endpoint=forwarded.endpoint)
            ) from exc
        try:
            reply = link.receive(lambda: context.deadline)
        except ports.TransportError as exc:
            self._drop(forwarded, call)
            failure: errors.Failure
            if call.commits and forwarded.has_written:
                failure = errors.OutcomeUnknown(
                    endpoint=forwarded.endpoint, reason=str(exc)
                )
            else:
                failure = errors.TransactionLost(endpoint=forwarded.endpoint)
            raise errors.FailureError(failure) from exc
        return self._accept(link, call, reply)

    def _drop(self, forwarded: blocks.Forwarded, call: codec.Call) -> None:
        forwarded.link.close()
        self._forwarded = None
        self._links.close_idle_to(forwarded.link.target)
        self._local.end_block(
            blocks.Idle() if call.commits else blocks.Failed()
        )

    def _accept(
        self, link: forward_client.Link, call: codec.Call, reply: codec.Reply
    ) -> statements.Completed:
        """Takes over the state of the transaction and returns the answer."""
        self.exchange.endpoint = reply.endpoint
        self._session.record_write(reply.last_write)
        had_written = (
            self._forwarded is not None and self._forwarded.has_written
        )
        self._forwarded = None
        if call.block != pb.NEXT:
            self._raise_if_served_elsewhere(link, call, reply.failure)
        match reply.state:
            case statements.TransactionState.OPEN if reply.failure is not None:
                # Its first statement found no endpoint; the transaction is
                # still without one.
                self._links.release(link)
            case statements.TransactionState.OPEN:
                self._local.end_block(blocks.Idle())
                self._forwarded = blocks.Forwarded(
                    link=link,
                    endpoint=reply.endpoint,
                    has_written=had_written or call.writes,
                )
            case statements.TransactionState.FAILED:
                self._local.end_block(blocks.Failed())
                self._links.release(link)
            case _:
                self._local.end_block(blocks.Idle())
                self._links.release(link)
        if reply.failure is not None:
            self._links.count(type(reply.failure).__name__)
            raise errors.FailureError(reply.failure)
        self._links.count("ok")
        return reply.answer

    def _raise_if_served_elsewhere(
        self,
        link: forward_client.Link,
        call: codec.Call,
        failure: errors.Failure | None,
    ) -> None:
        """Raises an error if another proxy may run the statement.

        It did not run. Of a primary that is cut off from some proxies, all
        callers of a zone would be refused if its serving proxy is among them.
        """
        match failure:
            case errors.Stopping():
                link.close()
                self._links.suspect(link.target, "it is stopping")
                raise _TryElsewhereError(failure)
            case errors.ServedElsewhere(region=region):
                self._links.release(link)
                raise _RedirectedError(region)
            case errors.NoPrimary() if clock.now() < call.deadline:
                self._links.release(link)
                raise _TryElsewhereError(failure)


class _RedirectedError(Exception):
    """Proxies of another region are to run the statement; it did not run.

    Attributes:
        region: The region.
    """

    def __init__(self, region: str):
        super().__init__(region)
        self.region = region


class _TryElsewhereError(Exception):
    """The statement may run elsewhere: it did not run here, or it is a read.

    Attributes:
        failure: The cause.
        is_starting: Whether the process of the proxy may be starting.
    """

    def __init__(self, failure: errors.Failure, *, is_starting: bool = False):
        super().__init__(failure)
        self.failure = failure
        self.is_starting = is_starting


def _make_call(
    req: statements.Request,
    context: blocks.StatementContext,
    prepared: str,
    *,
    writes: bool = False,
) -> codec.Call:
    return codec.Call(
        request=req,
        route=context.route,
        deadline=context.deadline,
        writes=writes,
        prepared_name=prepared,
        workspace=context.workspace,
        version=context.version,
    )


def _on_primary(call: codec.Call) -> bool:
    """Returns whether a statement needs the primary."""
    opens_plain = call.block == pb.FIRST and not call.read_only
    reads_latest = isinstance(call.route.freshness, routes.Latest)
    return call.writes or opens_plain or reads_latest


def _reply_deadline(
    call: codec.Call, context: blocks.StatementContext
) -> collections.abc.Callable[[], float]:
    """Returns a function that returns when to stop waiting for a reply.

    Its result is in seconds of clock.now().
    """
    if call.writes or call.commits:
        return lambda: context.deadline
    now = clock.now()
    latest = now + (call.deadline - now) * READ_WAIT_SHARE
    return lambda: context.shutdown.limit(latest)
