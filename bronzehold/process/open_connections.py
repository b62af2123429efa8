"""The open connections of one kind, from their acceptance on.

A planned stop waits for the connections in this list, so a connection is added
before its task starts.
"""

import threading
import typing


class Connection(typing.Protocol):
    """A connection on which this process answers requests."""

    def serve(self) -> None:
        """Answers requests until the other side disconnects."""

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""

    def report_cut(self, cause: str) -> bool:
        """Logs the request that ends without an answer, if there is one."""


class CallerConnection(Connection, typing.Protocol):
    """A connection of a caller."""

    def stop(self) -> None:
        """Closes the connection as soon as no transaction is open."""

    def end_if_revoked(self) -> None:
        """Closes the connection if it is quiet and its key was revoked."""


AnyConnection = typing.TypeVar("AnyConnection", bound=Connection)


class OpenConnections(typing.Generic[AnyConnection]):
    """Connections by a key that is unique in the process; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._connections: dict[str, AnyConnection] = {}

    def add(self, key: str, connection: AnyConnection) -> None:
        """Adds a connection that has been accepted."""
        with self._lock:
            self._connections[key] = connection

    def serve(self, key: str) -> None:
        """Serves an added connection and then removes it."""
        try:
            self._connections[key].serve()
        finally:
            self.remove(key)

    def remove(self, key: str) -> None:
        """Removes a connection that has ended."""
        with self._lock:
            del self._connections[key]

    def list(self) -> list[AnyConnection]:
        """Returns all connections."""
        with self._lock:
            return list(self._connections.values())

    def count(self) -> int:
        """Returns the number of connections."""
        return len(self._connections)

    def count_busy(self) -> int:
        """Returns the number of connections with work in progress."""
        return sum(connection.busy() for connection in self.list())
