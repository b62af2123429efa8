"""Connection of one caller of the PostgreSQL path.

Reads the caller's messages in batches, passes each batch to the router, sends
errors to the caller and records metrics.
"""

import contextlib
import enum
import socket
import threading
import time

from bronzehold.connection import blocks
from bronzehold.connection import caller_frames
from bronzehold.connection import executor as executor_lib
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.connection import router as router_lib
from bronzehold.connection import session as session_lib
from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.process import byte_budget
from bronzehold.process import connection_limit
from bronzehold.process import metrics
from bronzehold.process import service as service_lib
from bronzehold.request import batch as batch_lib
from bronzehold.request import classify
from bronzehold.request import durations

LINGER_TIMEOUT_S = 2.0
# A caller that accepts no data for this long is treated as disconnected.
SEND_TIMEOUT_S = 10.0
# An answer is in memory as it is received and as it is sent.
ANSWER_COPIES = 2
# Part of a large answer that a caller has to take within that time.
SEND_PART_BYTES = 65536
# A caller that accepts no data for this long may be closed when there are too
# many connections. A network that drops packets resumes sooner.
NOT_TAKING_S = 1.0


class _Phase(enum.Enum):
    """What a caller's task does.

    Attributes:
        IDLE: It waits for a request and no transaction is open.
        READING: It waits for the rest of a request or of a transaction.
        ANSWERING: It runs a request, or ends the connection.
    """

    IDLE = enum.auto()
    READING = enum.auto()
    ANSWERING = enum.auto()


class DisconnectedError(Exception):
    """The caller has disconnected."""


