"""Lanes: how much long work may run on an endpoint, over all proxies.

For each group one proxy hands the lanes out, the first by rendezvous hashing
of those that are alive. On every endpoint one slot at least stays free of long
work, and long work gathers where there is long work already. A lane that is
not given back is free again when its hold is over; when the proxy that hands
them out changes, its successor starts with all lanes free.
"""

import dataclasses
import threading
import time

from bronzehold.core import data

MAX_HOLD_S = 120.0
UNBOUNDED = 1 << 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class Wanted:
    """A request for a lane.

    Attributes:
        request: Names it, to give the lane back.
        endpoints: Where the work may run, best first, with their lanes.
        hold_s: When the lane is free again by itself.
    """

    request: str
    endpoints: tuple[tuple[str, int], ...]
    hold_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Held:
    endpoint: str
    until: float


def lanes_of(ep: data.Endpoint) -> int:
    """Returns how much long work may run on an endpoint at once."""
    return max(1, ep.slots - 1)


class Lanes:
    """The lanes of the groups that this proxy hands out."""

    def __init__(self):
        self._lock = threading.Lock()
        self._held: dict[str, dict[str, _Held]] = {}

    def take(self, group: str, wanted: Wanted) -> str:
        """Returns the endpoint of a free lane, "" when none is free."""
        now = time.monotonic()
        hold_s = min(wanted.hold_s, MAX_HOLD_S)
        with self._lock:
            held = {
                request: lane
                for request, lane in self._held.get(group, {}).items()
                if lane.until > now
            }
            self._held[group] = held
            endpoint = _choose(held, wanted)
            if endpoint:
                held[wanted.request] = _Held(
                    endpoint=endpoint, until=now + hold_s
                )
            return endpoint

    def give(self, group: str, request: str) -> None:
        """Takes a lane back."""
        with self._lock:
            self._held.get(group, {}).pop(request, None)


def _choose(held: dict[str, _Held], wanted: Wanted) -> str:
    if wanted.request in held:
        return held[wanted.request].endpoint
    used = [lane.endpoint for lane in held.values()]
    free = [name for name, most in wanted.endpoints if used.count(name) < most]
    return max(free, key=used.count, default="")
