"""Runs one caller's statements on the endpoints of the platform path.

A bounded-staleness read runs on any endpoint whose log holds a position that
was proved recently enough (read_runner.py). Reads of the latest data and all
writes run on the primary, which refuses them once it is no longer the primary
(primary_runner.py). A statement that may have been committed is never sent
twice. The transaction of the caller is kept here.
"""

import dataclasses
import time

from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.connection import primary_runner
from bronzehold.connection import read_answers
from bronzehold.connection import read_runner
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements


class Runner:
    """Runs the statements of one caller; used only by the caller's task.

    Attributes:
        block: The state of the caller's transaction.
        exchange: The exchange with endpoints, which records failed attempts.
    """

    def __init__(self, *, session: platform_session.PlatformSession):
        self._session = session
        self.block: blocks.Block = blocks.Idle()
        self.exchange = platform_exchange.Exchange(session=session)
        self._primary = primary_runner.PrimaryRunner(
            session=session, exchange=self.exchange
        )
        self._reads = read_runner.ReadRunner(
            session=session, exchange=self.exchange, primary=self._primary
        )

    # Transactions.

    def begin(self, *, read_only: bool) -> None:
        """Opens a transaction; its first statement determines the endpoint."""
        self.block = blocks.Deferred(read_only=read_only)

    def roll_back(self) -> None:
        """Rolls back the open transaction."""
        self.end_block(blocks.Idle())

    def end_block(self, block: blocks.Block) -> None:
        """Rolls back an open transaction and returns its connection.

        Args:
            block: The new state of the transaction.
        """
        self._primary.end_write()
        match self.block:
            case blocks.Pinned(conn=conn, pool=pool):
                good = True
                try:
                    platform_exchange.send_rollback(conn)
                except ports.TransportError:
                    good = False
                pool.release(conn, reusable=good)
        self.block = block

    def _drop_block(self, block: blocks.Block) -> None:
        self._primary.end_write()
        match self.block:
            case blocks.Pinned(conn=conn, pool=pool):
                pool.release(conn, reusable=False)
        self.block = block

    # Statements outside of a transaction.

    def read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        """Runs a read outside of a transaction.

        Raises:
            errors.FailureError: No endpoint could answer it.
        """
        return self._reads.read(req, context, prepared)

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
        return self._primary.write(req, context, prepared)

    # Statements of a transaction.

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
        match self.block:
            case blocks.Deferred(read_only=read_only):
                self._pin(context, read_only=read_only)
        pinned = self.block
        if writes and pinned.read_only:
            self.end_block(blocks.Failed())
            raise errors.FailureError(
                errors.EndpointError(
                    endpoint=pinned.endpoint,
                    reason=statements.RefusalReason.READ_ONLY,
                    detail="the transaction only reads",
                )
            )
        if writes:
            self.block = dataclasses.replace(pinned, has_written=True)
        return self._run_pinned(self.block, req, context, prepared)

    def _pin(
        self, context: blocks.StatementContext, *, read_only: bool
    ) -> None:
        context.service.budget.deposit()
        match context.route.freshness:
            case routes.Bounded(max_age_s=max_age_s) if read_only:
                last_write = None
            case routes.OwnWrites(max_age_s=max_age_s) if read_only:
                last_write = self._session.last_write
            case _:
                try:
                    self.block = self._primary.run(
                        context,
                        lambda: self._pin_primary(context, read_only=read_only),
                        writes=not read_only,
                    )
                except BaseException:
                    self._primary.end_write()
                    raise
                return
        self.block = self._reads.run_on_fresh_endpoint(
            context,
            max_age_s,
            last_write,
            lambda target, requirement: self._pin_bounded(
                context, target, requirement
            ),
            lambda: self._pin_primary(context, read_only=True),
        )

    def _pin_primary(
        self, context: blocks.StatementContext, *, read_only: bool
    ) -> blocks.Pinned:
        target = self.exchange.endpoint
        with self.exchange.lease(context, target) as lease:
            self._primary.open_guarded_transaction(lease.conn, context, target)
            lease.retained = True
        return blocks.Pinned(
            conn=lease.conn,
            pool=lease.pool,
            service=context.service,
            endpoint=target,
            read_only=read_only,
            guarded=True,
        )

    def _pin_bounded(
        self,
        context: blocks.StatementContext,
        target: str,
        requirement: blocks.ReadRequirement,
    ) -> blocks.Pinned:
        with self.exchange.lease(context, target) as lease:
            requirement = self._reads.prepare(
                lease, context, target, requirement
            )
            lease.conn.send(
                (
                    statements.OpenTransaction(
                        read_only=True, min_position=requirement.min_position
                    ),
                )
            )
            should_abort = self.exchange.make_abort_check(context, target)
            answer = lease.conn.receive(context.deadline, should_abort)
            refused = isinstance(answer, statements.Refused)
            if refused and answer.state is not statements.TransactionState.IDLE:
                platform_exchange.send_rollback(lease.conn)
            read_answers.accept(
                context, target, answer, requirement.min_position
            )
            lease.retained = True
        return blocks.Pinned(
            conn=lease.conn,
            pool=lease.pool,
            service=context.service,
            endpoint=target,
            read_only=True,
            guarded=False,
        )

    def _run_pinned(
        self,
        pinned: blocks.Pinned,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        self.exchange.endpoint = pinned.endpoint
        commits = isinstance(req.statement, statements.Commit)
        group = pinned.service.group
        pinned.pool.start_statement()
        sent_at = clock.now()
        elapsed_s = None
        try:
            should_abort = self.exchange.make_abort_check(
                context, pinned.endpoint
            )
            self.exchange.apply_session(pinned.conn, context, should_abort)
            forward = statements.ForwardStatement(
                request=req, prepared_name=prepared
            )
            sent_at = clock.now()
            probe_check = self.exchange.make_probe_check(
                context, pinned.endpoint
            )
            answer = self.exchange.execute(
                pinned.conn, forward, context, probe_check
            )
            while _is_busy_in_transaction(answer) and primary_runner.has_time(
                context
            ):
                # It did not run, and only this connection can run it.
                time.sleep(primary_runner.RETRY_DELAY_S)
                sent_at = clock.now()
                answer = self.exchange.execute(
                    pinned.conn, forward, context, probe_check
                )
            if isinstance(answer, statements.Completed):
                elapsed_s = clock.now() - sent_at
        except ports.TransportError as exc:
            if not context.ended_by_stop():
                pinned.service.note_failed(pinned.endpoint)
                pinned.service.note_connection_lost(pinned.endpoint)
            self._drop_block(blocks.Idle() if commits else blocks.Failed())
            if commits and pinned.has_written:
                failure = errors.OutcomeUnknown(
                    endpoint=pinned.endpoint, reason=str(exc)
                )
            else:
                failure = errors.TransactionLost(endpoint=pinned.endpoint)
            raise errors.FailureError(failure) from exc
        except blocks.TryOtherEndpointError as exc:
            self.end_block(blocks.Failed())
            raise errors.FailureError(exc.failure) from exc
        finally:
            pinned.pool.end_statement(elapsed_s, kind=self.exchange.kind)
        if isinstance(answer, statements.Refused):
            raise self._refused_pinned(pinned, answer, commits=commits)
        if pinned.guarded and not commits:
            group.note_primary_answer(pinned.endpoint, answer.position, sent_at)
        else:
            group.note_answered(pinned.endpoint, answer.position)
        if commits:
            pinned.pool.release(pinned.conn, reusable=True)
            self.block = blocks.Idle()
            self._primary.end_write()
            if pinned.has_written:
                primary_runner.confirm_commit(
                    context, pinned.endpoint, answer.position
                )
                self._session.record_write(answer.position)
                group.note_primary_answer(
                    pinned.endpoint, answer.position, sent_at
                )
        return answer

    def _refused_pinned(
        self,
        pinned: blocks.Pinned,
        answer: statements.Refused,
        *,
        commits: bool,
    ) -> errors.FailureError:
        pinned.service.group.note_answered(pinned.endpoint)
        self.end_block(blocks.Idle() if commits else blocks.Failed())
        if platform_exchange.is_not_leader(answer):
            pinned.service.note_not_leading(pinned.endpoint)
            return errors.FailureError(
                errors.TransactionLost(endpoint=pinned.endpoint)
            )
        return errors.FailureError(
            errors.EndpointError(
                endpoint=pinned.endpoint,
                reason=answer.reason,
                detail=answer.detail,
            )
        )


def _is_busy_in_transaction(answer: statements.Answer) -> bool:
    """Returns whether the endpoint was busy, with the transaction open."""
    match answer:
        case statements.Refused(
            reason=statements.RefusalReason.BUSY,
            state=statements.TransactionState.OPEN,
        ):
            return True
        case _:
            return False
