"""Runs reads of one session on endpoints whose data is fresh enough.

A read runs on any endpoint whose log holds a position that was proved recently
enough, and on the primary if there is no such proof.
"""

import collections.abc
import time

from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.connection import primary_runner
from bronzehold.connection import read_answers
from bronzehold.connection import read_requirements
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.request import placement

# The maximum wait of a read for a connection before it tries another endpoint,
# in the first round over the endpoints and in later rounds.
FIRST_CONNECTION_WAIT_S = 0.05
LATER_CONNECTION_WAIT_S = 0.3
# A round over all endpoints with at most this queueing time has not queued.
NEGLIGIBLE_WAIT_S = 0.005


class ReadRunner:
    """Runs reads; used only by the caller's task.

    Args:
        session: The session of the caller.
        exchange: The exchange with endpoints.
        primary: Runs reads that need the primary.
    """

    def __init__(
        self,
        *,
        session: platform_session.PlatformSession,
        exchange: platform_exchange.Exchange,
        primary: primary_runner.PrimaryRunner,
    ):
        self._session = session
        self._exchange = exchange
        self._primary = primary

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
            raise true_read_error(self._exchange, exc) from exc

    def _read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
    ) -> statements.Completed:
        match context.route.freshness:
            case routes.Latest():
                return self._primary.run(
                    context,
                    lambda: self._primary.guarded_read(req, context, prepared),
                )
            case routes.Bounded(max_age_s=max_age_s):
                last_write = None
            case routes.OwnWrites(max_age_s=max_age_s):
                last_write = self._session.last_write
        return self.run_on_fresh_endpoint(
            context,
            max_age_s,
            last_write,
            lambda target, requirement: self._bounded_read(
                req, context, prepared, target, requirement
            ),
            lambda: self._primary.guarded_read(req, context, prepared),
        )

    def run_on_fresh_endpoint(
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
        queued_s = self._exchange.queued_s + NEGLIGIBLE_WAIT_S
        while True:
            requirement = read_requirements.make(context, max_age_s, last_write)
            if requirement is None:
                # No proof is recent enough, but the primary is always fresh.
                return self._primary.run(context, run_guarded)
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
                if not (excluded and primary_runner.has_time(context)):
                    raise errors.FailureError(last_failure)
                if (
                    primary_runner.is_overloaded(last_failure)
                    and self._exchange.queued_s <= queued_s
                ):
                    # No queue accepted the read, and the next round would have
                    # the same result.
                    raise errors.FailureError(last_failure)
                time.sleep(primary_runner.RETRY_DELAY_S)
                excluded = frozenset()
                connection_wait_s = LATER_CONNECTION_WAIT_S
                queued_s = self._exchange.queued_s + NEGLIGIBLE_WAIT_S
                continue
            target = remaining[0]
            primary_runner.redirect(context, self._exchange, target)
            # A read that leaves a queue and returns loses its place, so without
            # a promising alternative it waits until the deadline.
            has_alternative = any(
                candidate.is_eligible
                for candidate in ranked
                if candidate.endpoint != target
            )
            self._exchange.connection_wait_s = (
                connection_wait_s if has_alternative else None
            )
            try:
                return run(target, requirement)
            except blocks.TryOtherEndpointError as exc:
                self._exchange.record_attempt(target, exc.failure)
                excluded |= {target}
                last_failure = exc.failure
                if (
                    primary_runner.is_overloaded(exc.failure)
                    and not has_alternative
                ):
                    raise errors.FailureError(last_failure) from exc
                if exc.sent and not (
                    primary_runner.has_time(context)
                    and context.service.budget.try_withdraw()
                ):
                    raise errors.FailureError(last_failure) from exc

    def _bounded_read(
        self,
        req: statements.Request,
        context: blocks.StatementContext,
        prepared: str,
        target: str,
        requirement: blocks.ReadRequirement,
    ) -> statements.Completed:
        with self._exchange.lease(context, target) as lease:
            requirement = self.prepare(lease, context, target, requirement)
            forward = statements.ForwardStatement(
                request=req,
                min_position=requirement.min_position,
                prepared_name=prepared,
            )
            lease.sent_at = clock.now()
            answer = self._exchange.execute(
                lease.conn,
                forward,
                context,
                self._exchange.make_abort_check(context, target),
            )
        return read_answers.accept(
            context, target, answer, requirement.min_position
        )

    def prepare(
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
        should_abort = self._exchange.make_abort_check(context, target)
        self._exchange.apply_session(lease.conn, context, should_abort)
        if clock.now() <= requirement.expires - read_requirements.SEND_MARGIN_S:
            return requirement
        renewed = read_requirements.make(
            context, requirement.max_age_s, requirement.last_write
        )
        if renewed is None:
            raise blocks.TryOtherEndpointError(
                errors.NoFreshEndpoint(group=context.service.limits.name),
                sent=False,
            )
        return renewed


def true_read_error(
    exchange: platform_exchange.Exchange, exc: errors.FailureError
) -> errors.FailureError:
    """Returns an error that says not run only if no attempt may have run.

    The last attempt may have been refused, while an endpoint may still run an
    earlier one whose answer was lost.
    """
    for attempt in reversed(exchange.attempts):
        outcome = errors.report(attempt.failure).outcome
        if outcome is not errors.Outcome.NOT_RUN:
            return errors.FailureError(attempt.failure)
    return exc
