"""HTTP servers for small requests, with limits on what clients may hold.

A request has a maximum size, and a new connection takes the place of the oldest
one when there are too many.
"""

import collections
import contextlib
import http.server
import socket
import threading
import typing

from bronzehold.process import resource_limits

# Requests of load balancers and of metrics collectors have some hundred bytes.
MAX_REQUEST_BYTES = 16 * 1024
# Connections that wait to be accepted.
BACKLOG = 128


class _RequestFile:
    """The received bytes of a connection, limited for each request."""

    def __init__(self, *, file: typing.BinaryIO):
        self._file = file
        self._remaining = MAX_REQUEST_BYTES

    def begin_request(self) -> None:
        """Restores the limit for the next request."""
        self._remaining = MAX_REQUEST_BYTES

    def readline(self, size: int) -> bytes:
        """Reads a line; raises TimeoutError beyond the limit.

        http.server closes the connection without an answer on TimeoutError.
        """
        if self._remaining <= 0:
            raise TimeoutError(f"a request of over {MAX_REQUEST_BYTES} bytes")
        line = self._file.readline(min(size, self._remaining))
        self._remaining -= len(line)
        return line

    def close(self) -> None:
        """Closes the file."""
        self._file.close()

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self._file.closed


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the handlers; the attribute `timeout` is the idle timeout."""

    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        """Prepares the connection."""
        super().setup()
        self.rfile = _RequestFile(file=self.rfile)

    def handle_one_request(self) -> None:
        """Reads and answers one request."""
        self.rfile.begin_request()
        with contextlib.suppress(ConnectionError):
            super().handle_one_request()
            return
        self.close_connection = True

    def log_message(self, *_args) -> None:
        """Logs nothing."""


class Server(http.server.ThreadingHTTPServer):
    """A server with a limited number of connections."""

    daemon_threads = True
    request_queue_size = BACKLOG

    def __init__(self, address: tuple[str, int], handler: type[Handler]):
        self._open: collections.OrderedDict[int, socket.socket] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()
        super().__init__(address, handler)

    def process_request(self, request, client_address) -> None:
        """Serves a new connection; closes the oldest one if need be."""
        with self._lock:
            while len(self._open) >= resource_limits.MAX_HTTP_CONNECTIONS:
                _, oldest = self._open.popitem(last=False)
                with contextlib.suppress(OSError):
                    oldest.shutdown(socket.SHUT_RDWR)
            self._open[id(request)] = request
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        """Closes a connection."""
        with self._lock:
            self._open.pop(id(request), None)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Reports nothing: clients that disconnect are no faults."""
