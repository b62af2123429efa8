"""TCP server of one stand-in endpoint.

It accepts client and replication connections, runs each in a thread as a
session, and enforces the connection limit.
"""

import contextlib
import itertools
import socket
import threading

from bronzehold.connection import control
from bronzehold.connection import frames
from bronzehold.connection import handshake
from bronzehold.connection import messages
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import output
from bronzehold.standin import session as session_lib

LISTEN_BACKLOG = 256


class Server:
    """The server of one stand-in endpoint.

    Attributes:
        endpoint: The endpoint that it serves.
    """

    def __init__(self, *, settings: endpoint_lib.EndpointSettings):
        self.endpoint = endpoint_lib.Endpoint(settings=settings)
        self._listener = None
        self._pids = itertools.count(1)
        self._lock = threading.Lock()
        self._sessions: dict[int, session_lib.Session] = {}
        self._sockets: dict[int, socket.socket] = {}

    def start(self) -> None:
        """Starts replication and listens for connections."""
        self.endpoint.start()
        self.listen()

    def listen(self) -> None:
        """Opens the port and starts to accept connections."""
        address = self.endpoint.settings.address
        self._listener = socket.create_server(
            (address.host, address.port), backlog=LISTEN_BACKLOG
        )
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def kill(self) -> None:
        """Closes the port and every connection, as if the process died."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        with self._lock:
            socks = list(self._sockets.values())
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def drop_connections(self, name: str) -> None:
        """Closes the connections of one client, as a network failure would.

        Args:
            name: The application_name of the client.
        """
        with self._lock:
            socks = [
                self._sockets[pid]
                for pid, session in self._sessions.items()
                if session.name == name
            ]
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the server and the endpoint."""
        self.kill()
        self.endpoint.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            pid = next(self._pids)
            with self._lock:
                self._sockets[pid] = sock
            threading.Thread(
                target=self._serve, args=(sock, pid), daemon=True
            ).start()

    def _serve(self, sock: socket.socket, pid: int) -> None:
        ep = self.endpoint
        reader = frames.Reader(sock=sock)
        session = session_lib.Session(
            endpoint=self.endpoint, sock=sock, reader=reader, pid=pid
        )
        uses_connection_slot = False
        try:
            frames.set_socket_options(sock)
            self.endpoint.faults.wait_while_frozen()
            body = handshake.read_startup_packet(sock, reader)
            if messages.startup_code(body) == messages.CANCEL_REQUEST:
                self._cancel(*messages.parse_cancel(body))
                return
            params = messages.parse_startup(body)
            self.endpoint.faults.wait_for_inbound(
                params.get("application_name", "")
            )
            # Replication connections do not count against the limit.
            is_replica = params.get("application_name") in ep.settings.peers
            uses_connection_slot = not is_replica and self._admit(sock)
            if not (uses_connection_slot or is_replica):
                return
            with self._lock:
                self._sessions[pid] = session
            session.open(params)
            session.serve()
        except (
            frames.ClosedError,
            frames.FramingError,
            output.LostAnswerError,
            OSError,
        ):
            pass
        finally:
            with self._lock:
                self._sessions.pop(pid, None)
                self._sockets.pop(pid, None)
            session.close()
            if uses_connection_slot:
                with self.endpoint.lock:
                    self.endpoint.connections -= 1

    def _admit(self, sock: socket.socket) -> bool:
        ep = self.endpoint
        with ep.lock:
            if ep.connections < ep.settings.connections:
                ep.connections += 1
                ep.peak_connections = max(ep.peak_connections, ep.connections)
                return True
        refusal = messages.error(
            control.TOO_MANY_SQLSTATE, "too many connections", fatal=True
        )
        frames.send(sock, refusal)
        return False

    def _cancel(self, pid: int, secret: int) -> None:
        with self._lock:
            session = self._sessions.get(pid)
        if session is not None and session.secret == secret:
            session.cancel()
