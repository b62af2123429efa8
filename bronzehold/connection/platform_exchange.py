"""Exchange of one statement with an endpoint of the platform path.

Acquires a connection, applies the session's values, sends the statement and
receives the answer. A failure raises TryOtherEndpointError if the statement did
not run or is safe to repeat on another endpoint.
"""

import collections.abc
import contextlib
import time

from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.process import pool as pool_lib

# An endpoint that has been silent for this long is probed.
PROBE_AFTER_SILENCE_S = 0.15
# A read is retried on another endpoint once its endpoint has been silent for
# this long. The longest statements take half of it.
MAX_SILENCE_S = 0.4
ATTEMPTS_PER_DEADLINE = 3
# An answer that takes this many times the typical time of its endpoint counts
# as lost.
LOST_ANSWER_FACTOR = 10
MAX_RECORDED_ATTEMPTS = 8
# The share of a route's target time that a statement may spend in queues. A
# statement that would wait longer is refused at once, since its caller may
# retry elsewhere.
MAX_QUEUE_SHARE = 0.5
# Answers by which an endpoint fails a statement that others may run. A refusal
# for a full queue is recorded apart. A statement that is malformed fails
# everywhere.
FAILED_REASONS = frozenset(
    {
        statements.RefusalReason.FAILED,
        statements.RefusalReason.IN_DOUBT,
        statements.RefusalReason.OTHER,
        statements.RefusalReason.TIMED_OUT,
    }
)


class Lease:
    """A connection and a pool slot that are held for one statement.

    Attributes:
        pool: The pool of the connection and the slot.
        conn: The connection.
        sent_at: The time when the statement was sent, in seconds of
            clock.now(); 0 before that.
        retained: Whether the connection stays with a transaction afterwards.
        may_commit: Whether the statement may have been committed, so that a
            lost answer leaves the outcome unknown.
    """

    def __init__(self, *, pool: pool_lib.Pool, conn: ports.EndpointConn):
        self.pool = pool
        self.conn = conn
        self.sent_at = 0.0
        self.retained = False
        self.may_commit = False


