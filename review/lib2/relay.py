"""A TCP relay that can go silent, as a network path that is cut."""

import contextlib
import socket
import threading


class Relay:
    """Passes connections on to an address, until it is silenced.

    While it is silent, nothing passes in either direction. Connections that
    were open or were opened meanwhile stay silent afterwards; new ones work.

    Attributes:
        address: Host and port on which it listens.
    """

    def __init__(self, *, target: str):
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._is_silent = False
        # Connections that work.
        self._working: set[tuple[socket.socket, socket.socket | None]] = set()
        self._kept: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Lets nothing pass."""
        with self._lock:
            self._is_silent = True
            self._working.clear()

    def restore(self) -> None:
        """Lets new connections pass."""
        with self._lock:
            self._is_silent = False

    def close(self) -> None:
        """Closes the port and all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._kept:
            with contextlib.suppress(OSError):
                sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._kept.append(sock)
                if self._is_silent:
                    continue
            try:
                far = socket.create_connection(self._target, 2)
            except OSError:
                sock.close()
                continue
            far.settimeout(None)
            pair = (sock, far)
            with self._lock:
                self._kept.append(far)
                self._working.add(pair)
            for source, sink in ((sock, far), (far, sock)):
                threading.Thread(
                    target=self._pump, args=(pair, source, sink), daemon=True
                ).start()

    def _pump(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(65536):
                with self._lock:
                    if pair not in self._working:
                        return
                sink.sendall(chunk)
            with self._lock:
                if pair not in self._working:
                    return
            sink.shutdown(socket.SHUT_WR)
