"""One caller's connection, from its first packet to its last.

The task reads a batch, decides where it goes by what it asks for and by the
transaction block that is open, and answers it. A plain BEGIN is answered at
once; the block gets its endpoint with its first statement, so a transaction
that begins with reads begins on a replica and moves to the primary with its
first write.
"""

import collections.abc
import contextlib
import dataclasses
import socket
import threading
import time

from bronzehold.connection import backend as backend_lib
from bronzehold.connection import client
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.connection import session as session_lib
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.process import metrics
from bronzehold.process import pool as pool_lib
from bronzehold.process import served as served_lib
from bronzehold.request import batch as batch_lib
from bronzehold.request import classify
from bronzehold.request import effort
from bronzehold.request import lane
from bronzehold.request import lengths
from bronzehold.request import reads
from bronzehold.request import relay
from bronzehold.version import grant as grant_lib

PAUSE_S = 0.02
VOUCH_S = 2.0
BEGIN = messages.query("BEGIN")
BEGIN_READ_ONLY = messages.query("BEGIN READ ONLY")
_IN_BLOCK = (messages.IN_TRANSACTION, messages.IN_FAILED_TRANSACTION)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Idle:
    """No transaction block is open."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deferred:
    """A block is open, and no statement of it has run."""

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pinned:
    """The block, or an unfinished batch, holds an endpoint connection.

    Attributes:
        backend: The connection.
        pool: Where it goes back to.
        place: The endpoint.
        prefix: The block has only read so far, and may move to the primary.
        state: The transaction state that the endpoint reported last.
        skipping: The endpoint ignores messages until a Sync.
        broken: The connection cannot be used any more.
    """

    backend: backend_lib.Backend
    pool: pool_lib.Pool
    place: reads.Place
    prefix: bool
    state: bytes = messages.IN_TRANSACTION
    skipping: bool = False
    broken: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The block has failed and waits for its end."""


Block = Idle | Deferred | Pinned | Failed


class GoneError(Exception):
    """The caller has left."""


