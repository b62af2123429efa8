"""Runs one caller's statements on the endpoints of the platform path.

A bounded-staleness read runs on any endpoint whose log holds a position that
was proved recently enough. Reads of the latest data and all writes run on the
primary, which refuses them once it is no longer the primary. A statement that
may have been committed is never sent twice.
"""

import collections.abc
import dataclasses
import time

from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import platform_group
from bronzehold.request import placement
from bronzehold.version import freshness

# The delay between two rounds over all endpoints or two attempts on a primary.
RETRY_DELAY_S = 0.02
# A read is sent at least this long before its proof expires, which leaves time
# for it to arrive and start.
SEND_MARGIN_S = 0.1
# The chosen proof is younger than the limit by this much, which leaves time for
# queueing.
SELECTION_MARGIN_S = 0.4
# The maximum wait of a read for a connection before it tries another endpoint,
# in the first round over the endpoints and in later rounds.
FIRST_CONNECTION_WAIT_S = 0.05
LATER_CONNECTION_WAIT_S = 0.3
# A round over all endpoints with at most this queueing time has not queued.
NEGLIGIBLE_WAIT_S = 0.005
# The maximum duration of a failover. If no primary is reachable for longer, no
# replacement is expected.
MAX_FAILOVER_S = 2.5


class Runner:
    """Runs the statements of one caller; used only by the caller's task.

    Attributes:
        block: The state of the caller's transaction.
        exchange: The exchange with endpoints, which records failed attempts.
    """

    def __init__(self, *, session: platform_session.PlatformSession):
        self._session = session
        self._write_group: platform_group.PlatformGroup | None = None
        self.block: blocks.Block = blocks.Idle()
        self.exchange = platform_exchange.Exchange(session=session)

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
        self._end_write()
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
        self._end_write()
        match self.block:
            case blocks.Pinned(conn=conn, pool=pool):
                pool.release(conn, reusable=False)
        self.block = block

    # Reads.

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
        try:
            return self._read(req, context, prepared)
        except errors.FailureError as exc:
            raise self._true_read_error(exc) from exc

    def _true_read_error(self, exc: errors.FailureError) -> errors.FailureError:
        """Returns an error that says not run only if no attempt may have run.

        The last attempt may have been refused, while an endpoint may still run
        an earlier one whose answer was lost.
        """
        for attempt in reversed(self.exchange.attempts):
            outcome = errors.report(attempt.failure).outcome
            if outcome is not errors.Outcome.NOT_RUN:
                return errors.FailureError(attempt.failure)
        return exc

    def _read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        match context.route.freshness:
            case routes.Latest():
                return self._run_on_primary(
                    context, lambda: self._guarded_read(req, context, prepared)
                )
            case routes.Bounded(max_age_s=max_age_s):
                last_write = None
            case routes.OwnWrites(max_age_s=max_age_s):
                last_write = self._session.last_write
        return self._run_on_fresh_endpoint(
            context,
            max_age_s,
            last_write,
            lambda target, requirement: self._bounded_read(
                req, context, prepared, target, requirement
            ),
            lambda: self._guarded_read(req, context, prepared),
        )

    def _run_on_fresh_endpoint(
        self,
        context: blocks.StatementContext,
        max_age_s: float,
        last_write: statements.LogPosition | None,
        run: collections.abc.Callable,
        run_guarded: collections.abc.Callable,
    ):
        """Tries endpoints in order until one serves a bounded-staleness read.

        Falls back to run_guarded if no proof is recent enough.
        """
        excluded: frozenset[str] = frozenset()
        last_failure: errors.Failure = errors.NoFreshEndpoint(
            group=context.service.limits.name
        )
        context.service.budget.deposit()
        connection_wait_s = FIRST_CONNECTION_WAIT_S
        queued_s = self.exchange.queued_s + NEGLIGIBLE_WAIT_S
        while True:
            requirement = _make_requirement(context, max_age_s, last_write)
            if requirement is None:
                # No proof is recent enough, but the primary is always fresh.
                return self._run_on_primary(context, run_guarded)
            ranked = placement.order(
                context.service.candidates(
                    requirement.min_position, context.route.target_latency_s
                )
            )
            remaining = [
                candidate.endpoint
                for candidate in ranked
                if candidate.endpoint not in excluded
            ]
            if not remaining:
                if not (excluded and self._has_time(context)):
                    raise errors.FailureError(last_failure)
                if (
                    _is_overloaded(last_failure)
                    and self.exchange.queued_s <= queued_s
                ):
                    # No queue accepted the read, and the next round would have
                    # the same result.
                    raise errors.FailureError(last_failure)
                time.sleep(RETRY_DELAY_S)
                excluded = frozenset()
                connection_wait_s = LATER_CONNECTION_WAIT_S
                queued_s = self.exchange.queued_s + NEGLIGIBLE_WAIT_S
                continue
            target = remaining[0]
            # A read that leaves a queue and returns loses its place, so without
            # a promising alternative it waits until the deadline.
            has_alternative = any(
                candidate.is_eligible
                for candidate in ranked
                if candidate.endpoint != target
            )
            self.exchange.connection_wait_s = (
                connection_wait_s if has_alternative else None
            )
            try:
                return run(target, requirement)
            except blocks.TryOtherEndpointError as exc:
                self.exchange.record_attempt(target, exc.failure)
                excluded |= {target}
                last_failure = exc.failure
                if _is_overloaded(exc.failure) and not has_alternative:
                    raise errors.FailureError(last_failure) from exc
                if exc.sent and not (
                    self._has_time(context)
                    and context.service.budget.try_withdraw()
                ):
                    raise errors.FailureError(last_failure) from exc

    def _has_time(self, context: blocks.StatementContext) -> bool:
        return clock.now() + RETRY_DELAY_S < context.deadline

    def _bounded_read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
        target: str,
        requirement: blocks.ReadRequirement,
    ) -> statements.Completed:
        with self.exchange.lease(context, target) as lease:
            requirement = self._prepare_bounded_read(
                lease, context, target, requirement
            )
            forward = statements.ForwardStatement(
                request=req,
                min_position=requirement.min_position,
                prepared_name=prepared,
            )
            lease.sent_at = clock.now()
            answer = self.exchange.execute(
                lease.conn,
                forward,
                context,
                self.exchange.make_abort_check(context, target),
            )
        return self._handle_read_answer(
            context, target, answer, requirement.min_position
        )

    def _prepare_bounded_read(
        self,
        lease: platform_exchange.Lease,
        context: blocks.StatementContext,
        target: str,
        requirement: blocks.ReadRequirement,
    ) -> blocks.ReadRequirement:
        """Applies the session and returns the requirement of the read.

        The requirement is renewed if its proof has expired during the wait for
        the connection.
        """
        should_abort = self.exchange.make_abort_check(context, target)
        self.exchange.apply_session(lease.conn, context, should_abort)
        if clock.now() <= requirement.expires - SEND_MARGIN_S:
            return requirement
        renewed = _make_requirement(
            context, requirement.max_age_s, requirement.last_write
        )
        if renewed is None:
            raise blocks.TryOtherEndpointError(
                errors.NoFreshEndpoint(group=context.service.limits.name),
                sent=False,
            )
        return renewed

    def _handle_read_answer(
        self,
        context: blocks.StatementContext,
        target: str,
        answer: statements.Answer,
        min_position: statements.LogPosition | None = None,
    ) -> statements.Completed:
        match answer:
            case statements.Completed():
                context.service.group.note_answered(target, answer.position)
                return answer
            case statements.Refused(reason=reason, detail=detail):
                context.service.group.note_answered(target, answer.position)
                if reason is statements.RefusalReason.LAGGING:
                    detail = f"at {answer.position}, needed {min_position}"
                raise blocks.TryOtherEndpointError(
                    errors.EndpointError(
                        endpoint=target, reason=reason, detail=detail
                    ),
                    sent=reason not in statements.NOT_RUN_REASONS,
                )

    # Statements that run on the primary.

    def _run_on_primary(
        self,
        context: blocks.StatementContext,
        run: collections.abc.Callable,
        *,
        writes: bool = False,
    ):
        """Retries a statement on the current primary until the deadline.

        Args:
            context: The context of the statement.
            run: Makes one attempt on self.exchange.endpoint.
            writes: Whether the statement may write and so has to wait during a
                planned change of the primary.
        """
        group = context.service.group
        last_failure: errors.Failure = errors.NoPrimary(group=group.name)
        self.exchange.connection_wait_s = None
        while True:
            self._check_primary_reachable(context)
            if writes:
                leader = group.start_write(context.deadline)
                self._write_group = group if leader is not None else None
            else:
                leader = group.wait_leader(context.deadline)
            if leader is None:
                raise errors.FailureError(last_failure)
            self.exchange.endpoint = leader.endpoint
            try:
                return run()
            except blocks.TryOtherEndpointError as exc:
                self.exchange.record_attempt(
                    self.exchange.endpoint, exc.failure
                )
                self._end_write()
                last_failure = exc.failure
                if _is_overloaded(last_failure) or not self._has_time(context):
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

    def _guarded_read(
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
        target = self.exchange.endpoint
        with self.exchange.lease(context, target) as lease:
            self._open_guarded_transaction(lease.conn, context, target)
            forward = statements.ForwardStatement(
                request=req, prepared_name=prepared
            )
            sent_at = lease.sent_at = clock.now()
            answer = self.exchange.execute(
                lease.conn,
                forward,
                context,
                self.exchange.make_abort_check(context, target),
            )
            platform_exchange.send_rollback(lease.conn)
        if platform_exchange.is_not_leader(answer):
            context.service.note_not_leading(target)
        completed = self._handle_read_answer(context, target, answer)
        context.service.group.note_primary_answer(
            target, answer.position, sent_at
        )
        return completed

    def _open_guarded_transaction(
        self,
        conn: ports.EndpointConn,
        context: blocks.StatementContext,
        target: str,
    ) -> None:
        sent_at = clock.now()
        should_abort = self.exchange.make_abort_check(context, target)
        self.exchange.apply_session(
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
            return self._run_on_primary(
                context,
                lambda: self._write_once(req, context, prepared),
                writes=True,
            )
        finally:
            self._end_write()

    def _end_write(self) -> None:
        group, self._write_group = self._write_group, None
        if group is not None:
            group.end_write()

    def _write_once(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        target = self.exchange.endpoint
        with self.exchange.lease(context, target) as lease:
            self.exchange.apply_session(
                lease.conn,
                context,
                self.exchange.make_abort_check(context, target),
            )
            forward = statements.ForwardStatement(
                request=req, prepared_name=prepared
            )
            lease.may_commit = True
            sent_at = lease.sent_at = clock.now()
            answer = self.exchange.execute(
                lease.conn,
                forward,
                context,
                self.exchange.make_probe_check(context, target),
            )
        match answer:
            case statements.Completed():
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
                    self.block = self._run_on_primary(
                        context,
                        lambda: self._pin_primary(context, read_only=read_only),
                        writes=not read_only,
                    )
                except BaseException:
                    self._end_write()
                    raise
                return
        self.block = self._run_on_fresh_endpoint(
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
            self._open_guarded_transaction(lease.conn, context, target)
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
            requirement = self._prepare_bounded_read(
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
            self._handle_read_answer(
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
            while _is_busy_in_transaction(answer) and self._has_time(context):
                # It did not run, and only this connection can run it.
                time.sleep(RETRY_DELAY_S)
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
            if pinned.has_written:
                self._session.record_write(answer.position)
                group.note_primary_answer(
                    pinned.endpoint, answer.position, sent_at
                )
            pinned.pool.release(pinned.conn, reusable=True)
            self.block = blocks.Idle()
            self._end_write()
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


def _is_overloaded(failure: errors.Failure) -> bool:
    """Returns whether a retry on the endpoint would soon fail again."""
    return isinstance(failure, errors.Overloaded)


def _make_requirement(
    context: blocks.StatementContext,
    max_age_s: float,
    last_write: statements.LogPosition | None,
) -> blocks.ReadRequirement | None:
    """Returns the requirement of a read sent now, None if unproved."""
    proof = _choose_proof(context, max_age_s)
    if proof is None:
        return None
    return blocks.ReadRequirement(
        min_position=freshness.required_position(proof, last_write),
        expires=proof.at + max_age_s,
        max_age_s=max_age_s,
        last_write=last_write,
    )


def _choose_proof(
    context: blocks.StatementContext, max_age_s: float
) -> freshness.Proof | None:
    """Returns a proof for a read, None if no proof is recent enough.

    Prefers the oldest proof that leaves time for queueing, since more endpoints
    hold its position; otherwise the newest proof must leave time to send.
    """
    proofs = context.service.group.proofs
    now = clock.now()
    found = proofs.oldest_since(now - max(max_age_s - SELECTION_MARGIN_S, 0.0))
    if found is not None:
        return found
    newest = proofs.newest()
    if newest is not None and now < newest.at + max_age_s - 2 * SEND_MARGIN_S:
        return newest
    return None
