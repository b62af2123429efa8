"""Runs statements of one session that need the primary.

A statement is tried again on the current primary until its deadline, unless it
may have been committed.
"""

import collections.abc
import time

from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.connection import read_answers
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.process import platform_group

# The delay between two attempts.
RETRY_DELAY_S = 0.02
# The maximum duration of a failover. If no primary is reachable for longer, no
# replacement is expected.
MAX_FAILOVER_S = 2.5


class PrimaryRunner:
    """Runs statements on the primary; used only by the caller's task.

    Args:
        session: The session of the caller.
        exchange: The exchange with endpoints.
    """

    def __init__(
        self,
        *,
        session: platform_session.PlatformSession,
        exchange: platform_exchange.Exchange,
    ):
        self._session = session
        self._exchange = exchange
        self._write_group: platform_group.PlatformGroup | None = None

    def run(
        self,
        context: blocks.StatementContext,
        run: collections.abc.Callable,
        *,
        writes: bool = False,
    ):
        """Tries a statement on the current primary until the deadline.

        Args:
            context: The context of the statement.
            run: Makes one attempt on self._exchange.endpoint.
            writes: Whether the statement may write and so has to wait during a
                planned change of the primary.
        """
        group = context.service.group
        last_failure: errors.Failure = errors.NoPrimary(group=group.name)
        self._exchange.connection_wait_s = None
        while True:
            self._check_primary_reachable(context)
            if writes:
                leader = group.start_write(context.deadline)
                self._write_group = group if leader is not None else None
            else:
                leader = group.wait_leader(context.deadline)
            if leader is None:
                raise errors.FailureError(last_failure)
            self._exchange.endpoint = leader.endpoint
            redirect(context, self._exchange, leader.endpoint)
            try:
                return run()
            except blocks.TryOtherEndpointError as exc:
                self._exchange.record_attempt(
                    self._exchange.endpoint, exc.failure
                )
                self.end_write()
                last_failure = exc.failure
                if is_overloaded(last_failure) or not has_time(context):
                    raise errors.FailureError(last_failure) from exc
                if exc.sent and not context.service.budget.try_withdraw():
                    raise errors.FailureError(last_failure) from exc
            time.sleep(RETRY_DELAY_S)

    def _check_primary_reachable(
        self, context: blocks.StatementContext
    ) -> None:
        """Fails at once if this proxy cannot reach a primary in time.

        Waiting is useless while other proxies reach the primary, since it is
        then not replaced, and while this proxy itself is cut off. It is also
        useless after MAX_FAILOVER_S without a reachable primary.
        """
        group = context.service.group
        if not group.primary_unreachable():
            return
        reachable_elsewhere = (
            group.primary_reached_by_peers() or context.service.env.cut_off()
        )
        if reachable_elsewhere or group.leaderless_s() > MAX_FAILOVER_S:
            raise errors.FailureError(errors.NoPrimary(group=group.name))

    def guarded_read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        """Runs a read in a transaction that only a primary opens.

        The read is sent only after the transaction is open: if opening it were
        refused, a read sent along with it would run outside of a transaction,
        without the check that the endpoint is the primary.
        """
        target = self._exchange.endpoint
        with self._exchange.lease(context, target) as lease:
            self.open_guarded_transaction(lease.conn, context, target)
            forward = statements.ForwardStatement(
                request=req, prepared_name=prepared
            )
            sent_at = lease.sent_at = clock.now()
            answer = self._exchange.execute(
                lease.conn,
                forward,
                context,
                self._exchange.make_abort_check(context, target),
            )
            platform_exchange.send_rollback(lease.conn)
        if platform_exchange.is_not_leader(answer):
            context.service.note_not_leading(target)
        completed = read_answers.accept(context, target, answer)
        context.service.group.note_primary_answer(
            target, answer.position, sent_at
        )
        return completed

    def open_guarded_transaction(
        self,
        conn: ports.EndpointConn,
        context: blocks.StatementContext,
        target: str,
    ) -> None:
        """Opens a transaction that only the primary grants.

        Raises:
            blocks.TryOtherEndpointError: The endpoint refused it.
        """
        sent_at = clock.now()
        should_abort = self._exchange.make_abort_check(context, target)
        self._exchange.apply_session(
            conn,
            context,
            should_abort,
            statements.OpenTransaction(read_only=False),
        )
        answer = conn.receive(context.deadline, should_abort)
        match answer:
            case statements.Completed():
                context.service.group.note_primary_answer(
                    target, answer.position, sent_at
                )
            case statements.Refused(reason=reason, detail=detail):
                if reason is statements.RefusalReason.READ_ONLY:
                    context.service.note_not_leading(target)
                if answer.state is not statements.TransactionState.IDLE:
                    platform_exchange.send_rollback(conn)
                raise blocks.TryOtherEndpointError(
                    errors.EndpointError(
                        endpoint=target, reason=reason, detail=detail
                    ),
                    sent=reason is statements.RefusalReason.BUSY,
                )

    def write(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        """Runs a write outside of a transaction.

        Raises:
            errors.FailureError: The write did not run or has an unknown
                outcome.
        """
        context.service.budget.deposit()
        try:
            return self.run(
                context,
                lambda: self._write_once(req, context, prepared),
                writes=True,
            )
        finally:
            self.end_write()

    def end_write(self) -> None:
        """Ends the write, so that a planned change need not wait for it."""
        group, self._write_group = self._write_group, None
        if group is not None:
            group.end_write()

    def _write_once(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        target = self._exchange.endpoint
        with self._exchange.lease(context, target) as lease:
            self._exchange.apply_session(
                lease.conn,
                context,
                self._exchange.make_abort_check(context, target),
            )
            forward = statements.ForwardStatement(
                request=req, prepared_name=prepared
            )
            lease.may_commit = True
            sent_at = lease.sent_at = clock.now()
            answer = self._exchange.execute(
                lease.conn,
                forward,
                context,
                self._exchange.make_probe_check(context, target),
            )
        match answer:
            case statements.Completed():
                confirm_commit(context, target, answer.position)
                self._session.record_write(answer.position)
                context.service.group.note_primary_answer(
                    target, answer.position, sent_at
                )
                return answer
            case statements.Refused(reason=reason, detail=detail):
                if platform_exchange.is_not_leader(answer):
                    context.service.note_not_leading(target)
                failure = errors.EndpointError(
                    endpoint=target, reason=reason, detail=detail
                )
                if reason not in statements.NOT_RUN_REASONS:
                    raise errors.FailureError(failure)
                busy = reason is statements.RefusalReason.BUSY
                raise blocks.TryOtherEndpointError(failure, sent=busy)


def confirm_commit(
    context: blocks.StatementContext,
    target: str,
    position: statements.LogPosition | None,
) -> None:
    """Waits until a commit that its primary acknowledged cannot be lost.

    Raises:
        errors.FailureError: The primary was replaced meanwhile, or that is not
            known before the deadline.
    """
    group = context.service.group
    term = group.term() if position is None else position.term
    if not group.await_outcome(term, context.deadline):
        reason = "the primary was being replaced"
        raise errors.FailureError(
            errors.OutcomeUnknown(endpoint=target, reason=reason)
        )


def has_time(context: blocks.StatementContext) -> bool:
    """Returns whether another attempt may end before the deadline."""
    return clock.now() + RETRY_DELAY_S < context.deadline


def redirect(
    context: blocks.StatementContext,
    exchange: platform_exchange.Exchange,
    target: str,
) -> None:
    """Refuses a statement that the proxies of another region are to run.

    Nothing of it has been sent yet: this proxy has hardly any connections of
    the workspace to that endpoint.
    """
    if not context.may_redirect or exchange.attempts:
        return
    region = context.service.region_with_homes(target)
    if region is not None:
        raise errors.FailureError(errors.ServedElsewhere(region=region))


def is_overloaded(failure: errors.Failure) -> bool:
    """Returns whether a retry on the endpoint would soon fail again."""
    return isinstance(failure, errors.Overloaded)