class Caller:
    """Serves one caller; all but stop and cancel run in its own task."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        reader: frames.Reader,
        served: served_lib.Served,
        key: tuple[int, int],
        proxy: str,
    ):
        self.key = key
        self._sock = sock
        self._reader = reader
        self._served = served
        self._proxy = proxy
        self._id = f"{key[0]}"
        self._session = session_lib.Session(service=served.service.name)
        self._block: Block = Idle()
        self._active: backend_lib.Backend | None = None
        self._lock = threading.Lock()
        self._idle = False
        self._stopping = False
        self._counted = False
        self._place = "none"
        self._effort: effort.Effort | None = None

    # Life of the connection.

    def open(self, params: dict[str, str]) -> None:
        """Tells the caller that it is connected.

        Raises:
            errors.FailureError: A start-up parameter is not accepted.
        """
        for name, value in params.items():
            if name in ("user", "database", "replication", "options"):
                continue
            quoted = value.replace("'", "''")
            sql = f"SET {name} TO '{quoted}'"
            self._session.set(name, value, sql=sql)
        out = bytearray()
        for name, value in (
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ):
            out += messages.parameter(name, value)
        out += messages.key_data(*self.key)
        out += messages.ready(messages.IDLE)
        self._send(bytes(out))

    def serve(self) -> None:
        """Answers batches until the caller leaves or the proxy stops."""
        try:
            while self._await_batch():
                batch = self._read_batch()
                if batch is None:
                    return
                self._answer(batch)
        except (GoneError, frames.ClosedError):
            return
        except frames.FramingError as exc:
            self._send(
                messages.failure(errors.Malformed(what=str(exc)), fatal=True)
            )
        finally:
            self._drop_block()
            self._uncount()

    def _await_batch(self) -> bool:
        """Waits for a request; returns False when the proxy is stopping."""
        between = isinstance(self._block, Idle)
        if not self._reader.buffered():
            with self._lock:
                self._idle = between
            try:
                self._reader.fill()
            finally:
                with self._lock:
                    self._idle = False
        with self._lock:
            return not (self._stopping and between)

    def stop(self) -> None:
        """Makes the next request outside of a transaction the last.

        That request is answered as not run. A notice to an idle caller would
        not do: drivers drop what comes while they wait for nothing, and then
        cannot tell whether the request they send next was run.
        """
        with self._lock:
            self._stopping = True

    def say_goodbye(self) -> None:
        """Ends the connection of a caller that has been idle all along."""
        with self._lock:
            if self._idle:
                self._say_stopping()

    def _say_stopping(self) -> None:
        notice = messages.failure(
            errors.Stopping(proxy=self._proxy), fatal=True
        )
        with contextlib.suppress(OSError):
            self._sock.sendall(notice)
            self._sock.shutdown(socket.SHUT_WR)

    def finish(self) -> None:
        """Answers the last request, and reads on until the caller leaves.

        Closing at once would turn what the caller still sends into a reset,
        which can take the answer with it.
        """
        with self._lock:
            stopping = self._stopping
        if not stopping:
            return
        self._say_stopping()
        self._sock.settimeout(VOUCH_S)
        with contextlib.suppress(OSError):
            while self._sock.recv(frames.RECEIVE_BYTES):
                continue

    def cancel(self) -> None:
        """Cancels what runs for this caller now, if anything does."""
        with self._lock:
            backend = self._active
        if backend is not None:
            backend.cancel(self._id)

    def busy(self) -> bool:
        """Whether a request or a transaction is under way."""
        with self._lock:
            return not self._idle

    def _send(self, out: bytes) -> None:
        try:
            frames.send(self._sock, out)
        except (frames.ClosedError, TimeoutError) as exc:
            raise GoneError from exc

    # Reading.

    def _read_batch(self) -> batch_lib.Batch | None:
        items: list[batch_lib.Item] = []
        failure: errors.Failure | None = None
        while True:
            frame = self._reader.frame()
            match frame.kind:
                case b"X":
                    return None
                case b"Q":
                    return self._query_batch(frame)
                case b"S" | b"H":
                    items.append(batch_lib.Item(frame=frame))
                    if failure is None:
                        return self._extended_batch(items)
                    if frame.kind == b"S":
                        items = self._refuse(failure)
                        failure = None
                        if not self._reader.buffered():
                            return _nothing()
                case b"P" | b"B" | b"D" | b"E" | b"C":
                    if failure is not None:
                        continue
                    try:
                        items.append(self._session.names.read(frame))
                    except errors.FailureError as exc:
                        failure = exc.failure
                    except ValueError:
                        raise frames.FramingError("cut message") from None
                case b"d" | b"c" | b"f":
                    continue
                case _:
                    raise frames.FramingError(f"message {frame.kind!r}")

    def _refuse(self, failure: errors.Failure) -> list[batch_lib.Item]:
        self._fail(failure)
        self._send(messages.ready(self._state()))
        return []

    def _query_batch(self, frame: frames.Frame) -> batch_lib.Batch:
        text = messages.query_text(frame.body)
        return batch_lib.Batch(
            items=(batch_lib.Item(frame=frame),),
            ending=batch_lib.Ending.QUERY,
            statement=classify.classify(text),
            executes=True,
            text=text,
            arrived=time.monotonic(),
        )

    def _extended_batch(self, items: list[batch_lib.Item]) -> batch_lib.Batch:
        flush = items[-1].frame.kind == b"H"
        named = [i.prepared for i in items if i.prepared is not None]
        text = named[0].sql.decode("utf8", "replace") if named else ""
        return batch_lib.Batch(
            items=tuple(items),
            ending=batch_lib.Ending.FLUSH if flush else batch_lib.Ending.SYNC,
            statement=batch_lib.combine(batch_lib.statements(items)),
            executes=any(i.frame.kind == b"E" for i in items),
            text=text,
            arrived=time.monotonic(),
        )

    # Answering.

    def _answer(self, batch: batch_lib.Batch) -> None:
        if not batch.items:
            return
        self._place = "none"
        outcome = "ok"
        try:
            outcome = self._route(batch) or "ok"
        except errors.FailureError as exc:
            told = errors.report(exc.failure)
            outcome = f"{told.kind.value} {told.sqlstate}"
            self._fail(exc.failure)
            if batch.ending is not batch_lib.Ending.FLUSH:
                self._send(messages.ready(self._state()))
            else:
                self._skip_to_sync()
        if not isinstance(self._block, Pinned):
            self._uncount()
        self._record(batch, outcome)

    def _uncount(self) -> None:
        if self._counted:
            self._counted = False
            self._served.group.end_write()

    def _record(self, batch: batch_lib.Batch, outcome: str) -> None:
        read = isinstance(batch.statement, classify.Read)
        key = metrics.Key(
            service=self._served.service.name,
            work="read" if read else "write",
            place=self._place,
            outcome=outcome,
        )
        took = time.monotonic() - batch.arrived
        self._served.env.measures.record(key, took)

    def _skip_to_sync(self) -> None:
        while True:
            frame = self._reader.frame()
            if frame.kind == b"X":
                raise GoneError
            if frame.kind == b"S":
                self._send(messages.ready(self._state()))
                return

    def _fail(self, failure: errors.Failure) -> None:
        self._send(messages.failure(failure))
        if not isinstance(self._block, Idle):
            in_block = self._in_block()
            self._drop_block()
            self._block = Failed() if in_block else Idle()

    def _in_block(self) -> bool:
        match self._block:
            case Pinned(state=state):
                return state not in (messages.IDLE, b"")
            case Idle():
                return False
            case _:
                return True

    def _state(self) -> bytes:
        match self._block:
            case Idle():
                return messages.IDLE
            case Deferred():
                return messages.IN_TRANSACTION
            case Pinned(state=state):
                return state or messages.IDLE
            case Failed():
                return messages.IN_FAILED_TRANSACTION

    def _done(self, batch: batch_lib.Batch, tag: str) -> None:
        self._send(batch_lib.answer_done(batch, tag, self._state()))

    def _route(self, batch: batch_lib.Batch) -> str:
        match self._block:
            case Failed():
                return self._route_failed(batch)
            case Pinned():
                return self._route_pinned(batch)
            case _:
                return self._route_unpinned(batch)

    def _route_failed(self, batch: batch_lib.Batch) -> str:
        match batch.statement:
            case classify.Commit() | classify.Rollback():
                if batch.executes:
                    self._end_block(keep=False)
                self._done(batch, "ROLLBACK")
            case classify.Nothing():
                self._done(batch, "")
            case _:
                raise errors.FailureError(errors.InFailedTransaction())
        return ""

    def _route_unpinned(self, batch: batch_lib.Batch) -> str:
        match batch.statement:
            case classify.Nothing():
                self._done(batch, "")
            case classify.Refused(what=what):
                raise errors.FailureError(errors.Unsupported(what=what))
            case classify.SetVar() as wanted if self._is_local(wanted):
                self._set(batch, wanted)
                self._done(batch, "SET")
            case classify.ShowVar(name=name) if self._shows(name) is not None:
                self._show(batch, name)
            case classify.ResetVars(tag=tag, name=name):
                if batch.executes:
                    self._reset(tag, name)
                self._done(batch, tag)
            case classify.Begin() as begin if begin.plain or begin.read_only:
                if batch.executes and isinstance(self._block, Idle):
                    self._session.begin()
                    self._block = Deferred(read_only=begin.read_only)
                self._done(batch, "BEGIN")
            case classify.Commit():
                if batch.executes:
                    self._end_block(keep=True)
                self._done(batch, "COMMIT")
            case classify.Rollback():
                if batch.executes:
                    self._end_block(keep=False)
                self._done(batch, "ROLLBACK")
            case classify.Read() | classify.ShowVar():
                return self._read(batch)
            case _:
                return self._write(batch)
        return ""

    def _is_local(self, wanted: classify.SetVar) -> bool:
        own = wanted.name.lower().startswith(session_lib.OWN_PREFIX)
        return own or not wanted.local

    def _shows(self, name: str) -> str | None:
        return self._session.show(name)

    def _show(self, batch: batch_lib.Batch, name: str) -> None:
        value = self._shows(name) or ""
        self._send(batch_lib.answer_value(batch, name, value, self._state()))

    def _set(self, batch: batch_lib.Batch, wanted: classify.SetVar) -> None:
        if batch.executes:
            self._session.set(
                wanted.name,
                wanted.value,
                local=wanted.local and not isinstance(self._block, Idle),
                sql=wanted.sql,
            )

    def _reset(self, tag: str, name: str) -> None:
        self._session.reset(name)
        if tag == "DISCARD ALL":
            self._session.names.statements.clear()

    def _end_block(self, *, keep: bool) -> None:
        self._block = Idle()
        self._session.end(keep=keep)
        self._session.names.portals.clear()

    # Reads outside of a pinned block.

    def _check_spend(self) -> None:
        service = self._served.service
        if self._served.spend.reached(service):
            raise errors.FailureError(errors.SpendReached(service=service.name))

    def _deadline(self, batch: batch_lib.Batch) -> float:
        return batch.arrived + (
            self._served.service.deadline_ms * data.MILLISECOND
        )

    def _read(self, batch: batch_lib.Batch) -> str:
        served = self._served
        deadline = self._deadline(batch)
        self._check_spend()
        served.budget.earn()
        wanted = reads.need(served, self._session, batch.arrived, deadline)
        avoid: frozenset[str] = frozenset()
        while True:
            try:
                return self._read_once(batch, wanted, deadline, avoid)
            except _ElsewhereError as exc:
                avoid |= {exc.endpoint}
                if exc.sent and not served.budget.spend():
                    raise errors.FailureError(
                        errors.NoFreshEndpoint(group=served.group.name)
                    ) from None
            if len(avoid) >= len(served.service.endpoints):
                avoid = frozenset()
                time.sleep(PAUSE_S)

    def _read_once(
        self,
        batch: batch_lib.Batch,
        wanted: reads.Need,
        deadline: float,
        avoid: frozenset[str],
    ) -> str:
        served = self._served
        own = self._session.freshness.mark
        place = reads.choose(served, wanted, own, deadline, avoid)
        shape = lengths.shape(batch.text)
        if served.lengths.length(shape) is data.Length.SHORT:
            return self._read_or_elsewhere(batch, place, deadline)
        with lane.hold(
            served,
            lambda: reads.candidates(served, wanted, avoid),
            deadline,
            served.lengths.expected(shape),
        ) as endpoint:
            place = reads.place(served, endpoint)
            return self._read_or_elsewhere(batch, place, deadline)

    def _read_or_elsewhere(
        self, batch: batch_lib.Batch, place: reads.Place, deadline: float
    ) -> str:
        try:
            return self._read_at(batch, place, deadline)
        except pool_lib.DialError as exc:
            raise _ElsewhereError(place.endpoint, sent=False) from exc
        except _RetryError as exc:
            raise _ElsewhereError(place.endpoint, sent=True) from exc

    def _read_at(
        self, batch: batch_lib.Batch, place: reads.Place, deadline: float
    ) -> str:
        pool = self._pool(place)
        backend = self._enter(pool, deadline, batch)
        ahead: tuple[bytes, ...] = ()
        if isinstance(self._block, Deferred):
            ahead = (BEGIN_READ_ONLY,)
        self._place = "primary" if place.primary else "replica"
        try:
            self._check_place(place)
            answer = self._relay(backend, place, batch, ahead, hold=False)
            self._check_read(place, answer)
        except relay.BrokenError as exc:
            self._let_go(pool, backend, good=False)
            if exc.handed:
                raise errors.FailureError(
                    errors.AnswerCut(endpoint=place.endpoint)
                ) from exc
            raise _RetryError from exc
        except _RetryError:
            self._let_go(pool, backend, good=False)
            raise
        except BaseException:
            self._let_go(pool, backend, good=False)
            raise
        self._effort.end(answer.took)
        prefix = self._is_prefix()
        pinned = Pinned(backend=backend, pool=pool, place=place, prefix=prefix)
        self._settle(pinned, answer)
        self._send(answer.rest)
        return answer.sqlstate

    def _is_prefix(self) -> bool:
        match self._block:
            case Deferred(read_only=read_only):
                return not read_only
            case _:
                return False

    def _check_place(self, place: reads.Place) -> None:
        # The endpoint may have begun to leave while the request waited.
        ep = self._served.group.endpoint(place.endpoint)
        if ep is None or ep.leaving:
            raise _RetryError

    def _check_read(self, place: reads.Place, answer: relay.Answer) -> None:
        if not place.primary:
            return
        vouched = self._served.group.wait_grant(
            place.endpoint, place.term, time.monotonic() + VOUCH_S
        )
        if vouched:
            return
        if answer.handed:
            raise errors.FailureError(errors.AnswerCut(endpoint=place.endpoint))
        raise _RetryError

    # Writes outside of a pinned block.

    def _write(self, batch: batch_lib.Batch) -> str:
        match self._block:
            case Deferred(read_only=True):
                return self._read(batch)
        deadline = self._deadline(batch)
        self._check_spend()
        shape = lengths.shape(batch.text)
        known = self._served.lengths
        if known.length(shape) is data.Length.SHORT:
            return self._write_until(batch, deadline)
        with lane.hold(
            self._served, self._primaries, deadline, known.expected(shape)
        ):
            return self._write_until(batch, deadline)

    def _primaries(self) -> list[str]:
        grant = self._served.group.grant()
        return [grant.primary] if grant is not None else []

    def _write_until(self, batch: batch_lib.Batch, deadline: float) -> str:
        group = self._served.group
        while True:
            grant = group.start_write(deadline)
            self._counted = True
            try:
                return self._write_at(batch, grant, deadline)
            except (pool_lib.DialError, _RetryError):
                self._uncount()
                if time.monotonic() >= deadline:
                    raise errors.FailureError(
                        errors.NoPrimary(group=group.name)
                    ) from None
            time.sleep(PAUSE_S)

    def _write_at(
        self, batch: batch_lib.Batch, grant: grant_lib.Grant, deadline: float
    ) -> str:
        place = reads.Place(
            endpoint=grant.primary, primary=True, term=grant.term
        )
        pool = self._pool(place)
        backend = self._enter(pool, deadline, batch)
        in_block = isinstance(self._block, Deferred)
        self._place = "primary"
        try:
            self._check_place(place)
            now = self._served.group.grant()
            if now is None or now.term != grant.term:
                raise _RetryError
            ahead = (BEGIN,) if in_block else ()
            answer = self._relay(backend, place, batch, ahead, hold=True)
            if answer.refused and not answer.handed:
                # None of it was kept, so it may go to the next primary.
                raise _RetryError
        except relay.BrokenError as exc:
            self._let_go(pool, backend, good=False)
            raise errors.FailureError(
                self._lost(batch, place, exc, in_block=in_block)
            ) from exc
        except BaseException:
            self._let_go(pool, backend, good=False)
            raise
        self._effort.end(answer.took)
        pinned = Pinned(backend=backend, pool=pool, place=place, prefix=False)
        self._settle(pinned, answer)
        return self._conclude(batch, place, answer)

    def _lost(
        self,
        batch: batch_lib.Batch,
        place: reads.Place,
        exc: relay.BrokenError,
        *,
        in_block: bool,
    ) -> errors.Failure:
        if in_block and not _may_commit(batch.statement):
            return errors.TransactionLost(endpoint=place.endpoint)
        return errors.OutcomeUnknown(endpoint=place.endpoint, why=exc.why)

    def _conclude(
        self, batch: batch_lib.Batch, place: reads.Place, answer: relay.Answer
    ) -> str:
        """Vouches for what may have been committed, and answers."""
        over = answer.state == messages.IDLE
        if over and (answer.mark is not None or not answer.sqlstate):
            self._vouch(batch, place, answer)
        self._send(answer.rest)
        return answer.sqlstate

    def _vouch(
        self, batch: batch_lib.Batch, place: reads.Place, answer: relay.Answer
    ) -> None:
        group = self._served.group
        now = time.monotonic()
        deadline = max(self._deadline(batch), now + VOUCH_S)
        mark = answer.mark
        why = ""
        if mark is not None and mark.term != place.term:
            why = f"written in term {mark.term}"
        elif (
            mark is not None
            and self._served.service.ack is data.Ack.REPLICA
            and not group.wait_held(mark, place.endpoint, deadline)
        ):
            why = "no replica holds it"
        elif not group.wait_grant(place.endpoint, place.term, deadline):
            why = "the primary was replaced"
        if why:
            raise errors.FailureError(
                errors.OutcomeUnknown(endpoint=place.endpoint, why=why)
            )
        if mark is not None:
            group.wrote(mark)
            self._session.wrote(mark)

    # Pinned blocks.

    def _route_pinned(self, batch: batch_lib.Batch) -> str:
        pinned = self._block
        match batch.statement:
            case classify.Refused(what=what):
                raise errors.FailureError(errors.Unsupported(what=what))
            case classify.SetVar() as wanted:
                self._set(batch, wanted)
                own = wanted.name.lower().startswith(session_lib.OWN_PREFIX)
                if own:
                    self._done(batch, "SET")
                    return ""
                pinned.backend.variables = None
            case classify.ShowVar(name=name) if self._shows(name) is not None:
                self._show(batch, name)
                return ""
            case classify.ResetVars(tag=tag, name=name):
                if tag == "DISCARD ALL":
                    what = "DISCARD ALL in a transaction"
                    raise errors.FailureError(errors.Unsupported(what=what))
                self._reset(tag, name)
                pinned.backend.variables = None
            case classify.Write() | classify.Begin():
                if pinned.prefix and pinned.state == messages.IN_TRANSACTION:
                    return self._move_to_primary(batch)
        return self._run_pinned(batch)

    def _move_to_primary(self, batch: batch_lib.Batch) -> str:
        self._drop_block()
        self._block = Deferred(read_only=False)
        return self._write(batch)

    def _run_pinned(self, batch: batch_lib.Batch) -> str:
        pinned = self._block
        place = pinned.place
        in_block = pinned.state in _IN_BLOCK
        may_commit = place.primary and (
            not in_block or _may_commit(batch.statement)
        )
        self._place = "primary" if place.primary else "replica"
        pinned.pool.resume()
        # A statement of an open transaction runs in no lane.
        short = data.Length.SHORT
        self._effort = self._make_effort(pinned.pool, batch, short)
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
            self._effort.end(None)
            self._block = dataclasses.replace(pinned, broken=True)
            if not isinstance(exc, relay.BrokenError):
                raise
            raise errors.FailureError(
                self._lost_pinned(place, exc, may_commit=may_commit)
            ) from exc
        self._effort.end(answer.took)
        if place.primary and not (may_commit or self._in_office(place)):
            raise errors.FailureError(
                errors.TransactionLost(endpoint=place.endpoint)
            )
        keep = not answer.sqlstate and not isinstance(
            batch.statement, classify.Rollback
        )
        self._settle(pinned, answer, keep=keep)
        if place.primary:
            return self._conclude(batch, place, answer)
        self._send(answer.rest)
        return answer.sqlstate

    def _in_office(self, place: reads.Place) -> bool:
        return self._served.group.wait_grant(
            place.endpoint, place.term, time.monotonic() + VOUCH_S
        )

    def _lost_pinned(
        self, place: reads.Place, exc: relay.BrokenError, *, may_commit: bool
    ) -> errors.Failure:
        if may_commit:
            # A commit ends the block whatever became of it.
            self._drop_block()
            self._session.end(keep=False)
            return errors.OutcomeUnknown(endpoint=place.endpoint, why=exc.why)
        return errors.TransactionLost(endpoint=place.endpoint)

    # Endpoint connections.

    def _pool(self, place: reads.Place) -> pool_lib.Pool:
        pool = self._served.pool(place.endpoint)
        if pool is None:
            raise _RetryError
        return pool

    def _make_effort(
        self, pool: pool_lib.Pool, batch: batch_lib.Batch, length: data.Length
    ) -> effort.Effort:
        return effort.Effort(
            served=self._served,
            pool=pool,
            shape=lengths.shape(batch.text),
            length=length,
        )

    def _enter(
        self, pool: pool_lib.Pool, deadline: float, batch: batch_lib.Batch
    ) -> backend_lib.Backend:
        length = self._served.lengths.length(lengths.shape(batch.text))
        backend = pool.enter(session=self._id, deadline=deadline, length=length)
        self._effort = self._make_effort(pool, batch, length)
        backend.attach(self._id)
        try:
            backend.set_variables(self._session.statements())
        except client.ServerError as exc:
            self._let_go(pool, backend, good=False)
            raise errors.FailureError(
                errors.BadValue(variable="a session variable", value=str(exc))
            ) from exc
        except client.ClientError as exc:
            self._let_go(pool, backend, good=False)
            raise pool_lib.DialError(str(exc)) from exc
        return backend

    def _let_go(
        self, pool: pool_lib.Pool, backend: backend_lib.Backend, *, good: bool
    ) -> None:
        self._effort.end(None)
        pool.give_back(backend, good=good)

    def _relay(
        self,
        backend: backend_lib.Backend,
        place: reads.Place,
        batch: batch_lib.Batch,
        ahead: tuple[bytes, ...],
        *,
        hold: bool,
        skipping: bool = False,
    ) -> relay.Answer:
        with self._lock:
            self._active = backend
        try:
            exchange = relay.Relay(
                backend=backend,
                hand_on=self._send,
                give_up=self._give_up(place),
                hold=hold,
                skipping=skipping,
            )
            plan = batch_lib.plan(batch, backend.prepared)
            self._effort.start()
            answer = exchange.run(plan, ahead)
            self._served.spend.add(self._served.service, answer.took)
            return answer
        finally:
            with self._lock:
                self._active = None

    def _give_up(self, place: reads.Place) -> collections.abc.Callable[[], str]:
        group = self._served.group
        deadline_s = self._served.service.deadline_ms * data.MILLISECOND

        def why() -> str:
            self._effort.check()
            if not group.is_silent(place.endpoint):
                return ""
            if not place.primary or group.replaced(place.term):
                return "the endpoint is silent"
            too_long = group.silent_for(place.endpoint) > deadline_s
            return "the endpoint is silent" if too_long else ""

        return why

    def _settle(
        self, pinned: Pinned, answer: relay.Answer, *, keep: bool = True
    ) -> None:
        """Keeps or gives back the connection, by the state it ended in."""
        if answer.state == messages.IDLE:
            self._block = pinned
            self._release(good=True)
            self._end_block(keep=keep)
            return
        self._block = dataclasses.replace(
            pinned, state=answer.state, skipping=answer.skipping
        )

    def _release(self, *, good: bool) -> None:
        pinned = self._block
        self._block = Idle()
        pinned.pool.give_back(pinned.backend, good=good)

    def _drop_block(self) -> None:
        match self._block:
            case Pinned() as pinned:
                self._release(good=_roll_back(pinned))
            case _:
                self._block = Idle()


def _roll_back(pinned: Pinned) -> bool:
    """Ends the open transaction; returns whether the connection is clean."""
    if pinned.broken or pinned.state not in _IN_BLOCK:
        return False
    try:
        pinned.backend.run_hidden("ROLLBACK")
    except client.ClientError:
        return False
    return True


class _RetryError(Exception):
    """The request has not run, or was a read, and may go elsewhere."""


class _ElsewhereError(Exception):
    """A read did not come through on one endpoint, and may on another.

    Attributes:
        endpoint: The endpoint.
        sent: Whether the read had been sent to it.
    """

    def __init__(self, endpoint: str, *, sent: bool):
        super().__init__(endpoint)
        self.endpoint = endpoint
        self.sent = sent


def _may_commit(statement: classify.Statement) -> bool:
    match statement:
        case classify.Commit() | classify.Write(ends=True):
            return True
        case _:
            return False


def _nothing() -> batch_lib.Batch:
    return batch_lib.Batch(
        items=(),
        ending=batch_lib.Ending.SYNC,
        statement=classify.Nothing(),
        executes=False,
        text="",
        arrived=time.monotonic(),
    )
