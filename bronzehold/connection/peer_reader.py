"""Receives the messages of other proxies within a limit on memory."""

import socket

from bronzehold.connection import forward_codec as codec
from bronzehold.process import byte_budget

# A message is received, copied and decoded.
COPIES = 3


class PeerReader(codec.Reader):
    """Reads messages from the socket of another proxy."""

    def __init__(self, *, sock: socket.socket, account: byte_budget.Account):
        super().__init__(sock=sock)
        self._account = account

    def read(self) -> bytes:
        """Returns the body of the next message; see codec.Reader.read.

        Raises:
            byte_budget.ShortError: There was no memory for it in time.
        """
        # The previous message has been answered.
        self._account.hold(len(self._buf), byte_budget.Phase.RECEIVING)
        body = super().read()
        self._account.hold(
            COPIES * len(body) + len(self._buf), byte_budget.Phase.RUNNING
        )
        if self._account.is_aborted:
            raise byte_budget.ShortError
        return body

    def _fill_to(self, count: int) -> None:
        if count > byte_budget.FREE_BYTES:
            if COPIES * count > self._account.total():
                raise codec.CodecError("a message beyond the memory for it")
            self._account.reserve(COPIES * count, COPIES * count)
        super()._fill_to(count)

    def _fill(self) -> None:
        super()._fill()
        self._account.record_progress()
