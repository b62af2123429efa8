"""Client connections to endpoints over the line protocol.

dial opens a connection and sends STARTUP; Conn implements ports.EndpointConn
with the messages of wire.py. The connection pool of the proxy calls both.
"""

import collections.abc
import socket
import time

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import sockets
from bronzehold.core import statements
from bronzehold.platform import wire

# Connecting to an endpoint in another region takes about three round trips.
DIAL_TIMEOUT_S = 0.4
# An endpoint that accepts no data for this long is treated as unreachable.
SEND_TIMEOUT_S = 1.0
# Name that endpoints are told where no workspace is involved.
CLIENT_NAME = "bronzehold"
# Interval at which a blocked read checks whether it has been cancelled.
CANCEL_CHECK_INTERVAL_S = 0.1


class Conn:
    """One connection to an endpoint; implements ports.EndpointConn.

    Attributes:
        values: Session values that are set on the connection.
        prepared: Names of the statements that are prepared on it.
        idle_since: Time of its last return to the pool, in seconds of
            time.monotonic().
        owner: The workspace that it was opened for, "" for none.
    """

    def __init__(
        self, *, sock: socket.socket, reader: wire.LineReader, owner: str = ""
    ):
        self._sock = sock
        self._reader = reader
        self._answers_to_discard = 0
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.idle_since = time.monotonic()
        self.owner = owner

    def send(
        self, commands: collections.abc.Sequence[statements.Command]
    ) -> None:
        """Sends commands; the endpoint answers them in order.

        Raises:
            ports.TransportError: The connection was lost.
        """
        data = b"".join(wire.encode_command(c) for c in commands)
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc

    def receive(
        self,
        deadline: float,
        is_cancelled: collections.abc.Callable[[], bool] | None = None,
    ) -> statements.Answer:
        """Waits for the next answer; see ports.EndpointConn."""

        def next_timeout_s() -> float:
            remaining_s = deadline - clock.now()
            if remaining_s <= 0 or (
                is_cancelled is not None and is_cancelled()
            ):
                raise ports.TransportError("no answer in time")
            return (
                remaining_s
                if is_cancelled is None
                else min(remaining_s, CANCEL_CHECK_INTERVAL_S)
            )

        try:
            while self._answers_to_discard:
                self._read_answer(next_timeout_s)
                self._answers_to_discard -= 1
            return self._read_answer(next_timeout_s)
        except wire.ProtocolError as exc:
            raise ports.TransportError(str(exc)) from exc

    def _read_answer(
        self, next_timeout_s: collections.abc.Callable[[], float]
    ) -> statements.Answer:
        return wire.read_answer(self._reader, next_timeout_s)

    def discard_next_answer(self) -> None:
        """Discards the answer to the last command when it arrives."""
        self._answers_to_discard += 1

    def status(
        self,
        deadline: float,
        command: statements.StatusCommand = statements.GET_STATUS,
    ) -> statements.Status:
        """Sends a command that the endpoint answers with its status.

        Raises:
            ports.RefusedStatusError: The endpoint answered with an error.
            ports.TransportError: The endpoint did not return its status.
        """
        self.send((command,))
        match self.receive(deadline):
            case statements.Completed(rows=(row, *_)):
                try:
                    return wire.parse_status(row)
                except wire.ProtocolError as exc:
                    raise ports.TransportError(str(exc)) from exc
            case statements.Refused(reason=reason):
                raise ports.RefusedStatusError(reason.value)
            case _:
                raise ports.TransportError("no status")

    def usable(self) -> bool:
        """Returns whether the connection is open and has no unread data."""
        try:
            while self._answers_to_discard and self._has_input():
                self.receive_discarded_answer()
            return not self._has_input()
        except (
            ports.TransportError,
            wire.ProtocolError,
            OSError,
            ValueError,
        ):
            return False

    def receive_discarded_answer(self) -> None:
        """Reads and discards one answer.

        Raises:
            ports.TransportError: The connection was lost, or the answer did
                not arrive within SEND_TIMEOUT_S.
            wire.ProtocolError: The endpoint violated the protocol.
        """
        deadline = clock.now() + SEND_TIMEOUT_S

        def next_timeout_s() -> float:
            remaining_s = deadline - clock.now()
            if remaining_s <= 0:
                raise ports.TransportError("no answer in time")
            return remaining_s

        self._read_answer(next_timeout_s)
        self._answers_to_discard -= 1

    def _has_input(self) -> bool:
        return self._reader.has_buffered_data() or sockets.has_input(self._sock)

    def detach(self) -> None:
        """Does nothing; the connection keeps no reference to its caller."""

    def close(self) -> None:
        """Closes the connection; the endpoint rolls back its transaction."""
        self._sock.close()


def dial(listing: routes.Listing, deadline: float, owner: str = "") -> Conn:
    """Opens a connection to an endpoint.

    Args:
        listing: The endpoint.
        deadline: The end of the attempt, in seconds of clock.now().
        owner: The workspace that the connection is for, "" for none.

    Raises:
        ports.DialError: The connection failed or the endpoint rejected it.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as exc:
        raise ports.DialError(str(exc), ports.DialFailure.LOCAL) from exc
    try:
        return _open_session(sock, listing, deadline, owner)
    except ports.DialError:
        sock.close()
        raise
    except (ConnectionRefusedError, ConnectionResetError) as exc:
        sock.close()
        raise ports.DialError(
            str(exc), ports.DialFailure.CONNECTION_REFUSED
        ) from exc
    except (
        OSError,
        ValueError,
        wire.ProtocolError,
        ports.TransportError,
    ) as exc:
        # A ValueError is a service or id that the protocol cannot carry.
        sock.close()
        raise ports.DialError(str(exc)) from exc


def _dial_timeout_s(deadline: float) -> float:
    """Returns the timeout of one step of a dial.

    Raises:
        ports.DialError: There is no time left.
    """
    remaining_s = deadline - clock.now()
    if remaining_s <= 0:
        raise ports.DialError("no time left", ports.DialFailure.LOCAL)
    return min(remaining_s, DIAL_TIMEOUT_S)


def _open_session(
    sock: socket.socket, listing: routes.Listing, deadline: float, owner: str
) -> Conn:
    wire.set_socket_options(sock)
    reader = wire.LineReader(sock=sock)
    try:
        sock.settimeout(_dial_timeout_s(deadline))
        sock.connect((listing.host, listing.port))
        sock.sendall(
            wire.encode_startup(
                listing.service, owner or CLIENT_NAME, listing.id
            )
        )
        sock.settimeout(_dial_timeout_s(deadline))
        answer = wire.read_startup_answer(reader)
    except TimeoutError as exc:
        if clock.now() < deadline:
            raise
        raise ports.DialError(str(exc), ports.DialFailure.LOCAL) from exc
    match answer:
        case statements.Refused(reason=statements.RefusalReason.WRONG_ENDPOINT):
            failure = ports.DialFailure.WRONG_ENDPOINT
        case statements.Refused():
            failure = ports.DialFailure.TOO_MANY_CONNECTIONS
        case _:
            return Conn(sock=sock, reader=reader, owner=owner)
    raise ports.DialError(failure.value, failure)
