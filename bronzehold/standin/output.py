"""The answers of a session on their way to the client.

Answers are buffered and sent together. Latency and injected faults apply when
the buffer is sent.
"""

import socket
import time

from bronzehold.connection import frames
from bronzehold.standin import faults

# Buffered output of at least this size is sent before the end of the batch.
FLUSH_BYTES = 65536


class LostAnswerError(Exception):
    """An injected fault closes the connection before the whole answer."""


class Output:
    """The buffered answers of one session.

    Attributes:
        client_name: The application_name of the client, which faults refer to.
        one_way_latency_s: Delay of each send in seconds.
    """

    def __init__(self, *, sock: socket.socket, endpoint_faults: faults.Faults):
        self._sock = sock
        self._faults = endpoint_faults
        self._buffer = bytearray()
        self._has_committed_write = False
        self.client_name = ""
        self.one_way_latency_s = 0.0

    def send(self, message: bytes) -> None:
        """Appends a message, and sends the buffer if it has become large.

        The answer of a committed write is kept until the end of its batch, so
        that a fault can lose all of it.
        """
        self._buffer += message
        if len(self._buffer) >= FLUSH_BYTES and not self._has_committed_write:
            self.flush()

    def send_commit(self, message: bytes) -> None:
        """Appends a message that tells that a write was committed."""
        self._has_committed_write = True
        self.send(message)

    def flush(self) -> None:
        """Sends the buffer.

        Raises:
            LostAnswerError: A fault dropped or cut the answer of a write.
        """
        if not self._buffer:
            return
        time.sleep(self.one_way_latency_s)
        self._faults.wait_for_outbound(self.client_name)
        out = bytes(self._buffer)
        self._buffer.clear()
        wrote, self._has_committed_write = self._has_committed_write, False
        if wrote and self._faults.consume("lose_answers"):
            raise LostAnswerError
        if wrote and self._faults.consume("truncate_answers"):
            frames.send(self._sock, out[: len(out) // 2])
            raise LostAnswerError
        frames.send(self._sock, out)
