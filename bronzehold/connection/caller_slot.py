"""The place of one caller's connection in a process of the PostgreSQL path."""

import contextlib
import socket

from bronzehold.connection import caller as caller_lib
from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.process import byte_budget
from bronzehold.process import connection_limit


class CallerSlot:
    """A connection from its acceptance on; implements Candidate.

    Attributes:
        account: The memory that the connection holds.
        caller: The caller, None until the start-up is complete.
    """

    def __init__(
        self, *, sock: socket.socket, budget: byte_budget.Budget, proxy: str
    ):
        self.account = budget.open_account(self._abort)
        self.caller: caller_lib.Caller | None = None
        self._sock = sock
        self._accepted_at = clock.now()
        self._proxy = proxy
        self._is_closing = False

    def idle_since(self) -> tuple[connection_limit.Idleness, float] | None:
        """See connection_limit.Candidate."""
        if self._is_closing:
            return None
        if self.caller is None:
            return connection_limit.Idleness.STARTING, self._accepted_at
        return self.caller.idle_since()

    def close_idle(self) -> None:
        """See connection_limit.Candidate."""
        self._is_closing = True
        failure = errors.ConnectionsShort(proxy=self._proxy)
        if self.caller is not None:
            self.caller.close_idle(failure)
        else:
            end(self._sock, failure)

    def _abort(self, phase: byte_budget.Phase) -> None:
        """Ends a stalled transfer, to free its memory."""
        if phase is byte_budget.Phase.RECEIVING:
            end(self._sock, errors.MemoryShort(purpose="the message"))
        else:
            end(self._sock, None)


def end(sock: socket.socket, failure: errors.Failure | None) -> None:
    """Ends a connection without waiting.

    Args:
        sock: The connection.
        failure: What the caller is told, None for nothing.
    """
    if failure is not None:
        frames.send_last(sock, messages.failure(failure, fatal=True))
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
