"""Minimal blocking client of the PostgreSQL protocol.

The proxy uses it for its endpoint connections and for control calls to
endpoints.
"""

import contextlib
import socket

import scramp

from bronzehold.connection import frames
from bronzehold.connection import messages

CONTROL_USER = "bronzehold"


class ClientError(Exception):
    """The connection could not be opened or was lost."""


class RefusedError(ClientError):
    """The connection was refused: nothing listens at the address."""


class ServerError(ClientError):
    """The server answered with an error.

    Attributes:
        sqlstate: The SQLSTATE of the error.
    """

    def __init__(self, fields: dict[str, str]):
        super().__init__(fields.get("M", ""))
        self.sqlstate = fields.get("C", "")


class Client:
    """An open connection that is ready for queries.

    Attributes:
        parameters: The parameter values last reported by the server.
        pid: The server's process id of the connection, for cancel requests.
        secret: The secret of the connection, for cancel requests.
        sock: The socket.
        reader: The reader of the messages that arrive on the socket.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        database: str,
        name: str,
        zone: str = "",
        region: str = "",
        user: str = CONTROL_USER,
        password: str = "",
        timeout: float | None = None,
    ):
        self.parameters: dict[str, str] = {}
        self.pid = 0
        self.secret = 0
        self._password = password
        try:
            self.sock = socket.create_connection((host, port), timeout)
            frames.set_socket_options(self.sock)
            self.reader = frames.Reader(sock=self.sock)
        except ConnectionRefusedError as exc:
            raise RefusedError(str(exc)) from exc
        except OSError as exc:
            raise ClientError(str(exc)) from exc
        try:
            self._start(user, database, name, zone, region)
        except ClientError:
            self.close()
            raise
        except (frames.ClosedError, frames.FramingError, OSError) as exc:
            self.close()
            raise ClientError(str(exc)) from exc

    def _start(
        self, user: str, database: str, name: str, zone: str, region: str
    ) -> None:
        params = {"user": user, "database": database, "application_name": name}
        if zone:
            params["bronzehold.zone"] = zone
            params["bronzehold.region"] = region
        frames.send(self.sock, messages.startup(params))
        scram = None
        while True:
            frame = self.reader.read_frame()
            match frame.kind:
                case b"R":
                    scram = self._authenticate(frame, user, scram)
                case b"K":
                    key = messages.parse_key_data(frame.body)
                    self.pid, self.secret = key
                case b"S":
                    key, value = messages.parse_parameter(frame.body)
                    self.parameters[key] = value
                case b"E":
                    raise ServerError(messages.parse_error(frame.body))
                case b"Z":
                    return

    def _authenticate(
        self,
        frame: frames.Frame,
        user: str,
        scram: scramp.ScramClient | None,
    ) -> scramp.ScramClient | None:
        code, data = messages.parse_auth(frame.body)
        match code:
            case messages.AUTH_OK:
                return None
            case messages.AUTH_SASL:
                scram = scramp.ScramClient(
                    ["SCRAM-SHA-256"], user, self._password
                )
                first = scram.get_client_first().encode()
                reply = messages.sasl_initial("SCRAM-SHA-256", first)
                frames.send(self.sock, reply)
                return scram
            case messages.AUTH_SASL_CONTINUE if scram:
                scram.set_server_first(data.decode())
                final = scram.get_client_final().encode()
                frames.send(self.sock, frames.make(b"p", final))
                return scram
            case messages.AUTH_SASL_FINAL if scram:
                scram.set_server_final(data.decode())
                return scram
            case _:
                raise ClientError(f"unsupported authentication method {code}")

    def rows(self, sql: str) -> list[list[bytes | None]]:
        """Runs a simple query and returns the rows of its last result.

        Raises:
            ServerError: The server answered with an error.
            ClientError: The connection was lost.
        """
        try:
            frames.send(self.sock, messages.query(sql))
            return self._read_rows()
        except (frames.ClosedError, frames.FramingError, OSError) as exc:
            raise ClientError(str(exc)) from exc

    def _read_rows(self) -> list[list[bytes | None]]:
        rows: list[list[bytes | None]] = []
        error = None
        while True:
            frame = self.reader.read_frame()
            match frame.kind:
                case b"T":
                    rows = []
                case b"D":
                    rows.append(parse_row(frame.body))
                case b"S":
                    key, value = messages.parse_parameter(frame.body)
                    self.parameters[key] = value
                case b"E":
                    error = ServerError(messages.parse_error(frame.body))
                case b"Z":
                    if error:
                        raise error
                    return rows

    def value(self, sql: str) -> str:
        """Runs a query and returns its first value as text, "" for NULL."""
        return (self.rows(sql)[0][0] or b"").decode()

    def shut_down(self) -> None:
        """Shuts the socket down, which wakes a thread that waits on it."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()


def parse_row(body: bytes) -> list[bytes | None]:
    """Returns the values of a DataRow, None for NULL."""
    count = int.from_bytes(body[:2], "big")
    values: list[bytes | None] = []
    offset = 2
    for _ in range(count):
        length = int.from_bytes(body[offset : offset + 4], "big", signed=True)
        offset += 4
        if length < 0:
            values.append(None)
            continue
        values.append(body[offset : offset + length])
        offset += length
    return values
