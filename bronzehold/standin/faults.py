"""The faults that a test can switch on at a stand-in endpoint.

A cut behaves as a lost network path does under TCP: what is sent during the
cut arrives after it has healed, if the connection is still there by then.
"""

import dataclasses
import threading

CHECK_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """The conditions that an endpoint is under.

    Attributes:
        frozen: The process does not run.
        cut_in: Names whose messages do not arrive; "*" stands for all.
        cut_out: Names that answers do not reach; "*" stands for all.
        lag_s: How long a replica holds entries before it applies them.
        lose_answers: How many of the next write answers are dropped, the
            connection with them, after the write has taken effect.
        truncate_answers: How many of the next answers end half-way.
    """

    frozen: bool = False
    cut_in: frozenset[str] = frozenset()
    cut_out: frozenset[str] = frozenset()
    lag_s: float = 0.0
    lose_answers: int = 0
    truncate_answers: int = 0


def conditions(fields: dict) -> Conditions:
    """Returns conditions from their JSON form."""
    cuts = {
        key: frozenset(fields[key])
        for key in ("cut_in", "cut_out")
        if key in fields
    }
    return Conditions(**{**fields, **cuts})


class Faults:
    """Holds the present conditions; all threads of the endpoint consult it."""

    def __init__(self):
        self._lock = threading.Lock()
        self._now = Conditions()
        self.closed = threading.Event()

    @property
    def now(self) -> Conditions:
        """The present conditions."""
        return self._now

    def change(self, **fields) -> None:
        """Replaces some of the conditions."""
        with self._lock:
            self._now = dataclasses.replace(self._now, **fields)

    def wait_thawed(self) -> None:
        """Blocks while the endpoint is frozen."""
        while self._now.frozen and not self.closed.is_set():
            self.closed.wait(CHECK_S)

    def wait_arrival(self, name: str) -> None:
        """Blocks while messages from a name do not arrive."""
        self.wait_thawed()
        while _cut(self._now.cut_in, name) and not self.closed.is_set():
            self.closed.wait(CHECK_S)

    def wait_departure(self, name: str) -> None:
        """Blocks while answers to a name do not leave."""
        self.wait_thawed()
        while _cut(self._now.cut_out, name) and not self.closed.is_set():
            self.closed.wait(CHECK_S)

    def take(self, field: str) -> bool:
        """Uses up one of a counted fault, if any is left."""
        with self._lock:
            left = getattr(self._now, field)
            if left <= 0:
                return False
            self._now = dataclasses.replace(self._now, **{field: left - 1})
            return True


def _cut(names: frozenset[str], name: str) -> bool:
    return "*" in names or name in names
