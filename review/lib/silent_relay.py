"""A TCP relay whose open connections can go silent, while new ones work."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536
BACKLOG = 256


class SilentRelay:
    """Forwards the connections of one proxy to one address."""

    def __init__(self, target: str):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._silent: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address on which the relay listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def silence(self) -> int:
        """Drops all that the open connections carry from now on.

        Neither side sees an end of them.

        Returns:
            The number of connections.
        """
        with self._lock:
            self._silent |= self._open
            return len(self._open) // 2

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target)
            except OSError:
                near.close()
                continue
            with self._lock:
                self._open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                with self._lock:
                    if source in self._silent:
                        continue
                sink.sendall(chunk)
        with self._lock:
            is_silent = source in self._silent
            self._open.discard(source)
        if not is_silent:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
