"""Accepts connections of callers that speak the line protocol.

Listener runs each connection in a task of its own; Conn implements
ports.CallerConn with the messages of wire.py. The session itself is
connection/platform_caller.py.
"""

import contextlib
import dataclasses
import itertools
import math
import socket

from bronzehold.connection import acceptor
from bronzehold.connection import caller_closing
from bronzehold.connection import forward_client
from bronzehold.connection import platform_caller
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import request_events
from bronzehold.core import sockets
from bronzehold.core import statements
from bronzehold.platform import caller_reader
from bronzehold.platform import wire
from bronzehold.process import byte_budget
from bronzehold.process import connection_limit
from bronzehold.process import limit_events
from bronzehold.process import platform_process
from bronzehold.version import access

ACCEPT_BACKLOG = 1024
# Callers give up on the answer to STARTUP after 2 s, so their STARTUP message
# arrives well within this timeout.
STARTUP_TIMEOUT_S = 5.0
# A caller that accepts no data for this long is treated as disconnected.
SEND_TIMEOUT_S = 10.0
# A caller that accepts no data for this long may be closed when there
# are too many connections. A network that drops packets resumes sooner.
NOT_TAKING_S = 1.0
# Part of a large answer that a caller has to take within that time.
SEND_PART_BYTES = 65536
# The rows of an answer are in memory beside its body.
ANSWER_COPIES = 2


