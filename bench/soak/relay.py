"""A loopback relay that delays, silences or resets the connections through it.

It stands between a proxy and what the proxy talks to, so that faults strike
from outside of both.
"""

import collections.abc
import contextlib
import dataclasses
import random
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
CHECK_S = 0.01
CONNECT_S = 1.0
BACKLOG = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """What happens to bytes on their way.

    Attributes:
        delay_s: How long each piece is held.
        in_silent: Whether nothing gets to the far side.
        out_silent: Whether nothing comes back.
        share: The part of the connections that this strikes.
    """

    delay_s: float = 0.0
    in_silent: bool = False
    out_silent: bool = False
    share: float = 1.0


CALM = Conditions()


class Relay:
    """Forwards connections to one address."""

    def __init__(self, *, target: collections.abc.Callable[[], str], seed: int):
        self._target = target
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._open: dict[socket.socket, float] = {}
        self.now = CALM
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def reset(self, share: float) -> None:
        """Resets a part of the connections."""
        with self._lock:
            struck = [s for s, luck in self._open.items() if luck < share]
        for sock in struck:
            _reset(sock)

    def close(self) -> None:
        """Stops listening and ends all connections."""
        self._listener.close()
        self.reset(1.0)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near: socket.socket) -> None:
        host, _, port = self._target().rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), CONNECT_S)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        with self._lock:
            luck = self._random.random()
            self._open[near] = self._open[far] = luck
        back = threading.Thread(
            target=self._pump, args=(far, near, luck, False), daemon=True
        )
        back.start()
        self._pump(near, far, luck, True)
        back.join()
        with self._lock:
            del self._open[near], self._open[far]
        near.close()
        far.close()

    def _pump(
        self,
        src: socket.socket,
        dst: socket.socket,
        luck: float,
        inwards: bool,  # noqa: FBT001
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := src.recv(CHUNK_BYTES):
                self._hold(luck, inwards=inwards)
                dst.sendall(chunk)
            dst.shutdown(socket.SHUT_WR)
            return
        _reset(dst)

    def _hold(self, luck: float, *, inwards: bool) -> None:
        now = self.now
        if luck < now.share and now.delay_s:
            time.sleep(now.delay_s)
        while self._is_silent(luck, inwards=inwards):
            time.sleep(CHECK_S)

    def _is_silent(self, luck: float, *, inwards: bool) -> bool:
        now = self.now
        silent = now.in_silent if inwards else now.out_silent
        return silent and luck < now.share


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
