"""Runs one caller's statements on the endpoints of groups that are fenced.

A read that may be old goes to any endpoint whose log holds a position that
was proved recently enough; a read that may not, and every write, goes to the
primary, which refuses it once it no longer leads. Nothing that may have been
kept is ever sent twice.
"""

import collections.abc
import dataclasses
import time

from bronzehold.connection import fenced_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import fenced
from bronzehold.process import fenced_service
from bronzehold.process import pool as pool_lib
from bronzehold.request import placement
from bronzehold.version import freshness

# Between two rounds over all endpoints, or two tries at a busy primary.
PAUSE_S = 0.02
# A read is sent this much before its proof would be too old, which leaves
# time for it to arrive and start.
SEND_SLACK_S = 0.1
# The proof is chosen this much younger still, which leaves time for a queue.
CHOICE_SLACK_S = 0.4
# An endpoint that has said nothing for so long is asked whether it lives.
DOUBT_S = 0.15
# A read goes elsewhere when its endpoint has said nothing at all for so long;
# the longest statements take half of it.
GIVE_UP_S = 0.4
TRIES = 3
# An answer that takes so many times what is usual there has been lost.
LOST_FACTOR = 10
# How long a read waits for a connection before it tries another endpoint.
READ_PATIENCE_S = 0.05
LONG_PATIENCE_S = 0.3
# A primary that is out of reach for longer is not being replaced.
CHANGE_S = 2.5
MAX_TRIES_KEPT = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Use:
    """What a statement is to be run with.

    Attributes:
        route: The route of its database.
        service: The route's service.
        deadline: Until when it may take, in seconds of clock.now().
    """

    route: routes.Route
    service: fenced_service.FencedService
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Need:
    """What an ageing read needs of its endpoint.

    Attributes:
        since: The position that the endpoint's log must hold.
        expires: Until when that is enough, in seconds of clock.now().
    """

    since: statements.LogPosition
    expires: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No transaction is open."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deferred:
    """A transaction is open, and no statement of it has run."""

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pinned:
    """A transaction holds a connection.

    Attributes:
        conn: The connection.
        pool: Where it goes back to.
        service: The service it belongs to.
        endpoint: The endpoint's id.
        read_only: Whether it may write.
        guarded: Whether the endpoint refuses it once it no longer leads.
        wrote: Whether a write was sent in it.
    """

    conn: ports.EndpointConn
    pool: pool_lib.Pool
    service: fenced_service.FencedService
    endpoint: str
    read_only: bool
    guarded: bool
    wrote: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The transaction has failed and waits for its end."""


Block = Idle | Deferred | Pinned | Failed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Try:
    """A try at a statement that did not serve it.

    Attributes:
        endpoint: Where.
        failure: Why not.
        at: When that was known, in seconds of clock.now().
    """

    endpoint: str
    failure: errors.Failure
    at: float


class _ElsewhereError(Exception):
    """The statement did not run here, or may run again on another endpoint.

    Attributes:
        failure: What to tell the caller if there is no other.
        sent: Whether an endpoint had work with it.
    """

    def __init__(self, failure: errors.Failure, *, sent: bool):
        super().__init__(failure)
        self.failure = failure
        self.sent = sent


class Runner:
    """Runs the statements of one caller; only its own task uses it.

    Attributes:
        block: What is open.
        endpoint: The endpoint that was tried last, for the logs.
        tries: What became of each try at the statement, for the logs.
    """

    def __init__(self, *, session: fenced_session.FencedSession):
        self._session = session
        self._writing: fenced.FencedGroup | None = None
        self.block: Block = Idle()
        self._patience_s: float | None = None
        self.endpoint = ""
        self.tries: list[Try] = []

    # Transactions.

    def begin(self, *, read_only: bool) -> None:
        """Opens a transaction; its endpoint is chosen by what comes first."""
        self.block = Deferred(read_only=read_only)

    def roll_back(self) -> None:
        """Ends what is open, keeping nothing."""
        self.end_block(Idle())

    def end_block(self, block: Block) -> None:
        """Gives back the connection of what is open, rolled back."""
        self._end_write()
        match self.block:
            case Pinned(conn=conn, pool=pool):
                good = True
                try:
                    _undo(conn)
                except ports.LinkError:
                    good = False
                pool.give_back(conn, good=good)
        self.block = block

    def _drop_block(self, block: Block) -> None:
        self._end_write()
        match self.block:
            case Pinned(conn=conn, pool=pool):
                pool.give_back(conn, good=False)
        self.block = block

    # Reads.

    def read(
        self, req: statements.Request, use: Use, prepared: str
    ) -> statements.Completed:
        """Runs a read outside of a transaction.

        Raises:
            errors.FailureError: Nobody could answer it.
        """
        match use.route.freshness:
            case routes.Latest():
                return self._until_led(
                    use, lambda: self._guarded_read(req, use, prepared)
                )
            case routes.Bounded(max_age_s=max_age_s):
                own = None
            case routes.OwnWrites(max_age_s=max_age_s):
                own = self._session.written
        return self._aged(
            use,
            max_age_s,
            own,
            lambda target, need: self._aged_read(
                req, use, prepared, target, need
            ),
            lambda: self._guarded_read(req, use, prepared),
        )

    def _aged(
        self,
        use: Use,
        max_age_s: float,
        own: statements.LogPosition | None,
        run: collections.abc.Callable,
        run_guarded: collections.abc.Callable,
    ):
        """Tries the endpoints in order until one serves an ageing read."""
        avoid: frozenset[str] = frozenset()
        last: errors.Failure = errors.NoFreshEndpoint(
            group=use.service.limits.name
        )
        use.service.budget.earn()
        self._patience_s = READ_PATIENCE_S
        while True:
            proof = _proof(use, max_age_s)
            if proof is None:
                # Nobody has proved enough lately; the primary itself can.
                return self._until_led(use, run_guarded)
            need = Need(
                since=freshness.needed(proof, own),
                expires=proof.at + max_age_s,
            )
            ranked = placement.order(use.service.candidates(avoid), need.since)
            if not ranked:
                if not (avoid and self._has_time(use)):
                    raise errors.FailureError(last)
                time.sleep(PAUSE_S)
                avoid = frozenset()
                self._patience_s = LONG_PATIENCE_S
                continue
            target = ranked[0].endpoint
            try:
                return run(target, need)
            except _ElsewhereError as exc:
                self._note_try(target, exc.failure)
                avoid |= {target}
                last = exc.failure
                if exc.sent and not use.service.budget.spend():
                    raise errors.FailureError(last) from exc

    def _note_try(self, target: str, failure: errors.Failure) -> None:
        if len(self.tries) < MAX_TRIES_KEPT:
            self.tries.append(
                Try(endpoint=target, failure=failure, at=clock.now())
            )

    def _has_time(self, use: Use) -> bool:
        return clock.now() + PAUSE_S < use.deadline

    def _aged_read(
        self,
        req: statements.Request,
        use: Use,
        prepared: str,
        target: str,
        need: Need,
    ) -> statements.Completed:
        pool, conn = self._enter(use, target)
        try:
            self._set_up(conn, use, self._watch(use, target))
            if clock.now() > need.expires - SEND_SLACK_S:
                raise _ElsewhereError(
                    errors.NoFreshEndpoint(group=use.service.limits.name),
                    sent=False,
                )
            forward = statements.Forwarded(
                request=req, since=need.since, prepared=prepared
            )
            sent = clock.now()
            answer = self._ask(conn, forward, use, self._watch(use, target))
        except ports.LinkError as exc:
            raise self._lost(use, pool, conn, target, str(exc)) from exc
        except BaseException:
            pool.rest(None)
            pool.give_back(conn, good=True)
            raise
        pool.rest(clock.now() - sent)
        pool.give_back(conn, good=True)
        return self._judge_read(use, target, answer)

    def _judge_read(
        self, use: Use, target: str, answer: statements.Answer
    ) -> statements.Completed:
        match answer:
            case statements.Completed():
                use.service.group.note_heard(target, answer.position)
                return answer
            case statements.Refused(reason=reason, detail=detail):
                use.service.group.note_heard(target, answer.position)
                raise _ElsewhereError(
                    errors.EndpointError(
                        endpoint=target, reason=reason, detail=detail
                    ),
                    sent=reason not in statements.NOT_RUN,
                )

    def _watch(
        self, use: Use, target: str
    ) -> collections.abc.Callable[[], bool]:
        """Returns what tells that a read had better run elsewhere."""
        sent = clock.now()
        group = use.service.group
        # Two endpoints may be silent, and a third must still have its time.
        give_up_s = min(GIVE_UP_S, (use.deadline - sent) / TRIES)
        pool = use.service.pool(target)
        usual_s = pool.load().service_s if pool is not None else 0.0
        lost_s = max(GIVE_UP_S, LOST_FACTOR * usual_s)

        def given_up() -> bool:
            contact = group.contact(target)
            if contact is None:
                return True
            now = clock.now()
            if now - sent > lost_s:
                # Others are answered there: this answer is lost.
                return True
            silent_s = now - max(sent, contact.heard_at)
            if silent_s < DOUBT_S:
                return False
            if contact.failing_since > sent or silent_s > give_up_s:
                return True
            use.service.wake_probe(target)
            return False

        return given_up

    def _doubt(
        self, use: Use, target: str
    ) -> collections.abc.Callable[[], bool]:
        """Returns what has a silent endpoint probed, and never gives up."""
        given_up = self._watch(use, target)

        def never() -> bool:
            given_up()
            return False

        return never

    def _lost(
        self,
        use: Use,
        pool: pool_lib.Pool,
        conn: ports.EndpointConn,
        target: str,
        why: str,
    ) -> _ElsewhereError:
        pool.rest(None)
        pool.give_back(conn, good=False)
        contact = use.service.group.contact(target)
        if contact is None or clock.now() - contact.heard_at > DOUBT_S:
            use.service.note_lost(target)
        if clock.now() >= use.deadline:
            return _ElsewhereError(
                errors.TimedOut(
                    endpoint=target,
                    waited_ms=int(use.route.timeout_s * 1000),
                ),
                sent=True,
            )
        return _ElsewhereError(
            errors.AnswerCut(endpoint=f"{target}: {why}"), sent=True
        )

    # What only the primary may do.

    def _until_led(
        self, use: Use, run: collections.abc.Callable, *, writes: bool = False
    ):
        """Tries at whoever leads, until the deadline.

        Args:
            use: What the statement is run with.
            run: Tries once, at self.endpoint.
            writes: Whether it may write, and has to wait during a planned
                change.
        """
        group = use.service.group
        last: errors.Failure = errors.NoPrimary(group=group.name)
        self._patience_s = None
        while True:
            self._check_outlook(use)
            if writes:
                leader = group.start_write(use.deadline)
                self._writing = group if leader is not None else None
            else:
                leader = group.wait_leader(use.deadline)
            if leader is None:
                raise errors.FailureError(last)
            self.endpoint = leader.endpoint
            try:
                return run()
            except _ElsewhereError as exc:
                self._note_try(self.endpoint, exc.failure)
                self._end_write()
                last = exc.failure
                if not self._has_time(use):
                    raise errors.FailureError(last) from exc
                if exc.sent and not use.service.budget.spend():
                    raise errors.FailureError(last) from exc
            time.sleep(PAUSE_S)

    def _check_outlook(self, use: Use) -> None:
        """Refuses at once what this proxy cannot get to a primary in time."""
        group = use.service.group
        if not group.out_of_reach():
            return
        elsewhere = group.reached_by_peers() or use.service.env.cut_off()
        if elsewhere or group.leaderless_s() > CHANGE_S:
            raise errors.FailureError(errors.NoPrimary(group=group.name))

    def _guarded_read(
        self, req: statements.Request, use: Use, prepared: str
    ) -> statements.Completed:
        """Runs a read in a transaction that only the primary grants.

        The read is sent after the transaction was granted, since it would run
        unguarded behind one that was refused.
        """
        target = self.endpoint
        pool, conn = self._enter(use, target)
        try:
            self._open_guard(conn, use, target)
            forward = statements.Forwarded(request=req, prepared=prepared)
            sent = clock.now()
            answer = self._ask(conn, forward, use, self._watch(use, target))
            _undo(conn)
        except ports.LinkError as exc:
            raise self._lost(use, pool, conn, target, str(exc)) from exc
        except BaseException:
            pool.rest(None)
            pool.give_back(conn, good=True)
            raise
        pool.rest(clock.now() - sent)
        pool.give_back(conn, good=True)
        if _refuses_lead(answer):
            use.service.note_not_leading(target)
        completed = self._judge_read(use, target, answer)
        use.service.group.note_lead(target, answer.position, sent)
        return completed

    def _open_guard(
        self, conn: ports.EndpointConn, use: Use, target: str
    ) -> None:
        sent = clock.now()
        given_up = self._watch(use, target)
        self._set_up(
            conn,
            use,
            given_up,
            statements.OpenTransaction(read_only=False),
        )
        answer = conn.receive(use.deadline, given_up)
        match answer:
            case statements.Completed():
                use.service.group.note_lead(target, answer.position, sent)
            case statements.Refused(reason=reason, detail=detail):
                if reason is statements.Reason.READ_ONLY:
                    use.service.note_not_leading(target)
                if answer.state is not statements.State.IDLE:
                    _undo(conn)
                raise _ElsewhereError(
                    errors.EndpointError(
                        endpoint=target, reason=reason, detail=detail
                    ),
                    sent=reason is statements.Reason.BUSY,
                )

    def write(
        self, req: statements.Request, use: Use, prepared: str
    ) -> statements.Completed:
        """Runs a write outside of a transaction.

        Raises:
            errors.FailureError: It was not run, or its outcome is unknown.
        """
        use.service.budget.earn()
        try:
            return self._until_led(
                use, lambda: self._write_once(req, use, prepared), writes=True
            )
        finally:
            self._end_write()

    def _end_write(self) -> None:
        group, self._writing = self._writing, None
        if group is not None:
            group.end_write()

    def _write_once(
        self, req: statements.Request, use: Use, prepared: str
    ) -> statements.Completed:
        target = self.endpoint
        pool, conn = self._enter(use, target)
        sent = 0.0
        try:
            self._set_up(conn, use, self._watch(use, target))
            forward = statements.Forwarded(request=req, prepared=prepared)
            sent = clock.now()
            answer = self._ask(conn, forward, use, self._doubt(use, target))
        except ports.LinkError as exc:
            lost = self._lost(use, pool, conn, target, str(exc))
            if not sent:
                raise lost from exc
            raise errors.FailureError(
                errors.OutcomeUnknown(endpoint=target, why=str(exc))
            ) from exc
        except BaseException:
            pool.rest(None)
            pool.give_back(conn, good=True)
            raise
        pool.rest(clock.now() - sent)
        pool.give_back(conn, good=True)
        match answer:
            case statements.Completed():
                self._session.wrote(answer.position)
                use.service.group.note_lead(target, answer.position, sent)
                return answer
            case statements.Refused(reason=reason, detail=detail):
                if _refuses_lead(answer):
                    use.service.note_not_leading(target)
                failure = errors.EndpointError(
                    endpoint=target, reason=reason, detail=detail
                )
                if reason not in statements.NOT_RUN:
                    raise errors.FailureError(failure)
                busy = reason is statements.Reason.BUSY
                raise _ElsewhereError(failure, sent=busy)

    # Statements of a transaction.

    def run_in_block(
        self, req: statements.Request, use: Use, prepared: str, *, writes: bool
    ) -> statements.Completed:
        """Runs a statement of the open transaction.

        Raises:
            errors.FailureError: The transaction has failed, or its outcome is
                unknown.
        """
        match self.block:
            case Deferred(read_only=read_only):
                self._pin(use, read_only=read_only)
        pinned = self.block
        if writes and pinned.read_only:
            self.end_block(Failed())
            raise errors.FailureError(
                errors.EndpointError(
                    endpoint=pinned.endpoint,
                    reason=statements.Reason.READ_ONLY,
                    detail="the transaction only reads",
                )
            )
        if writes:
            self.block = dataclasses.replace(pinned, wrote=True)
        return self._run_pinned(self.block, req, use, prepared)

    def _pin(self, use: Use, *, read_only: bool) -> None:
        use.service.budget.earn()
        match use.route.freshness:
            case routes.Bounded(max_age_s=max_age_s) if read_only:
                own = None
            case routes.OwnWrites(max_age_s=max_age_s) if read_only:
                own = self._session.written
            case _:
                try:
                    self.block = self._until_led(
                        use,
                        lambda: self._pin_primary(use, read_only=read_only),
                        writes=not read_only,
                    )
                except BaseException:
                    self._end_write()
                    raise
                return
        self.block = self._aged(
            use,
            max_age_s,
            own,
            lambda target, need: self._pin_aged(use, target, need),
            lambda: self._pin_primary(use, read_only=True),
        )

    def _pin_primary(self, use: Use, *, read_only: bool) -> Pinned:
        target = self.endpoint
        pool, conn = self._enter(use, target)
        try:
            self._open_guard(conn, use, target)
        except ports.LinkError as exc:
            raise self._lost(use, pool, conn, target, str(exc)) from exc
        except BaseException:
            pool.rest(None)
            pool.give_back(conn, good=True)
            raise
        pool.rest(None)
        return Pinned(
            conn=conn,
            pool=pool,
            service=use.service,
            endpoint=target,
            read_only=read_only,
            guarded=True,
        )

    def _pin_aged(
        self,
        use: Use,
        target: str,
        need: Need,
    ) -> Pinned:
        pool, conn = self._enter(use, target)
        try:
            self._set_up(conn, use, self._watch(use, target))
            if clock.now() > need.expires - SEND_SLACK_S:
                raise _ElsewhereError(
                    errors.NoFreshEndpoint(group=use.service.limits.name),
                    sent=False,
                )
            conn.send(
                (statements.OpenTransaction(read_only=True, since=need.since),)
            )
            answer = conn.receive(use.deadline, self._watch(use, target))
            if isinstance(answer, statements.Refused) and (
                answer.state is not statements.State.IDLE
            ):
                _undo(conn)
        except ports.LinkError as exc:
            raise self._lost(use, pool, conn, target, str(exc)) from exc
        except BaseException:
            pool.rest(None)
            pool.give_back(conn, good=True)
            raise
        pool.rest(None)
        try:
            self._judge_read(use, target, answer)
        except _ElsewhereError:
            pool.give_back(conn, good=True)
            raise
        return Pinned(
            conn=conn,
            pool=pool,
            service=use.service,
            endpoint=target,
            read_only=True,
            guarded=False,
        )

    def _run_pinned(
        self,
        pinned: Pinned,
        req: statements.Request,
        use: Use,
        prepared: str,
    ) -> statements.Completed:
        self.endpoint = pinned.endpoint
        commits = isinstance(req.statement, statements.Commit)
        group = pinned.service.group
        pinned.pool.resume()
        sent = clock.now()
        took = None
        try:
            given_up = self._watch(use, pinned.endpoint)
            self._set_up(pinned.conn, use, given_up)
            forward = statements.Forwarded(request=req, prepared=prepared)
            sent = clock.now()
            doubt = self._doubt(use, pinned.endpoint)
            answer = self._ask(pinned.conn, forward, use, doubt)
            took = clock.now() - sent
        except ports.LinkError as exc:
            pinned.service.note_lost(pinned.endpoint)
            self._drop_block(Idle() if commits else Failed())
            if commits and pinned.wrote:
                failure = errors.OutcomeUnknown(
                    endpoint=pinned.endpoint, why=str(exc)
                )
            else:
                failure = errors.TransactionLost(endpoint=pinned.endpoint)
            raise errors.FailureError(failure) from exc
        except _ElsewhereError as exc:
            self.end_block(Failed())
            raise errors.FailureError(exc.failure) from exc
        finally:
            pinned.pool.rest(took)
        if isinstance(answer, statements.Refused):
            raise self._refused_pinned(pinned, answer, commits=commits)
        if pinned.guarded and not commits:
            group.note_lead(pinned.endpoint, answer.position, sent)
        else:
            group.note_heard(pinned.endpoint, answer.position)
        if commits:
            if pinned.wrote:
                self._session.wrote(answer.position)
                group.note_lead(pinned.endpoint, answer.position, sent)
            pinned.pool.give_back(pinned.conn, good=True)
            self.block = Idle()
            self._end_write()
        return answer

    def _refused_pinned(
        self, pinned: Pinned, answer: statements.Refused, *, commits: bool
    ) -> errors.FailureError:
        pinned.service.group.note_heard(pinned.endpoint)
        self.end_block(Idle() if commits else Failed())
        if _refuses_lead(answer):
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

    # Connections.

    def _enter(
        self, use: Use, target: str
    ) -> tuple[pool_lib.Pool, ports.EndpointConn]:
        pool = use.service.pool(target)
        self.endpoint = target
        if pool is None:
            raise _ElsewhereError(
                errors.NoPrimary(group=use.service.limits.name), sent=False
            )
        left = use.deadline - clock.now()
        try:
            conn = pool.enter(
                session=self._session.name,
                deadline=time.monotonic() + left,
                priority=use.route.priority,
                prefer=self._session.suits,
                patience_s=self._patience_s,
            )
        except errors.FailureError as exc:
            raise _ElsewhereError(exc.failure, sent=False) from exc
        except ports.DialError as exc:
            use.service.note_dial(target, exc)
            failure = errors.Unreachable(endpoint=target, why=str(exc))
            raise _ElsewhereError(failure, sent=False) from exc
        return pool, conn

    def _set_up(
        self,
        conn: ports.EndpointConn,
        use: Use,
        given_up: collections.abc.Callable[[], bool],
        then: statements.Command | None = None,
    ) -> None:
        """Makes the connection hold the session's values.

        Args:
            conn: The connection.
            use: What the statement is run with.
            given_up: Asked now and then whether waiting still makes sense.
            then: A command that may follow in the same breath; its answer is
                left to the caller.
        """
        commands = fenced_session.setup(conn, self._session.values)
        extra = () if then is None else (then,)
        if commands or extra:
            conn.send((*commands, *extra))
        for _ in commands:
            answer = conn.receive(use.deadline, given_up)
            if isinstance(answer, statements.Refused):
                raise ports.LinkError("session values were refused")
        if commands:
            fenced_session.note_setup(conn, commands, self._session.values)

    def _ask(
        self,
        conn: ports.EndpointConn,
        forward: statements.Forwarded,
        use: Use,
        given_up: collections.abc.Callable[[], bool] | None = None,
    ) -> statements.Answer:
        """Sends a statement, and prepares it first where that is needed."""
        name = forward.prepared
        if not name or name in conn.prepared:
            conn.send((forward,))
            answer = conn.receive(use.deadline, given_up)
        else:
            kept = self._session.find(name)
            prepare = statements.Prepare(
                name=name, writes=kept.writes, shape=kept.shape
            )
            # If preparing fails, the endpoint does not know the name and does
            # not run what follows.
            conn.send((prepare, forward))
            first = conn.receive(use.deadline, given_up)
            answer = conn.receive(use.deadline, given_up)
            if isinstance(first, statements.Completed):
                conn.prepared.add(name)
        match answer:
            case statements.Refused(reason=statements.Reason.UNKNOWN_STATEMENT):
                conn.prepared.discard(name)
        return answer


def _proof(use: Use, max_age_s: float) -> freshness.Proof | None:
    """Returns the proof to read by: an old one, or the last that will do."""
    proofs = use.service.group.proofs
    now = clock.now()
    found = proofs.oldest_since(now - max(max_age_s - CHOICE_SLACK_S, 0.0))
    if found is not None:
        return found
    newest = proofs.newest()
    if newest is not None and now < newest.at + max_age_s - 2 * SEND_SLACK_S:
        return newest
    return None


def _undo(conn: ports.EndpointConn) -> None:
    conn.send((statements.UndoTransaction(),))
    conn.ignore_next()


def _refuses_lead(answer: statements.Answer) -> bool:
    match answer:
        case statements.Refused(reason=statements.Reason.READ_ONLY):
            return True
        case _:
            return False