class Conn:
    """One caller's connection; implements ports.CallerConn.

    Attributes:
        closes_next: Whether the connection ends after the present request.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        reader: wire.LineReader,
        account: byte_budget.Account | None = None,
    ):
        self._sock = sock
        self._reader = reader
        # The part of an announced answer that has not been sent, None if no
        # answer is announced.
        self._announced: bytes | None = None
        self.closes_next = False
        # Since when the caller accepts no data of an answer; None if no answer
        # is being sent.
        self._sending_since: float | None = None
        self._account = account or byte_budget.UNLIMITED.open_account(
            lambda _: None
        )

    def receive(self, wait_s: float | None) -> statements.Request | None:
        """Waits for a statement.

        A message that violates the protocol is answered with an error and ends
        the connection.

        Args:
            wait_s: Maximum wait in seconds, None for no limit.

        Returns:
            The statement, or None if the connection is to be closed.

        Raises:
            TimeoutError: No statement arrived within wait_s.
            ports.TransportError: The error message could not be sent.
        """
        if self.closes_next:
            return None
        self._sock.settimeout(wait_s)
        try:
            line = self._reader.read_line()
            self._account.await_room()
        except ports.TransportError:
            return None
        except wire.ProtocolError as exc:
            self._reject(str(exc))
            return None
        except byte_budget.ShortError:
            send_last(self._sock, errors.MemoryShort(purpose="the message"))
            return None
        if line == b"CLOSE":
            return None
        try:
            return wire.parse_query(line, clock.now())
        except wire.ProtocolError as exc:
            self._reject(str(exc))
            return None

    def _reject(self, problem: str) -> None:
        self._send(wire.encode_error(errors.Malformed(problem=problem)))

    def complete(self, body: bytes, state: statements.TransactionState) -> None:
        """Sends an endpoint's answer to the caller."""
        ready = wire.encode_ready(state)
        if len(body) <= byte_budget.FREE_BYTES:
            self._send(body + ready)
            return
        self._account.hold(ANSWER_COPIES * len(body), byte_budget.Phase.SENDING)
        view = memoryview(body)
        for start in range(0, len(body), SEND_PART_BYTES):
            self._send(view[start : start + SEND_PART_BYTES])
            self._account.record_progress()
        self._send(ready)

    def is_sending_for(self, seconds: float) -> bool:
        """Returns whether the caller has accepted no data for some time."""
        since = self._sending_since
        return since is not None and clock.now() - since >= seconds

    def is_pipelining(self) -> bool:
        """Returns whether requests wait behind the present one."""
        return self._reader.has_buffered_data()

    def hold_state(self, size: int) -> bool:
        """Returns whether the session's state may take a number of bytes."""
        return self._account.hold_state(size)

    def hold_answer(self, size: int) -> None:
        """Charges the memory for an answer of some bytes that has arrived."""
        if size > byte_budget.FREE_BYTES:
            self._account.hold(ANSWER_COPIES * size, byte_budget.Phase.RUNNING)

    def may_start(self) -> bool:
        """Returns whether there is memory for an answer."""
        return self._account.may_start()

    def acknowledge(self, state: statements.TransactionState) -> None:
        """Reports the success of a statement that the proxy itself handled."""
        self._send(wire.COMPLETE_MESSAGE + wire.encode_ready(state))

    def fail(
        self, failure: errors.Failure, state: statements.TransactionState
    ) -> None:
        """Reports a failure to the caller; completes an announced one."""
        announced, self._announced = self._announced, None
        message = wire.encode_error(failure) if announced is None else announced
        self._send(message + wire.encode_ready(state))

    def announce(self, failure: errors.Failure) -> None:
        """Sends the ERROR that answers the next request, before it arrives.

        The READY that belongs to it is left for fail: a caller without a
        request closes its session when it receives the ERROR. Never waits.
        """
        message = wire.encode_error(failure)
        sent = 0
        with contextlib.suppress(OSError):
            # A timeout of the socket would apply in spite of MSG_DONTWAIT.
            if sockets.accepts_output(self._sock):
                sent = self._sock.send(message, socket.MSG_DONTWAIT)
        self._announced = message[sent:]

    def _send(self, data: bytes | memoryview) -> None:
        self._sock.settimeout(SEND_TIMEOUT_S)
        self._sending_since = clock.now()
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc
        self._sending_since = None

    def stop_receiving(self) -> None:
        """Shuts down the receiving side of the connection.

        Requests that have already arrived are still read and answered.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Startup:
    database: str
    key: str = dataclasses.field(repr=False)


def send_last(sock: socket.socket, failure: errors.Failure) -> None:
    """Tells a caller why its connection is closed, if that does not block."""
    with contextlib.suppress(OSError, ValueError):
        # A timeout of the socket would apply in spite of MSG_DONTWAIT.
        if sockets.accepts_output(sock):
            sock.send(wire.encode_error(failure), socket.MSG_DONTWAIT)


class CallerConnection:
    """A caller's connection from its acceptance on.

    stop, end, busy and report_cut may be called from any task; serve runs in
    the connection's own task.
    """

    def __init__(
        self,
        *,
        sock: socket.socket,
        number: int,
        process: platform_process.PlatformProcess,
        links: forward_client.Links,
        budget: byte_budget.Budget = byte_budget.UNLIMITED,
    ):
        self._sock = sock
        self._account = budget.open_account(self._abort)
        self._is_closing = False
        self._number = number
        self._process = process
        self._links = links
        self._accepted_at = clock.now()
        self._link: Conn | None = None
        # None until the start-up is complete.
        self._caller: platform_caller.Caller | None = None

    def serve(self) -> None:
        """Answers the caller until it disconnects."""
        with (
            self._sock,
            contextlib.closing(self._account),
            contextlib.suppress(ports.TransportError, TimeoutError, OSError),
        ):
            wire.set_socket_options(self._sock)
            self._sock.settimeout(STARTUP_TIMEOUT_S)
            reader = caller_reader.CallerReader(
                sock=self._sock, account=self._account
            )
            reader.message_timeout_s = STARTUP_TIMEOUT_S
            startup = self._read_startup(reader)
            if startup is None:
                return
            reader.message_timeout_s = caller_reader.MESSAGE_TIMEOUT_S
            self._link = Conn(
                sock=self._sock, reader=reader, account=self._account
            )
            self._caller = platform_caller.Caller(
                link=self._link,
                database=startup.database,
                key=startup.key,
                process=self._process,
                name=f"{self._process.name}/{self._number}",
                links=self._links,
            )
            self._sock.sendall(
                wire.encode_ready(statements.TransactionState.IDLE)
            )
            self._caller.serve()

    def _read_startup(self, reader: wire.LineReader) -> _Startup | None:
        """Returns the fields of a valid STARTUP, None after an error."""
        try:
            line = reader.read_line().decode(wire.ENCODING)
        except wire.ProtocolError as exc:
            return self._reject(errors.Malformed(problem=str(exc)))
        except byte_budget.ShortError:
            return self._reject(errors.MemoryShort(purpose="the message"))
        keyword, _, rest = line.partition(" ")
        database, _, key = rest.partition(" ")
        if keyword != "STARTUP" or not database:
            return self._reject(errors.Malformed(problem="first message"))
        if not self._process.shutdown.accepts(math.inf):
            return self._reject(errors.Stopping(proxy=self._process.name))
        table = self._process.table()
        route = table.routes.get(database)
        if route is None:
            return self._reject(errors.ServiceUnknown(service=database))
        if isinstance(access.check(table, route, key), access.Denied):
            self._process.timeline.add_frequent(
                request_events.KeyRefused(
                    session="",
                    database=database,
                    version=table.version,
                    in_transaction=False,
                )
            )
            return self._reject(errors.KeyDenied())
        return _Startup(database=database, key=key)

    def _reject(self, failure: errors.Failure) -> None:
        self._sock.sendall(wire.encode_error(failure))

    def stop(self) -> None:
        """Closes the connection as soon as no transaction is open.

        A new connection gets the time for its first statement.
        """
        if clock.now() - self._accepted_at < caller_closing.QUIET_S:
            return
        if self._caller is None:
            self.end()
        else:
            self._caller.stop()

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""
        if self._caller is None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)
        else:
            self._caller.end()

    def end_if_revoked(self) -> None:
        """Closes the connection if it is quiet and its key was revoked."""
        if self._caller is not None:
            self._caller.end_if_revoked()

    def _abort(self, phase: byte_budget.Phase) -> None:
        """Ends a stalled transfer, to free its memory."""
        if phase is byte_budget.Phase.RECEIVING:
            send_last(self._sock, errors.MemoryShort(purpose="the message"))
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def idle_since(self) -> tuple[connection_limit.Idleness, float] | None:
        """See connection_limit.Candidate."""
        if self._is_closing:
            return None
        if self._caller is None:
            return connection_limit.Idleness.STARTING, self._accepted_at
        since = self._caller.waiting_since()
        if since is not None:
            return connection_limit.Idleness.WAITING, since
        if self._link.is_sending_for(NOT_TAKING_S):
            idleness = connection_limit.Idleness.NOT_TAKING
            return idleness, self._accepted_at
        if self._link.is_pipelining() and not self._caller.in_transaction():
            return connection_limit.Idleness.PIPELINING, self._accepted_at
        return None

    def close_idle(self) -> None:
        """See connection_limit.Candidate."""
        self._is_closing = True
        if self._caller is None:
            self.end()
        elif self._link.is_sending_for(NOT_TAKING_S):
            self._abort(byte_budget.Phase.SENDING)
        else:
            self._link.closes_next = self._link.is_pipelining()
            self._caller.close_idle()

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""
        return self._caller is not None and self._caller.busy()

    def report_cut(self, cause: str) -> bool:
        """Logs the request that ends without an answer, if there is one."""
        return self._caller is not None and self._caller.report_cut(cause)


class Listener:
    """Accepts connections and serves each in a task of its own."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        process: platform_process.PlatformProcess,
        links: forward_client.Links,
    ):
        self._process = process
        self._links = links
        self._connection_numbers = itertools.count(1)
        self._sock = socket.create_server((host, port), backlog=ACCEPT_BACKLOG)
        self._limit = connection_limit.ConnectionLimit(
            limit=process.limits.callers,
            list_open=process.callers.list,
            count_open=process.callers.count,
            report=limit_events.reporter(
                process.timeline,
                "max_descriptors: callers",
                process.limits.callers,
            ),
        )

    def run(self) -> None:
        """Accepts connections until close is called."""
        acceptor.accept_until_closed(self._sock, self._spawn)

    def _spawn(self, sock: socket.socket) -> None:
        if not self._limit.make_room():
            failure = errors.ConnectionsShort(proxy=self._process.name)
            send_last(sock, failure)
            sock.close()
            return
        number = next(self._connection_numbers)
        key = f"caller {number}"
        connection = CallerConnection(
            sock=sock,
            number=number,
            process=self._process,
            links=self._links,
            budget=self._process.budget,
        )
        self._process.callers.add(key, connection)
        try:
            self._process.tasks.spawn(
                key, lambda: self._process.callers.serve(key)
            )
        except RuntimeError:
            self._process.callers.remove(key)
            raise

    def close(self) -> None:
        """Stops accepting connections; open ones continue.

        Connections that are complete already are still accepted.
        """
        if self._sock.fileno() < 0:
            return
        acceptor.accept_pending(self._sock, self._spawn)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
