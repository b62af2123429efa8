"""Leases lanes from the proxy that grants those of a group.

For each group, the live proxy that rendezvous hashing ranks first grants the
lanes.
"""

import collections.abc
import contextlib

import grpc

from bronzehold.core import data
from bronzehold.core import rendezvous
from bronzehold.process import lanes as lanes_lib
from bronzehold.process import peer_channels
from bronzehold.proto import peer_pb2 as pb

# A lane whose release is lost is held until its lease expires, for up to
# lanes.MAX_HOLD_S. The attempts cover a peer that is not run for 2 s.
RELEASE_ATTEMPTS = 5


class PeerLanes:
    """Leases lanes here or from a peer.

    Args:
        own_name: The name of this proxy.
        granted: The lanes that this proxy grants.
        live_peers: Returns the last heartbeat of every live peer by its name.
        channels: The channels to the peers.
        limit_s: Shortens a timeout in seconds to what a planned stop of the
            proxy allows.
    """

    def __init__(
        self,
        *,
        own_name: str,
        granted: lanes_lib.Lanes,
        live_peers: collections.abc.Callable[[], dict[str, pb.Heartbeat]],
        channels: peer_channels.Channels,
        limit_s: collections.abc.Callable[[float], float],
    ):
        self._own_name = own_name
        self._granted = granted
        self._live_peers = live_peers
        self._channels = channels
        self._limit_s = limit_s

    def acquire(self, group: str, lane_request: lanes_lib.LaneRequest) -> str:
        """Leases a free lane for a long statement.

        If the proxy that grants the group's lanes does not respond, this proxy
        grants the lane itself, counting only the lanes that it granted.

        Args:
            group: Name of the group.
            lane_request: The request.

        Returns:
            The name of the lane's endpoint, or "" if no lane is free.
        """
        address = self._owner_address(group)
        if not address:
            return self._granted.acquire(group, lane_request)
        req = pb.LaneRequest(
            proxy=self._own_name,
            group=group,
            request=lane_request.request_id,
            hold_ms=int(lane_request.hold_s / data.MILLISECOND),
            endpoints=[name for name, _ in lane_request.endpoints],
            lanes=[max_lanes for _, max_lanes in lane_request.endpoints],
        )
        try:
            answer = self._channels.stub(address).TakeLane(
                req, timeout=self._limit_s(peer_channels.CALL_TIMEOUT_S)
            )
        except peer_channels.CALL_ERRORS:
            return self._granted.acquire(group, lane_request)
        return answer.endpoint

    def release(self, group: str, request_id: str) -> None:
        """Releases the lane of a request, without waiting for its owner."""
        self._granted.release(group, request_id)
        release = pb.LaneRelease(request=request_id, group=group)
        self._send_release(release, RELEASE_ATTEMPTS)

    def _send_release(self, release: pb.LaneRelease, attempts: int) -> None:
        """Sends a release to the owner, and again if the call fails.

        Args:
            release: The release.
            attempts: Maximum number of calls.
        """
        address = self._owner_address(release.group)
        if not address:
            self._granted.release(release.group, release.request)
            return

        def on_done(call: grpc.Future) -> None:
            if call.exception() is not None and attempts > 1:
                self._send_release(release, attempts - 1)

        with contextlib.suppress(*peer_channels.CALL_ERRORS):
            # gRPC cancels a call that nothing refers to; the callback does.
            self._channels.stub(address).GiveLane.future(
                release, timeout=peer_channels.CALL_TIMEOUT_S
            ).add_done_callback(on_done)

    def _owner_address(self, group: str) -> str:
        live_peers = self._live_peers()
        names = [self._own_name, *live_peers]
        owner = rendezvous.order(f"lanes {group}", names)[0]
        return "" if owner == self._own_name else live_peers[owner].address
