"""Leases that limit the long statements per endpoint across all proxies.

A lane is the right to run one long statement on an endpoint. For each group,
one proxy grants the lanes: the live proxy that rendezvous hashing ranks first
(see peer_lanes.py). An endpoint with more than one slot keeps at least one slot
free of long statements. Long statements are concentrated on the endpoints that
already run some. A lane that is not released expires with its lease. When
another proxy takes over, it starts with all lanes free.
"""

import dataclasses
import threading
import time

from bronzehold.core import data

# Longest lease of a lane.
MAX_HOLD_S = 120.0
# Number of lanes that never limits a request.
UNBOUNDED = 1 << 30


@dataclasses.dataclass(frozen=True, kw_only=True)
class LaneRequest:
    """A request for a lane.

    Attributes:
        request_id: Unique id of the request; the lane is released by it.
        endpoints: Endpoints that may run the statement, best first, each with
            its number of lanes.
        hold_s: Duration of the lease in seconds, at most MAX_HOLD_S.
    """

    request_id: str
    endpoints: tuple[tuple[str, int], ...]
    hold_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Lease:
    endpoint: str
    expires_at: float


def lane_count(ep: data.Endpoint) -> int:
    """Returns the maximum number of long statements on an endpoint at once."""
    return max(1, ep.slots - 1)


class Lanes:
    """The lanes that this proxy grants; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._leases: dict[str, dict[str, _Lease]] = {}

    def acquire(self, group: str, req: LaneRequest) -> str:
        """Leases a free lane.

        Args:
            group: Name of the group.
            req: The request. A request that already has a lane keeps it.

        Returns:
            The name of the lane's endpoint, or "" if no lane is free.
        """
        now = time.monotonic()
        hold_s = min(req.hold_s, MAX_HOLD_S)
        with self._lock:
            leases = {
                request_id: lease
                for request_id, lease in self._leases.get(group, {}).items()
                if lease.expires_at > now
            }
            self._leases[group] = leases
            endpoint = _choose_endpoint(leases, req)
            if endpoint:
                leases[req.request_id] = _Lease(
                    endpoint=endpoint, expires_at=now + hold_s
                )
            return endpoint

    def release(self, group: str, request_id: str) -> None:
        """Releases the lane of a request, if it has one."""
        with self._lock:
            self._leases.get(group, {}).pop(request_id, None)


def _choose_endpoint(leases: dict[str, _Lease], req: LaneRequest) -> str:
    if req.request_id in leases:
        return leases[req.request_id].endpoint
    used = [lease.endpoint for lease in leases.values()]
    free = [
        name
        for name, max_lanes in req.endpoints
        if used.count(name) < max_lanes
    ]
    return max(free, key=used.count, default="")
