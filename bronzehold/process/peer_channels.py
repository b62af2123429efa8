"""The gRPC channels to the other proxies."""

import threading

import grpc

from bronzehold.process import etcd_store
from bronzehold.proto import peer_pb2_grpc

CALL_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = etcd_store.MAX_MESSAGE_BYTES
# Options of the channels and of the server.
GRPC_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.so_reuseport", 0),
]
# What a call raises: a failed call, or a channel that has been closed.
CALL_ERRORS = (grpc.RpcError, ValueError)


class Channels:
    """One channel for each peer, opened with its first call."""

    def __init__(self):
        self._lock = threading.Lock()
        self._channels: dict[str, grpc.Channel] = {}

    def stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        """Returns a gRPC stub for a peer."""
        with self._lock:
            if address not in self._channels:
                self._channels[address] = grpc.insecure_channel(
                    address, options=GRPC_OPTIONS
                )
            channel = self._channels[address]
        return peer_pb2_grpc.PeerStub(channel)

    def close(self) -> None:
        """Closes all channels."""
        with self._lock:
            channels = list(self._channels.values())
        for channel in channels:
            channel.close()
