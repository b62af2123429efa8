"""The gRPC server that the other proxies and the operators call."""

import collections.abc
from concurrent import futures

import grpc

from bronzehold.core import data
from bronzehold.process import lanes as lanes_lib
from bronzehold.process import peer_channels
from bronzehold.proto import peer_pb2 as pb
from bronzehold.proto import peer_pb2_grpc

SERVER_WORKERS = 24


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Answers the calls of the other proxies.

    Args:
        answer_heartbeat: Returns this proxy's answer to a heartbeat, None if
            the peer is blocked.
        lanes: The lanes that this proxy grants.
        cancel_local: Cancels a statement of this proxy's own callers, given
            its process id and secret.
    """

    def __init__(
        self,
        *,
        answer_heartbeat: collections.abc.Callable[
            [pb.Heartbeat], pb.Heartbeat | None
        ],
        lanes: lanes_lib.Lanes,
        cancel_local: collections.abc.Callable[[int, int], None],
    ):
        self._answer_heartbeat = answer_heartbeat
        self._lanes = lanes
        self._cancel_local = cancel_local

    def Exchange(self, request, context):
        """Takes a peer's heartbeat and answers with this proxy's."""
        answer = self._answer_heartbeat(request)
        if answer is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "cut")
        return answer

    def TakeLane(self, request, context):
        """Leases a lane to a peer."""
        lane_request = lanes_lib.LaneRequest(
            request_id=request.request,
            endpoints=tuple(zip(request.endpoints, request.lanes, strict=True)),
            hold_s=request.hold_ms * data.MILLISECOND,
        )
        endpoint = self._lanes.acquire(request.group, lane_request)
        return pb.LaneReply(endpoint=endpoint)

    def GiveLane(self, request, context):
        """Takes back the lane of a peer."""
        self._lanes.release(request.group, request.request)
        return pb.Empty()

    def Cancel(self, request, context):
        """Cancels a statement of this proxy's own callers."""
        self._cancel_local(request.pid, request.secret)
        return pb.Empty()


class PeerServer:
    """The server; it listens once it is started.

    Attributes:
        address: The address of the server.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        servicer: PeerServicer,
        operator: peer_pb2_grpc.OperatorServicer | None,
    ):
        self._server = grpc.server(
            futures.ThreadPoolExecutor(SERVER_WORKERS),
            options=peer_channels.GRPC_OPTIONS,
        )
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        if operator is not None:
            peer_pb2_grpc.add_OperatorServicer_to_server(operator, self._server)
        bound_port = self._server.add_insecure_port(f"{host}:{port}")
        self.address = f"{host}:{bound_port}"

    def start(self) -> None:
        """Starts to answer calls."""
        self._server.start()

    def close(self) -> None:
        """Stops the server; calls that are being answered are cut."""
        self._server.stop(0)
