"""A pooled connection to a PostgreSQL endpoint and its session state.

The pool assigns each connection to one caller at a time. The connection keeps
track of the prepared statements and session variables that exist on it, so
that the executor sets up only what is missing.
"""

import collections.abc
import socket
import threading
import time

from bronzehold.connection import client
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import data
from bronzehold.core import sockets

# The interval at which a wait for an answer checks whether to give up.
RECEIVE_TIMEOUT_S = 0.1
CANCEL_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 2.0
# A large request gets additional time, as if it were sent at this rate.
MIN_SEND_BYTES_PER_S = 1 << 20
DIAL_TIMEOUT_S = 2.0
# A connection with more prepared statements than this is not reused.
MAX_PREPARED_STATEMENTS = 500


class Backend:
    """A connection to an endpoint, used by one caller at a time.

    Attributes:
        endpoint: The endpoint that the connection leads to.
        conn: The protocol client of the connection.
        prepared: The names of the statements that are prepared on it.
        variables: The SET statements in effect on it, None if unknown.
        idle_since: The time of its last return to the pool, in seconds of
            time.monotonic().
    """

    def __init__(
        self,
        *,
        endpoint: data.Endpoint,
        conn: client.Client,
        limit_s: collections.abc.Callable[[float], float],
    ):
        """Initializes the connection.

        Args:
            endpoint: The endpoint that the connection leads to.
            conn: The protocol client of the connection.
            limit_s: Shortens a timeout in seconds to what a planned stop of
                the proxy allows.
        """
        self.endpoint = endpoint
        self.conn = conn
        self.prepared: set[bytes] = set()
        self.variables: tuple[str, ...] | None = ()
        self.idle_since = time.monotonic()
        self.owner = ""
        self._limit_s = limit_s
        self._cancel_lock = threading.Lock()
        self._active_caller = ""
        conn.sock.settimeout(RECEIVE_TIMEOUT_S)

    def usable(self) -> bool:
        """Returns whether the connection is open and has no unread data."""
        if (
            self.conn.reader.has_buffered()
            or len(self.prepared) > MAX_PREPARED_STATEMENTS
        ):
            return False
        try:
            return not sockets.has_input(self.conn.sock)
        except (OSError, ValueError):
            return False

    def send(self, out: bytes) -> None:
        """Sends a request.

        Raises:
            frames.ClosedError: The connection was lost.
            TimeoutError: The endpoint did not read the request in time.
        """
        timeout_s = SEND_TIMEOUT_S + len(out) / MIN_SEND_BYTES_PER_S
        self.conn.sock.settimeout(self._limit_s(timeout_s))
        try:
            frames.send(self.conn.sock, out)
        finally:
            self.conn.sock.settimeout(RECEIVE_TIMEOUT_S)

    def attach(self, caller: str) -> None:
        """Registers the caller whose statements run on this connection."""
        with self._cancel_lock:
            self._active_caller = caller

    def detach(self) -> None:
        """Unregisters the caller.

        Waits for a cancel request that is being sent, so that the request
        cannot cancel a statement of the next caller.
        """
        with self._cancel_lock:
            self._active_caller = ""

    def cancel(self, caller: str) -> None:
        """Cancels the caller's running statement on the endpoint.

        Does nothing if another caller or no caller uses the connection. A
        cancel request that cannot be delivered is dropped.
        """
        with self._cancel_lock:
            if self._active_caller != caller:
                return
            request = messages.cancel(self.conn.pid, self.conn.secret)
            try:
                _send_cancel(self.endpoint, request)
            except OSError:
                return

    def run_internal(self, sql: str) -> None:
        """Runs a statement on behalf of the proxy itself.

        Raises:
            client.ClientError: The statement failed or the connection was lost.
        """
        self.conn.sock.settimeout(self._limit_s(DIAL_TIMEOUT_S))
        try:
            self.conn.rows(sql)
        finally:
            self.conn.sock.settimeout(RECEIVE_TIMEOUT_S)

    def set_variables(self, set_statements: tuple[str, ...]) -> None:
        """Sets a session's variables and resets all others.

        Args:
            set_statements: The SET statements of the session's variables.

        Raises:
            client.ClientError: A statement failed, or the connection is lost.
        """
        if self.variables == set_statements:
            return
        self.variables = None
        self.run_internal("; ".join(("RESET ALL", *set_statements)))
        self.variables = set_statements

    def close(self) -> None:
        """Closes the connection, which rolls back an open transaction."""
        self.conn.close()


def _send_cancel(endpoint: data.Endpoint, request: bytes) -> None:
    address = (endpoint.host, endpoint.port)
    with socket.create_connection(address, CANCEL_TIMEOUT_S) as sock:
        sock.sendall(request)
        sock.recv(1)
