"""Accepts connections of callers that speak the line protocol.

Listener runs each connection in a task of its own; Conn implements
ports.CallerConn with the messages of wire.py. The session itself is
connection/platform_caller.py.
"""

import contextlib
import itertools
import socket

from bronzehold.connection import acceptor
from bronzehold.connection import forward_client
from bronzehold.connection import platform_caller
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.platform import wire
from bronzehold.process import platform_process

ACCEPT_BACKLOG = 1024
# Callers give up on the answer to STARTUP after 2 s, so their STARTUP message
# arrives well within this timeout.
STARTUP_TIMEOUT_S = 5.0
# A caller that accepts no data for this long is treated as disconnected.
SEND_TIMEOUT_S = 10.0


class Conn:
    """One caller's connection; implements ports.CallerConn."""

    def __init__(self, *, sock: socket.socket, reader: wire.LineReader):
        self._sock = sock
        self._reader = reader

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
        self._sock.settimeout(wait_s)
        try:
            line = self._reader.read_line()
        except ports.TransportError:
            return None
        except wire.ProtocolError as exc:
            self._reject(str(exc))
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
        self._send(body + wire.encode_ready(state))

    def acknowledge(self, state: statements.TransactionState) -> None:
        """Reports the success of a statement that the proxy itself handled."""
        self._send(wire.COMPLETE_MESSAGE + wire.encode_ready(state))

    def fail(
        self, failure: errors.Failure, state: statements.TransactionState
    ) -> None:
        """Reports a failure to the caller."""
        self._send(wire.encode_error(failure) + wire.encode_ready(state))

    def _send(self, data: bytes) -> None:
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc

    def stop_receiving(self) -> None:
        """Shuts down the receiving side of the connection.

        Requests that have already arrived are still read and answered.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)


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

    def run(self) -> None:
        """Accepts connections until close is called."""
        acceptor.accept_until_closed(self._sock, self._spawn)

    def _spawn(self, sock: socket.socket) -> None:
        number = next(self._connection_numbers)
        self._process.tasks.spawn(
            f"caller {number}", lambda: self._serve_connection(sock, number)
        )

    def close(self) -> None:
        """Stops accepting connections; open ones continue."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _serve_connection(self, sock: socket.socket, number: int) -> None:
        with (
            sock,
            contextlib.suppress(ports.TransportError, TimeoutError, OSError),
        ):
            wire.set_socket_options(sock)
            sock.settimeout(STARTUP_TIMEOUT_S)
            reader = wire.LineReader(sock=sock)
            database = self._read_startup(sock, reader)
            if database is None:
                return
            conn = Conn(sock=sock, reader=reader)
            caller = platform_caller.Caller(
                link=conn,
                database=database,
                process=self._process,
                name=f"{self._process.name}/{number}",
                links=self._links,
            )
            self._process.serve(number, caller)

    def _read_startup(
        self, sock: socket.socket, reader: wire.LineReader
    ) -> str | None:
        try:
            keyword, _, rest = (
                reader.read_line().decode(wire.ENCODING).partition(" ")
            )
        except wire.ProtocolError as exc:
            sock.sendall(wire.encode_error(errors.Malformed(problem=str(exc))))
            return None
        database = rest.partition(" ")[0]
        if keyword != "STARTUP" or not database:
            sock.sendall(
                wire.encode_error(errors.Malformed(problem="first message"))
            )
            return None
        if self._process.find_route(database) is None:
            failure = errors.ServiceUnknown(service=database)
            sock.sendall(wire.encode_error(failure))
            return None
        sock.sendall(wire.encode_ready(statements.TransactionState.IDLE))
        return database