class Caller:
    """Serves one caller.

    stop, tell_stop, cancel, busy and unanswered may be called from any task;
    all other methods run in the caller's own task.

    Attributes:
        key: The process id and secret that the caller sends to cancel.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        reader: caller_frames.CallerReader,
        served: service_lib.ServiceRuntime,
        key: tuple[int, int],
        account: byte_budget.Account,
    ):
        self.key = key
        self._sock = sock
        self._reader = reader
        self._served = served
        self._session = session_lib.Session(service=served.service.name)
        self._executor = executor_lib.Executor(
            served=served,
            session=self._session,
            send=self._send,
            name=f"{key[0]}",
            may_start=account.may_start,
            expect=self._expect_answer,
        )
        self._router = router_lib.Router(
            executor=self._executor, session=self._session, send=self._send
        )
        self._lock = threading.Lock()
        self._account = account
        self._phase = _Phase.ANSWERING
        self._phase_since = clock.now()
        self._outside_block = True
        # Since when the caller accepts no data of an answer; None if no answer
        # is being sent.
        self._sending_since: float | None = None
        self._stopping = False
        self._told = False
        # What the caller is told if the proxy stops before the next answer.
        self._interruption = self._executor.interruption()

    # Connection lifecycle.

    def open(self, params: dict[str, str]) -> None:
        """Applies the start-up parameters and completes the start-up.

        Raises:
            errors.FailureError: A start-up parameter has an invalid value.
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
        """Answers batches until the caller disconnects or the proxy stops."""
        try:
            while True:
                # A large request is not kept during the wait for the next one.
                batch = None
                self._reader.begin_request()
                self._await_batch()
                batch = self._read_batch()
                self._reader.finish_request()
                if batch is None or not self._accepts():
                    return
                self._answer(batch)
        except (DisconnectedError, frames.ClosedError):
            return
        except byte_budget.ShortError:
            self._fail_last(errors.MemoryShort(purpose="the message"))
        except frames.FramingError as exc:
            self._send(
                messages.failure(errors.Malformed(problem=str(exc)), fatal=True)
            )
        finally:
            with self._lock:
                self._phase = _Phase.ANSWERING
            self._executor.close()

    def _await_batch(self) -> None:
        """Waits for the first bytes of a request."""
        waits = not self._reader.has_buffered()
        outside_block = isinstance(self._executor.block, blocks.Idle)
        self._enter(_Phase.IDLE if waits and outside_block else _Phase.READING)
        if waits:
            self._reader.fill()
        self._enter(_Phase.READING)

    def _enter(self, phase: _Phase) -> None:
        with self._lock:
            self._phase = phase
            self._phase_since = clock.now()
            self._outside_block = isinstance(self._executor.block, blocks.Idle)
            self._interruption = self._executor.interruption()

    def _accepts(self) -> bool:
        """Returns whether a request is run that has been read."""
        timeout_s = self._served.service.deadline_ms * data.MILLISECOND
        if self._executor.in_pipeline():
            # It is the rest of a request that was accepted.
            timeout_s = 0.0
        outside_block = isinstance(self._executor.block, blocks.Idle)
        with self._lock:
            self._phase = _Phase.ANSWERING
            if self._told or (self._stopping and outside_block):
                return False
            return self._served.env.shutdown.accepts(timeout_s)

    def stop(self) -> None:
        """Stops serving at the next request outside of a transaction.

        That request is answered with an error that says it was not run.
        Sending the error to an idle caller is not enough: drivers discard
        messages that arrive while they wait for no answer, and then cannot
        tell whether the next request was run.
        """
        with self._lock:
            self._stopping = True

    def tell_stop(self, *, idle_only: bool) -> None:
        """Sends the shutdown error to a caller that waits for no answer.

        Nothing that it sends afterwards is run.

        Args:
            idle_only: Whether callers with an open transaction or an incomplete
                request are left alone.
        """
        with self._lock:
            told = self._phase is _Phase.IDLE or (
                self._phase is _Phase.READING and not idle_only
            )
            if told and not self._told:
                self._told = True
                frames.send_last(self._sock, self._shutdown_notice())

    def _shutdown_notice(self) -> bytes:
        return messages.failure(self._interruption, fatal=True)

    def close_gracefully(self) -> None:
        """Sends the shutdown error and waits for the caller to disconnect.

        If the proxy closed the socket at once, further data from the caller
        would cause a connection reset, which can discard the error before the
        caller has read it. Does nothing unless the proxy is stopping.
        """
        if not self._served.env.shutdown.begun.is_set():
            return
        with self._lock:
            told, self._told = self._told, True
        self._sock.settimeout(LINGER_TIMEOUT_S)
        with contextlib.suppress(OSError):
            if not told:
                self._sock.sendall(self._shutdown_notice())
                self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(frames.RECEIVE_BYTES):
                continue

    def cancel(self) -> None:
        """Cancels the caller's running statement, if there is one."""
        self._executor.cancel()

    def idle_since(self) -> tuple[connection_limit.Idleness, float] | None:
        """See connection_limit.Candidate."""
        since = self._sending_since
        if since is not None and clock.now() - since >= NOT_TAKING_S:
            return connection_limit.Idleness.NOT_TAKING, since
        with self._lock:
            waits = self._phase is not _Phase.ANSWERING and self._outside_block
            if not waits:
                return None
            return connection_limit.Idleness.WAITING, self._phase_since

    def close_idle(self, failure: errors.Failure) -> None:
        """Closes the connection if no request is in progress.

        Nothing that it sends afterwards is run.

        Args:
            failure: What the caller is told.
        """
        with self._lock:
            since = self._sending_since
            if since is not None and clock.now() - since >= NOT_TAKING_S:
                self._shut_down()
            elif self._phase is not _Phase.ANSWERING and not self._told:
                self._told = True
                self._fail_last(failure)
                self._shut_down()

    def _fail_last(self, failure: errors.Failure) -> None:
        frames.send_last(self._sock, messages.failure(failure, fatal=True))

    def _shut_down(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def busy(self) -> bool:
        """Returns whether a stop of the proxy waits for this caller."""
        with self._lock:
            match self._phase:
                case _Phase.IDLE:
                    return False
                case _Phase.READING:
                    return not self._told
                case _Phase.ANSWERING:
                    return True

    def unanswered(self) -> bool:
        """Returns whether the caller waits for an answer."""
        with self._lock:
            return self._phase is _Phase.ANSWERING and not self._told

    def _expect_answer(self, size: int) -> None:
        if size > byte_budget.FREE_BYTES:
            self._account.expect_answer(ANSWER_COPIES * size)

    def _send(self, out: bytes) -> None:
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            if len(out) <= byte_budget.FREE_BYTES:
                self._send_part(out)
            else:
                self._send_large(out)
        except (frames.ClosedError, TimeoutError) as exc:
            raise DisconnectedError from exc
        self._sock.settimeout(timeout_s)

    def _send_large(self, out: bytes) -> None:
        self._account.hold(ANSWER_COPIES * len(out), byte_budget.Phase.SENDING)
        view = memoryview(out)
        for start in range(0, len(out), SEND_PART_BYTES):
            self._send_part(view[start : start + SEND_PART_BYTES])
            self._account.record_progress()
        self._account.hold(0, byte_budget.Phase.RUNNING)

    def _send_part(self, out: bytes | memoryview) -> None:
        self._sending_since = clock.now()
        frames.send(self._sock, out)
        self._sending_since = None

    # Reading.

    def _read_batch(self) -> batch_lib.Batch | None:
        items: list[batch_lib.BatchMessage] = []
        failure: errors.Failure | None = None
        while True:
            frame = self._reader.read_frame()
            match frame.kind:
                case b"X":
                    return None
                case b"Q":
                    self._reader.keep(frame)
                    return self._query_batch(frame)
                case b"S" | b"H":
                    self._reader.keep(frame)
                    items.append(batch_lib.BatchMessage(frame=frame))
                    if failure is None:
                        return self._extended_batch(items)
                    if frame.kind == b"S":
                        items = self._reject_batch(failure)
                        failure = None
                        if not self._reader.has_buffered():
                            return _empty_batch()
                case b"P" | b"B" | b"D" | b"E" | b"C":
                    if failure is not None:
                        continue
                    self._reader.keep(frame)
                    try:
                        items.append(self._session.names.resolve(frame))
                    except errors.FailureError as exc:
                        failure = exc.failure
                    except ValueError:
                        raise frames.FramingError("cut message") from None
                case b"d" | b"c" | b"f":
                    continue
                case _:
                    raise frames.FramingError(f"message {frame.kind!r}")

    def _reject_batch(
        self, failure: errors.Failure
    ) -> list[batch_lib.BatchMessage]:
        self._fail(failure)
        self._send_ready()
        return []

    def _query_batch(self, frame: frames.Frame) -> batch_lib.Batch:
        text = messages.query_text(frame.body)
        return batch_lib.Batch(
            items=(batch_lib.BatchMessage(frame=frame),),
            ending=batch_lib.Ending.QUERY,
            statement=classify.classify(text),
            executes=True,
            shape=durations.shape_key(text),
            arrived_at=time.monotonic(),
        )

    def _extended_batch(
        self, items: list[batch_lib.BatchMessage]
    ) -> batch_lib.Batch:
        flush = items[-1].frame.kind == b"H"
        prepared = [i.prepared for i in items if i.prepared is not None]
        text = prepared[0].sql.decode("utf8", "replace") if prepared else ""
        return batch_lib.Batch(
            items=tuple(items),
            ending=batch_lib.Ending.FLUSH if flush else batch_lib.Ending.SYNC,
            statement=batch_lib.combine(batch_lib.statements(items)),
            executes=any(i.frame.kind == b"E" for i in items),
            shape=durations.shape_key(text),
            arrived_at=time.monotonic(),
        )

    # Answering.

    def _answer(self, batch: batch_lib.Batch) -> None:
        if not batch.items:
            return
        self._executor.endpoint_role = "none"
        outcome = "ok"
        try:
            outcome = self._router.route(batch) or "ok"
        except errors.FailureError as exc:
            report = errors.report(exc.failure)
            outcome = f"{report.outcome.value} {report.sqlstate}"
            self._fail(exc.failure)
            if batch.ending is batch_lib.Ending.FLUSH:
                self._skip_to_sync()
            else:
                self._send_ready()
        self._executor.finish_batch()
        self._record(batch, outcome)

    def _send_ready(self) -> None:
        self._send(messages.ready(blocks.state(self._executor.block)))

    def _record(self, batch: batch_lib.Batch, outcome: str) -> None:
        read = isinstance(batch.statement, classify.Read)
        key = metrics.Key(
            service=self._served.service.name,
            statement_kind="read" if read else "write",
            endpoint=self._executor.endpoint_role,
            outcome=outcome,
        )
        elapsed_s = time.monotonic() - batch.arrived_at
        self._served.env.metrics.record(key, elapsed_s)

    def _skip_to_sync(self) -> None:
        self._enter(_Phase.READING)
        while True:
            frame = self._reader.read_frame()
            if frame.kind == b"X":
                raise DisconnectedError
            if frame.kind == b"S":
                self._send_ready()
                return

    def _fail(self, failure: errors.Failure) -> None:
        self._send(messages.failure(failure))
        self._executor.fail_block()


def _empty_batch() -> batch_lib.Batch:
    return batch_lib.Batch(
        items=(),
        ending=batch_lib.Ending.SYNC,
        statement=classify.Empty(),
        executes=False,
        shape=0,
        arrived_at=time.monotonic(),
    )
