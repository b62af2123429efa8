"""Fault injection for stand-in endpoints.

A cut behaves like a network partition under TCP: data sent during the cut
arrives after the cut ends, if the connection is still open then.
"""

import dataclasses
import threading

# Interval at which a blocked thread checks whether its fault has ended.
POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """Injected faults of an endpoint.

    Attributes:
        frozen: Whether the endpoint is paused, as a stopped process is.
        cut_in: Names of clients and endpoints whose messages are delayed
            until the cut ends; "*" stands for all.
        cut_out: Names of clients to which answers are delayed until the cut
            ends; "*" stands for all.
        lag_s: Delay between receiving and applying an entry on a replica, in
            seconds.
        lose_answers: Number of next write answers that are dropped together
            with the connection, after the write has taken effect.
        truncate_answers: Number of next write answers of which only the first
            half is sent before the connection closes.
        added_s: Time by which each read or write takes longer in its slot, in
            seconds; only on the platform path.
    """

    frozen: bool = False
    cut_in: frozenset[str] = frozenset()
    cut_out: frozenset[str] = frozenset()
    lag_s: float = 0.0
    lose_answers: int = 0
    truncate_answers: int = 0
    added_s: float = 0.0


def conditions_from_json(fields: dict) -> Conditions:
    """Returns conditions from the fields of their JSON object."""
    cuts = {
        key: frozenset(fields[key])
        for key in ("cut_in", "cut_out")
        if key in fields
    }
    return Conditions(**{**fields, **cuts})


class Faults:
    """The present conditions of an endpoint, shared by its threads.

    Attributes:
        closed: Set when the endpoint closes; ends every wait.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._current = Conditions()
        self.closed = threading.Event()

    @property
    def current(self) -> Conditions:
        """The present conditions."""
        return self._current

    def change(self, **fields) -> None:
        """Sets the given fields of the conditions."""
        with self._lock:
            self._current = dataclasses.replace(self._current, **fields)

    def wait_while_frozen(self) -> None:
        """Blocks while the endpoint is frozen."""
        while self._current.frozen and not self.closed.is_set():
            self.closed.wait(POLL_INTERVAL_S)

    def wait_for_inbound(self, name: str) -> None:
        """Blocks while the endpoint is frozen or messages from name are cut."""
        self.wait_while_frozen()
        while _is_cut(self._current.cut_in, name) and not self.closed.is_set():
            self.closed.wait(POLL_INTERVAL_S)

    def wait_for_outbound(self, name: str) -> None:
        """Blocks while the endpoint is frozen or answers to name are cut."""
        self.wait_while_frozen()
        while _is_cut(self._current.cut_out, name) and not self.closed.is_set():
            self.closed.wait(POLL_INTERVAL_S)

    def consume(self, field: str) -> bool:
        """Decrements a counted fault.

        Args:
            field: Name of the counter in Conditions.

        Returns:
            Whether the counter was positive, so that the fault applies.
        """
        with self._lock:
            remaining = getattr(self._current, field)
            if remaining <= 0:
                return False
            self._current = dataclasses.replace(
                self._current, **{field: remaining - 1}
            )
            return True


def _is_cut(names: frozenset[str], name: str) -> bool:
    return "*" in names or name in names