class Exchange:
    """Runs statements of one session on endpoints.

    Attributes:
        endpoint: The id of the endpoint that was tried last.
        attempts: The failed attempts to run the statement, for the log.
        connection_wait_s: The maximum wait for a connection in seconds, None to
            wait until the deadline.
        queued_s: The total time that the statement has waited for connections,
            in seconds.
        kind: The kind of the last statement: its route and type. Durations are
            compared within a kind.
    """

    def __init__(self, *, session: platform_session.PlatformSession):
        self._session = session
        self.endpoint = ""
        self.attempts: list[blocks.Attempt] = []
        self.connection_wait_s: float | None = None
        self.queued_s = 0.0
        self.kind = ""
        # Whether the last statement was completed. The time of a refusal is not
        # counted as a duration: an endpoint that refuses quickly is not fast.
        self._completed = False

    def reset(self) -> None:
        """Resets the state for the next statement."""
        self.endpoint = ""
        self.attempts.clear()
        self.queued_s = 0.0

    def remaining_queue_s(self, context: blocks.StatementContext) -> float:
        """Returns the remaining queueing time of the statement in seconds."""
        return max(
            0.0,
            context.route.target_latency_s * MAX_QUEUE_SHARE - self.queued_s,
        )

    def record_attempt(self, target: str, failure: errors.Failure) -> None:
        """Records a failed attempt, for the log and the outcome of a read."""
        attempt = blocks.Attempt(
            endpoint=target, failure=failure, failed_at=clock.now()
        )
        if len(self.attempts) < MAX_RECORDED_ATTEMPTS:
            self.attempts.append(attempt)
        elif errors.report(failure).outcome is not errors.Outcome.NOT_RUN:
            # An attempt that may have run decides how the read is reported.
            self.attempts[-1] = attempt

    @contextlib.contextmanager
    def lease(
        self, context: blocks.StatementContext, target: str
    ) -> collections.abc.Iterator[Lease]:
        """Acquires a connection and a slot while a statement runs.

        Raises:
            blocks.TryOtherEndpointError: No connection was available, or it was
                lost and the statement is safe to repeat.
            errors.FailureError: The connection was lost and the outcome is
                unknown.
        """
        self._completed = False
        pool, conn = self._acquire(context, target)
        if not context.may_start():
            pool.end_statement(None)
            pool.release(conn, reusable=True)
            raise blocks.TryOtherEndpointError(
                errors.MemoryShort(purpose="an answer"), sent=False
            )
        lease = Lease(pool=pool, conn=conn)
        try:
            yield lease
        except ports.TransportError as exc:
            retry_error = self._handle_lost_link(
                context, lease, target, str(exc)
            )
            if not lease.may_commit:
                raise retry_error from exc
            raise errors.FailureError(
                errors.OutcomeUnknown(endpoint=target, reason=str(exc))
            ) from exc
        except BaseException:
            pool.end_statement(None)
            pool.release(conn, reusable=True)
            raise
        ran = lease.sent_at and self._completed
        pool.end_statement(
            clock.now() - lease.sent_at if ran else None, kind=self.kind
        )
        if not lease.retained:
            pool.release(conn, reusable=True)

    def _acquire(
        self, context: blocks.StatementContext, target: str
    ) -> tuple[pool_lib.Pool, ports.EndpointConn]:
        pool = context.service.pool(target)
        self.endpoint = target
        if pool is None:
            raise blocks.TryOtherEndpointError(
                errors.NoPrimary(group=context.service.limits.name), sent=False
            )
        started = clock.now()
        remaining_s = context.deadline - started
        try:
            conn = pool.acquire(
                # Workspaces share the queue fairly, not their sessions.
                session=context.workspace or self._session.name,
                deadline=time.monotonic() + remaining_s,
                priority=context.route.priority,
                prefer=self._session.matches,
                max_wait_s=self.connection_wait_s,
                max_expected_wait_s=self.remaining_queue_s(context),
                owner=context.workspace,
            )
        except errors.FailureError as exc:
            raise blocks.TryOtherEndpointError(exc.failure, sent=False) from exc
        except ports.DialError as exc:
            context.service.note_dial_failed(target, exc)
            failure = errors.Unreachable(endpoint=target, reason=str(exc))
            raise blocks.TryOtherEndpointError(failure, sent=False) from exc
        finally:
            self.queued_s += clock.now() - started
        return pool, conn

    def _handle_lost_link(
        self,
        context: blocks.StatementContext,
        lease: Lease,
        target: str,
        why: str,
    ) -> blocks.TryOtherEndpointError:
        lease.pool.end_statement(None)
        lease.pool.release(lease.conn, reusable=False)
        contact = context.service.group.contact(target)
        is_silent = (
            contact is None
            or clock.now() - contact.answered_at > PROBE_AFTER_SILENCE_S
        )
        if not context.ended_by_stop():
            context.service.note_failed(target)
            if is_silent:
                context.service.note_connection_lost(target)
        if clock.now() >= context.timeout_at:
            return blocks.TryOtherEndpointError(
                errors.TimedOut(
                    endpoint=target,
                    waited_ms=int(context.route.timeout_s * 1000),
                ),
                sent=True,
            )
        return blocks.TryOtherEndpointError(
            errors.AnswerCut(endpoint=target, reason=why), sent=True
        )

    def make_abort_check(
        self, context: blocks.StatementContext, target: str
    ) -> collections.abc.Callable[[], bool]:
        """Returns a function that tells whether to abandon a read.

        The function also starts a probe of a silent endpoint.
        """
        sent_at = clock.now()
        group = context.service.group
        # Two endpoints may be silent, and the deadline must still leave time
        # for a third attempt.
        max_silence_s = min(
            MAX_SILENCE_S, (context.deadline - sent_at) / ATTEMPTS_PER_DEADLINE
        )
        pool = context.service.pool(target)
        typical_s = pool.load().service_s if pool is not None else 0.0
        lost_after_s = max(MAX_SILENCE_S, LOST_ANSWER_FACTOR * typical_s)

        def should_abort() -> bool:
            contact = group.contact(target)
            if contact is None:
                return True
            now = clock.now()
            if context.has_expired():
                return True
            if now - sent_at > lost_after_s:
                # The endpoint answers other statements, so this answer is
                # lost.
                return True
            silent_s = now - max(sent_at, contact.answered_at)
            if silent_s < PROBE_AFTER_SILENCE_S:
                return False
            if contact.failing_since > sent_at or silent_s > max_silence_s:
                return True
            context.service.wake_probe(target)
            return False

        return should_abort

    def make_probe_check(
        self, context: blocks.StatementContext, target: str
    ) -> collections.abc.Callable[[], bool]:
        """Returns a function that aborts at the deadline only.

        It is for statements that must not be repeated. It starts a probe of a
        silent endpoint, too.
        """
        should_abort = self.make_abort_check(context, target)

        def has_expired() -> bool:
            should_abort()
            return context.has_expired()

        return has_expired

    def apply_session(
        self,
        conn: ports.EndpointConn,
        context: blocks.StatementContext,
        should_abort: collections.abc.Callable[[], bool],
        followup: statements.Command | None = None,
    ) -> None:
        """Applies the session's values to a connection.

        Args:
            conn: The connection.
            context: The context of the statement.
            should_abort: A function that is polled during the wait and ends
                it by returning True.
            followup: A command to send in the same batch; its answer is left
                to the caller of this method.
        """
        commands = platform_session.setup_commands(conn, self._session.values)
        extra = () if followup is None else (followup,)
        if commands or extra:
            conn.send((*commands, *extra))
        for _ in commands:
            answer = conn.receive(context.deadline, should_abort)
            if isinstance(answer, statements.Refused):
                raise ports.TransportError("session values were refused")
        if commands:
            platform_session.record_setup(conn, commands, self._session.values)

    def execute(
        self,
        conn: ports.EndpointConn,
        forward: statements.ForwardStatement,
        context: blocks.StatementContext,
        should_abort: collections.abc.Callable[[], bool] | None = None,
    ) -> statements.Answer:
        """Sends a statement and returns its answer.

        Prepares the statement first if the connection does not have it yet.
        """
        statement = type(forward.request.statement).__name__
        self.kind = f"{context.route.name}/{statement}"
        name = forward.prepared_name
        if not name or name in conn.prepared:
            conn.send((forward,))
            answer = conn.receive(context.deadline, should_abort)
        else:
            stored = self._session.find_prepared(name)
            prepare = statements.Prepare(
                name=name, writes=stored.writes, shape=stored.shape
            )
            # If the PREPARE fails, the endpoint does not know the name and
            # refuses the statement.
            conn.send((prepare, forward))
            first = conn.receive(context.deadline, should_abort)
            answer = conn.receive(context.deadline, should_abort)
            if isinstance(first, statements.Completed):
                conn.prepared.add(name)
        match answer:
            case statements.Refused(
                reason=statements.RefusalReason.UNKNOWN_STATEMENT
            ):
                conn.prepared.discard(name)
            case statements.Refused(reason=statements.RefusalReason.BUSY):
                context.service.note_busy(self.endpoint)
        self._completed = isinstance(answer, statements.Completed)
        if isinstance(answer, statements.Completed):
            # The statement keeps its slot until the answer is charged, so that
            # not more of them arrive uncharged than endpoints have slots.
            context.hold_answer(len(answer.body))
        self._record_failure(context, forward.request, answer)
        return answer

    def _record_failure(
        self,
        context: blocks.StatementContext,
        request: statements.Request,
        answer: statements.Answer,
    ) -> None:
        match answer:
            case statements.Refused(reason=reason):
                # A write may be aborted by another caller's.
                aborted = reason is statements.RefusalReason.ABORTED
                is_read = isinstance(request.statement, statements.Read)
                if reason in FAILED_REASONS or (aborted and is_read):
                    context.service.note_failed(self.endpoint)


def send_rollback(conn: ports.EndpointConn) -> None:
    """Rolls back the open transaction without waiting for the answer."""
    conn.send((statements.RollbackTransaction(),))
    conn.discard_next_answer()


def is_not_leader(answer: statements.Answer) -> bool:
    """Returns whether the endpoint answered that it is not the primary."""
    match answer:
        case statements.Refused(reason=statements.RefusalReason.READ_ONLY):
            return True
        case _:
            return False
