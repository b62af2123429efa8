"""The limit on connections of one kind, which keeps descriptors for others.

When it is reached, a new connection takes the place of one that has not
finished its start-up or takes no answer, or else of the one that has been idle
for longest, or else of one that sends requests without awaiting the answers.
Other busy connections and open transactions are never closed.
"""

import collections.abc
import enum
import time
import typing

from bronzehold.core import clock

# A connection that is younger than this is still about to send its first
# message, and one that was used this lately is in use.
MIN_IDLE_S = 1.0
# At the limit, this part of the connections is closed at once, so that a wave
# of new ones does not look at all connections each time.
CLOSED_PART = 1 / 64
# Maximum wait until a closed connection has gone.
CLOSE_TIMEOUT_S = 0.5
CLOSE_POLL_S = 0.005


class Idleness(enum.IntEnum):
    """What an idle connection waits for, in the order of closing.

    Attributes:
        STARTING: The end of the start-up.
        NOT_TAKING: That the other side takes an answer.
        WAITING: The next request, outside of a transaction.
        PIPELINING: The answer to a request, with others waiting behind it,
            outside of a transaction.
    """

    STARTING = 0
    NOT_TAKING = 1
    WAITING = 2
    PIPELINING = 3


class Candidate(typing.Protocol):
    """A connection that may be closed."""

    def idle_since(self) -> tuple[Idleness, float] | None:
        """Returns what the connection waits for, and since when.

        The time is in seconds of clock.now(). None if a request or a
        transaction is in progress, or if the connection is being closed.
        """

    def close_idle(self) -> None:
        """Closes the connection; what has arrived is still answered."""


class ConnectionLimit:
    """Makes room for new connections; used by the accepting task only."""

    def __init__(
        self,
        *,
        limit: int,
        list_open: collections.abc.Callable[
            [], collections.abc.Collection[Candidate]
        ],
        count_open: collections.abc.Callable[[], int],
        report: collections.abc.Callable[[str, int, int], None],
    ):
        """Creates a limit.

        Args:
            limit: Maximum number of connections.
            list_open: Returns the open connections.
            count_open: Returns their number.
            report: Called with what was done, the number of connections that
                it was done to, and the number of open ones.
        """
        self._limit = limit
        self._list_open = list_open
        self._count_open = count_open
        self._report = report

    def make_room(self) -> bool:
        """Returns whether there is room for a connection, after closing others.

        Waits a moment for the closed ones.
        """
        count = self._count_open()
        if count < self._limit:
            return True
        chosen = choose_idle(
            list(self._list_open()),
            max(1, int(self._limit * CLOSED_PART)),
            clock.now(),
        )
        for connection in chosen:
            connection.close_idle()
        if chosen:
            self._report("closed", len(chosen), count)
        deadline = clock.now() + CLOSE_TIMEOUT_S
        while self._count_open() >= self._limit:
            if not chosen or clock.now() > deadline:
                self._report("refused", 1, count)
                return False
            time.sleep(CLOSE_POLL_S)
        return True


def choose_idle(
    connections: collections.abc.Iterable[Candidate], count: int, now: float
) -> list[Candidate]:
    """Returns the connections to close, at most a given number.

    They are chosen in the order of Idleness, and then from the longest idle
    one. If none has been idle for MIN_IDLE_S, the first one is chosen.

    Args:
        connections: All open connections.
        count: Maximum number of connections to choose.
        now: The time, in seconds of clock.now().
    """
    order = []
    for connection in connections:
        idle = connection.idle_since()
        if idle is not None:
            idleness, since = idle
            is_young = now - since < MIN_IDLE_S
            order.append((is_young, idleness, since, connection))
    order.sort(key=lambda entry: entry[:3])
    chosen = [
        connection
        for is_young, _, _, connection in order[:count]
        if not is_young
    ]
    return chosen or [entry[3] for entry in order[:1]]
