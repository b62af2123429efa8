import time

import grpc
import pytest

from bronzehold.process import lanes as lanes_lib
from bronzehold.process import peer_channels
from bronzehold.process import peer_lanes
from bronzehold.process import peer_server
from bronzehold.proto import peer_pb2 as pb
from tests import helpers

GROUP = "g"
REQUEST = lanes_lib.LaneRequest(
    request_id="r", endpoints=(("e", 1),), hold_s=120.0
)
OTHER = lanes_lib.LaneRequest(
    request_id="other", endpoints=(("e", 1),), hold_s=120.0
)


class Owner(peer_server.PeerServicer):
    """The proxy that grants the lanes; some calls to it fail."""

    def __init__(self):
        self.lanes = lanes_lib.Lanes()
        self.failing_calls = 0
        super().__init__(
            answer_heartbeat=lambda _: None,
            lanes=self.lanes,
            cancel_local=lambda *_: None,
        )

    def GiveLane(self, request, context):
        if self.failing_calls:
            self.failing_calls -= 1
            time.sleep(peer_channels.CALL_TIMEOUT_S)
            context.abort(grpc.StatusCode.UNAVAILABLE, "not run")
        return super().GiveLane(request, context)


@pytest.fixture(name="owner")
def _owner():
    return Owner()


@pytest.fixture(name="leased")
def _leased(owner):
    """The lanes of another proxy, which asks the owner."""
    server = peer_server.PeerServer(
        host="127.0.0.1", port=0, servicer=owner, operator=None
    )
    server.start()
    channels = peer_channels.Channels()
    names = ("a", "b")
    own = next(n for n in names if _owner_name(names) != n)
    peers = {_owner_name(names): pb.Heartbeat(address=server.address)}
    yield peer_lanes.PeerLanes(
        own_name=own,
        granted=lanes_lib.Lanes(),
        live_peers=lambda: peers,
        channels=channels,
        limit_s=lambda timeout_s: timeout_s,
    )
    channels.close()
    server.close()


def _owner_name(names):
    return peer_lanes.rendezvous.order(f"lanes {GROUP}", names)[0]


@pytest.mark.parametrize("failing_calls", [0, 2])
def test_released_lane_is_free_at_its_owner(owner, leased, failing_calls):
    """Guards against lanes that stay taken for two minutes after their use.

    The call that releases a lane was cancelled when nothing referred to it any
    more, which on a busy machine was before it had been sent. Long statements
    were then refused although nothing ran.
    """
    owner.failing_calls = failing_calls
    assert owner.lanes.acquire(GROUP, REQUEST) == "e"
    leased.release(GROUP, "r")
    helpers.wait_for(lambda: owner.lanes.acquire(GROUP, OTHER) == "e")
