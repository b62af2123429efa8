"""Runs the batches of a caller on endpoints of the PostgreSQL path.

A read runs on an endpoint that is fresh enough and may be retried on another.
A write runs on the primary; its answer is sent to the caller once the proxy has
confirmed that the commit is durable as configured and that the primary was not
replaced. A batch of a pinned block runs on the connection of the block.
"""

import collections.abc
import dataclasses
import threading
import time

from bronzehold.connection import backend as backend_lib
from bronzehold.connection import blocks
from bronzehold.connection import client
from bronzehold.connection import messages
from bronzehold.connection import session as session_lib
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.process import pool as pool_lib
from bronzehold.process import service as service_lib
from bronzehold.request import batch as batch_lib
from bronzehold.request import classify
from bronzehold.request import execution
from bronzehold.request import lane
from bronzehold.request import read_routing
from bronzehold.request import relay
from bronzehold.version import grant as grant_lib

RETRY_DELAY_S = 0.02
# The time allowed to confirm that the primary was not replaced, also beyond the
# deadline of the batch.
CONFIRM_TIMEOUT_S = 2.0
BEGIN = messages.query("BEGIN")
BEGIN_READ_ONLY = messages.query("BEGIN READ ONLY")


class Executor:
    """Runs the batches of one caller.

    cancel may be called from any task; all other methods run in the caller's
    own task.

    Attributes:
        block: The state of the caller's transaction block.
        endpoint_role: The role of the endpoint that ran the last batch
            ("primary" or "replica"), or "none", for metrics.
    """

    def __init__(
        self,
        *,
        served: service_lib.ServiceRuntime,
        session: session_lib.Session,
        send: collections.abc.Callable[[bytes], None],
        name: str,
        may_start: collections.abc.Callable[[], bool] = lambda: True,
        expect: collections.abc.Callable[[int], None] = lambda _: None,
    ):
        """Initializes the executor.

        Args:
            served: The service that the caller is connected to.
            session: The caller's session.
            send: Sends bytes to the caller.
            name: The caller's id, for fair queueing and cancel requests.
            may_start: Returns whether there is memory for an answer.
            expect: Called with the bytes that an answer will take; may wait.
        """
        self.block: blocks.Block = blocks.Idle()
        self.endpoint_role = "none"
        self._served = served
        self._shutdown = served.env.shutdown
        self._session = session
        self._send = send
        self._caller_id = name
        self._may_start = may_start
        self._expect = expect
        self._active: backend_lib.Backend | None = None
        self._lock = threading.Lock()
        self._write_counted = False
        self._slot: execution.Execution | None = None

    def cancel(self) -> None:
        """Cancels the caller's running statement, if there is one."""
        with self._lock:
            backend = self._active
        if backend is not None:
            backend.cancel(self._caller_id)

    def interruption(self) -> errors.Failure:
        """Returns what a stop of the proxy means for the caller's open work.

        An unfinished pipeline may have ended a transaction already.
        """
        match self.block:
            case blocks.Pinned(place=place) if self.in_pipeline():
                if place.is_primary:
                    return errors.OutcomeUnknown(
                        endpoint=place.endpoint, reason=relay.STOPPING_REASON
                    )
        return errors.Stopping(proxy=self._served.env.cfg.name)

    def in_pipeline(self) -> bool:
        """Returns whether a batch without its Sync has run on an endpoint."""
        match self.block:
            case blocks.Pinned(state=state):
                return state not in blocks.IN_BLOCK
            case _:
                return False

    def finish_batch(self) -> None:
        """Ends the caller's write unless its transaction is still open."""
        if not isinstance(self.block, blocks.Pinned):
            self._end_write()

    def close(self) -> None:
        """Rolls back an open transaction and returns the connection."""
        self.drop_block()
        self._end_write()

    def fail_block(self) -> None:
        """Rolls back after a failure.

        An open block is marked as failed until the caller ends it.
        """
        if isinstance(self.block, blocks.Idle):
            return
        was_open = blocks.is_open(self.block)
        self.drop_block()
        self.block = blocks.Failed() if was_open else blocks.Idle()

    def _end_write(self) -> None:
        if self._write_counted:
            self._write_counted = False
            self._served.group.end_write()

    def end_block(self, *, keep: bool) -> None:
        """Ends the transaction block.

        Args:
            keep: Whether the session keeps variables set in the block.
        """
        self.block = blocks.Idle()
        self._session.end(keep=keep)
        self._session.names.portals.clear()

    # Reads outside of a pinned block.

    def _check_quota(self) -> None:
        service = self._served.service
        if self._served.quota_usage.is_exhausted(service):
            raise errors.FailureError(errors.SpendReached(service=service.name))

    def _deadline(self, batch: batch_lib.Batch) -> float:
        timeout_s = self._served.service.deadline_ms * data.MILLISECOND
        return self._limit(batch.arrived_at + timeout_s)

    def _limit(self, deadline: float) -> float:
        """Returns a deadline that leaves time to answer if the proxy stops.

        Args:
            deadline: A time in seconds of time.monotonic().
        """
        now = time.monotonic()
        return now + self._shutdown.limit_s(deadline - now)

    def read(self, batch: batch_lib.Batch) -> str:
        """Runs a read and returns the SQLSTATE of its error, "" for none.

        Raises:
            errors.FailureError: No endpoint could answer it.
        """
        served = self._served
        deadline = self._deadline(batch)
        self._check_quota()
        served.budget.deposit()
        requirement = read_routing.read_requirement(
            served, self._session, batch.arrived_at, deadline
        )
        excluded: frozenset[str] = frozenset()
        while True:
            try:
                return self._read_once(batch, requirement, deadline, excluded)
            except _TryOtherEndpointError as exc:
                excluded |= {exc.endpoint}
                if exc.sent and not served.budget.try_withdraw():
                    raise errors.FailureError(
                        errors.NoFreshEndpoint(group=served.group.name)
                    ) from None
                if self._shutdown.overdue():
                    raise errors.FailureError(
                        errors.NoFreshEndpoint(group=served.group.name)
                    ) from None
            if len(excluded) >= len(served.service.endpoints):
                excluded = frozenset()
                time.sleep(RETRY_DELAY_S)

    def _read_once(
        self,
        batch: batch_lib.Batch,
        requirement: read_routing.ReadRequirement,
        deadline: float,
        excluded: frozenset[str],
    ) -> str:
        served = self._served
        last_write = self._session.freshness.mark
        place = read_routing.wait_for_endpoint(
            served, requirement, last_write, deadline, excluded
        )
        length = served.duration_estimator.length(batch.shape)
        if length is data.RequestLength.SHORT:
            return self._read_or_redirect(batch, place, deadline, length)
        with lane.hold(
            served,
            lambda: read_routing.candidates(served, requirement, excluded),
            deadline,
            served.duration_estimator.expected_s(batch.shape),
        ) as place:
            return self._read_or_redirect(batch, place, deadline, length)

    def _read_or_redirect(
        self,
        batch: batch_lib.Batch,
        place: data.Placement,
        deadline: float,
        length: data.RequestLength,
    ) -> str:
        try:
            return self._read_at(batch, place, deadline, length)
        except ports.DialError as exc:
            raise _TryOtherEndpointError(place.endpoint, sent=False) from exc
        except _RetryError as exc:
            raise _TryOtherEndpointError(place.endpoint, sent=True) from exc

    def _read_at(
        self,
        batch: batch_lib.Batch,
        place: data.Placement,
        deadline: float,
        length: data.RequestLength,
    ) -> str:
        pool = self._pool(place)
        backend = self._acquire(pool, deadline, batch, length)
        preamble: tuple[bytes, ...] = ()
        if isinstance(self.block, blocks.Deferred):
            preamble = (BEGIN_READ_ONLY,)
        self.endpoint_role = "primary" if place.is_primary else "replica"
        try:
            self._check_place(place)
            answer = self._relay(backend, place, batch, preamble, hold=False)
            self._check_read(place, answer)
        except relay.IncompleteAnswerError as exc:
            self._return_connection(pool, backend, good=False)
            if exc.forwarded or self._shutdown.overdue():
                raise errors.FailureError(
                    errors.AnswerCut(endpoint=place.endpoint, reason=exc.reason)
                ) from exc
            raise _RetryError from exc
        except BaseException:
            self._return_connection(pool, backend, good=False)
            raise
        self._slot.end(answer.duration_s)
        movable = self._is_movable()
        pinned = blocks.Pinned(
            backend=backend, pool=pool, place=place, movable=movable
        )
        self._update_block(pinned, answer)
        self._send(answer.remaining)
        return answer.sqlstate

    def _is_movable(self) -> bool:
        match self.block:
            case blocks.Deferred(read_only=read_only):
                return not read_only
            case _:
                return False

    def _check_place(self, place: data.Placement) -> None:
        # The endpoint may have started leaving while the request was queued.
        ep = self._served.group.endpoint(place.endpoint)
        if ep is None or ep.leaving:
            raise _RetryError

    def _check_read(self, place: data.Placement, answer: relay.Answer) -> None:
        if not place.is_primary or self._is_still_primary(place):
            return
        if answer.forwarded:
            raise errors.FailureError(errors.AnswerCut(endpoint=place.endpoint))
        raise _RetryError

    # Writes outside of a pinned block.

    def write(self, batch: batch_lib.Batch) -> str:
        """Runs a write and returns the SQLSTATE of its error, "" for none.

        Raises:
            errors.FailureError: No endpoint could answer it.
        """
        match self.block:
            case blocks.Deferred(read_only=True):
                return self.read(batch)
        deadline = self._deadline(batch)
        self._check_quota()
        known = self._served.duration_estimator
        length = known.length(batch.shape)
        if length is data.RequestLength.SHORT:
            return self._write_until(batch, deadline, length)
        expected_s = known.expected_s(batch.shape)
        with lane.hold(self._served, self._primaries, deadline, expected_s):
            return self._write_until(batch, deadline, length)

    def _primaries(self) -> list[data.Placement]:
        grant = self._served.group.grant()
        return [_primary_place(grant)] if grant is not None else []

    def _write_until(
        self,
        batch: batch_lib.Batch,
        deadline: float,
        length: data.RequestLength,
    ) -> str:
        group = self._served.group
        while True:
            grant = group.start_write(deadline)
            self._write_counted = True
            try:
                return self._write_at(batch, grant, deadline, length)
            except (ports.DialError, _RetryError):
                self._end_write()
                if time.monotonic() >= deadline:
                    raise errors.FailureError(
                        errors.NoPrimary(group=group.name)
                    ) from None
            time.sleep(RETRY_DELAY_S)

    def _write_at(
        self,
        batch: batch_lib.Batch,
        grant: grant_lib.Grant,
        deadline: float,
        length: data.RequestLength,
    ) -> str:
        place = _primary_place(grant)
        pool = self._pool(place)
        backend = self._acquire(pool, deadline, batch, length)
        in_block = isinstance(self.block, blocks.Deferred)
        self.endpoint_role = "primary"
        try:
            self._check_place(place)
            now = self._served.group.grant()
            if now is None or now.term != grant.term:
                raise _RetryError
            preamble = (BEGIN,) if in_block else ()
            answer = self._relay(backend, place, batch, preamble, hold=True)
            if answer.not_primary and not answer.forwarded:
                # Nothing was committed, so it may be sent to the next primary.
                raise _RetryError
        except relay.IncompleteAnswerError as exc:
            self._return_connection(pool, backend, good=False)
            raise errors.FailureError(
                self._lost_write_failure(batch, place, exc, in_block=in_block)
            ) from exc
        except BaseException:
            self._return_connection(pool, backend, good=False)
            raise
        self._slot.end(answer.duration_s)
        pinned = blocks.Pinned(
            backend=backend, pool=pool, place=place, movable=False
        )
        self._update_block(pinned, answer)
        return self._confirm_and_answer(batch, place, answer)

    def _lost_write_failure(
        self,
        batch: batch_lib.Batch,
        place: data.Placement,
        exc: relay.IncompleteAnswerError,
        *,
        in_block: bool,
    ) -> errors.Failure:
        if in_block and not _may_commit(batch.statement):
            return errors.TransactionLost(endpoint=place.endpoint)
        return errors.OutcomeUnknown(endpoint=place.endpoint, reason=exc.reason)

    def _confirm_and_answer(
        self,
        batch: batch_lib.Batch,
        place: data.Placement,
        answer: relay.Answer,
    ) -> str:
        """Confirms a possible commit, then sends the answer."""
        block_ended = answer.state == messages.IDLE
        if block_ended and (answer.mark is not None or not answer.sqlstate):
            self._confirm_write(batch, place, answer)
        self._send(answer.remaining)
        return answer.sqlstate

    def _confirm_write(
        self,
        batch: batch_lib.Batch,
        place: data.Placement,
        answer: relay.Answer,
    ) -> None:
        group = self._served.group
        deadline = self._limit(
            max(self._deadline(batch), time.monotonic() + CONFIRM_TIMEOUT_S)
        )
        mark = answer.mark
        why = ""
        if mark is not None and mark.term != place.term:
            why = f"written in term {mark.term}"
        elif (
            mark is not None
            and self._served.service.ack is data.Ack.REPLICA
            and not group.wait_replicated(mark, place.endpoint, deadline)
        ):
            why = "no replica holds it"
        elif not group.wait_grant(place.endpoint, place.term, deadline):
            why = "the primary was replaced"
        if why:
            raise errors.FailureError(
                errors.OutcomeUnknown(endpoint=place.endpoint, reason=why)
            )
        if mark is not None:
            group.note_write(mark)
            self._session.record_write(mark)

    # Pinned blocks.

    def move_to_primary(self, batch: batch_lib.Batch) -> str:
        """Restarts a block that has only read so far on the primary."""
        self.drop_block()
        self.block = blocks.Deferred(read_only=False)
        return self.write(batch)

    def run_pinned(self, batch: batch_lib.Batch) -> str:
        """Runs a batch of a pinned block and returns the SQLSTATE of its error.

        Raises:
            errors.FailureError: The endpoint was lost or is no longer primary.
        """
        pinned = self.block
        place = pinned.place
        in_block = pinned.state in blocks.IN_BLOCK
        may_commit = place.is_primary and (
            not in_block or _may_commit(batch.statement)
        )
        self.endpoint_role = "primary" if place.is_primary else "replica"
        pinned.pool.start_statement()
        # A statement of an open transaction needs no lane.
        short = data.RequestLength.SHORT
        self._slot = self._make_slot(pinned.pool, batch, short)
        try:
            answer = self._relay(
                pinned.backend,
                place,
                batch,
                (),
                hold=may_commit,
                skipping=pinned.skipping,
            )
        except BaseException as exc:
            self._slot.end(None)
            self.block = dataclasses.replace(pinned, broken=True)
            if not isinstance(exc, relay.IncompleteAnswerError):
                raise
            raise errors.FailureError(
                self._lost_block_failure(place, exc, may_commit=may_commit)
            ) from exc
        self._slot.end(answer.duration_s)
        if place.is_primary and not (
            may_commit or self._is_still_primary(place)
        ):
            raise errors.FailureError(
                errors.TransactionLost(endpoint=place.endpoint)
            )
        keep = not answer.sqlstate and not isinstance(
            batch.statement, classify.Rollback
        )
        self._update_block(pinned, answer, keep=keep)
        if place.is_primary:
            return self._confirm_and_answer(batch, place, answer)
        self._send(answer.remaining)
        return answer.sqlstate

    def _is_still_primary(self, place: data.Placement) -> bool:
        deadline = self._limit(time.monotonic() + CONFIRM_TIMEOUT_S)
        return self._served.group.wait_grant(
            place.endpoint, place.term, deadline
        )

    def _lost_block_failure(
        self,
        place: data.Placement,
        exc: relay.IncompleteAnswerError,
        *,
        may_commit: bool,
    ) -> errors.Failure:
        if may_commit:
            # The block ends with a commit, whatever its outcome.
            self.drop_block()
            self._session.end(keep=False)
            return errors.OutcomeUnknown(
                endpoint=place.endpoint, reason=exc.reason
            )
        return errors.TransactionLost(endpoint=place.endpoint)

    # Endpoint connections.

    def _pool(self, place: data.Placement) -> pool_lib.Pool:
        pool = self._served.pool(place.endpoint)
        if pool is None:
            raise _RetryError
        return pool

    def _make_slot(
        self,
        pool: pool_lib.Pool,
        batch: batch_lib.Batch,
        length: data.RequestLength,
    ) -> execution.Execution:
        return execution.Execution(
            served=self._served,
            pool=pool,
            shape=batch.shape,
            length=length,
        )

    def _acquire(
        self,
        pool: pool_lib.Pool,
        deadline: float,
        batch: batch_lib.Batch,
        length: data.RequestLength,
    ) -> backend_lib.Backend:
        backend = pool.acquire(
            session=self._caller_id, deadline=deadline, length=length
        )
        self._slot = self._make_slot(pool, batch, length)
        backend.attach(self._caller_id)
        if not self._may_start():
            self._return_connection(pool, backend, good=True)
            raise errors.FailureError(errors.MemoryShort(purpose="an answer"))
        try:
            backend.set_variables(self._session.statements())
        except client.ServerError as exc:
            self._return_connection(pool, backend, good=False)
            raise errors.FailureError(
                errors.BadValue(variable="a session variable", value=str(exc))
            ) from exc
        except client.ClientError as exc:
            self._return_connection(pool, backend, good=False)
            raise ports.DialError(str(exc)) from exc
        return backend

    def _return_connection(
        self, pool: pool_lib.Pool, backend: backend_lib.Backend, *, good: bool
    ) -> None:
        self._slot.end(None)
        pool.release(backend, reusable=good)

    def _relay(
        self,
        backend: backend_lib.Backend,
        place: data.Placement,
        batch: batch_lib.Batch,
        preamble: tuple[bytes, ...],
        *,
        hold: bool,
        skipping: bool = False,
    ) -> relay.Answer:
        with self._lock:
            self._active = backend
        try:
            exchange = relay.Relay(
                backend=backend,
                forward=self._send,
                abort_reason=self._make_abort_check(place),
                overdue=self._shutdown.overdue,
                hold_back=hold,
                skipping=skipping,
                expect=self._expect,
            )
            plan = batch_lib.rewrite(batch, backend.prepared)
            self._slot.start()
            answer = exchange.run(plan, preamble)
            self._served.quota_usage.add(
                self._served.service, answer.duration_s
            )
            return answer
        finally:
            with self._lock:
                self._active = None

    def _make_abort_check(
        self, place: data.Placement
    ) -> collections.abc.Callable[[], str]:
        group = self._served.group
        deadline_s = self._served.service.deadline_ms * data.MILLISECOND

        def abort_reason() -> str:
            self._slot.check_duration()
            if not group.is_silent(place.endpoint):
                return ""
            if not place.is_primary or group.is_replaced(place.term):
                return "the endpoint is silent"
            too_long = group.silent_for(place.endpoint) > deadline_s
            return "the endpoint is silent" if too_long else ""

        return abort_reason

    def _update_block(
        self, pinned: blocks.Pinned, answer: relay.Answer, *, keep: bool = True
    ) -> None:
        """Keeps the connection if a transaction is open, else returns it."""
        if answer.state == messages.IDLE:
            self.block = pinned
            self._release_pinned(good=True)
            self.end_block(keep=keep)
            return
        self.block = dataclasses.replace(
            pinned, state=answer.state, skipping=answer.skipping
        )

    def _release_pinned(self, *, good: bool) -> None:
        pinned = self.block
        self.block = blocks.Idle()
        pinned.pool.release(pinned.backend, reusable=good)

    def drop_block(self) -> None:
        """Rolls back an open transaction and returns its connection."""
        match self.block:
            case blocks.Pinned() as pinned:
                self._release_pinned(good=blocks.roll_back(pinned))
            case _:
                self.block = blocks.Idle()


class _RetryError(Exception):
    """The request did not run or was a read, so it may be retried."""


class _TryOtherEndpointError(Exception):
    """A read failed on one endpoint and may be retried on another.

    Attributes:
        endpoint: The name of the endpoint that failed.
        sent: Whether the read had been sent to it.
    """

    def __init__(self, endpoint: str, *, sent: bool):
        super().__init__(endpoint)
        self.endpoint = endpoint
        self.sent = sent


def _primary_place(grant: grant_lib.Grant) -> data.Placement:
    return data.Placement(
        endpoint=grant.primary, is_primary=True, term=grant.term
    )


def _may_commit(statement: classify.Statement) -> bool:
    match statement:
        case classify.Commit() | classify.Write(ends=True):
            return True
        case _:
            return False
