"""Exchanges heartbeats with the other proxies over gRPC.

A peer's registration in the platform gives its address; its heartbeats show
that it is alive. A peer with an older configuration receives the newer one with
a heartbeat, so a proxy that cannot reach the platform gets it from its peers.
"""

import collections.abc
from concurrent import futures
import threading
import time

from bronzehold.core import data
from bronzehold.core import events
from bronzehold.core import rendezvous
from bronzehold.core import settings
from bronzehold.process import catalog as catalog_lib
from bronzehold.process import heartbeats
from bronzehold.process import lanes
from bronzehold.process import peer_channels
from bronzehold.process import peer_lanes
from bronzehold.process import peer_server
from bronzehold.process import peer_table
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import peer_pb2 as pb
from bronzehold.proto import peer_pb2_grpc

# Shortest pause between two heartbeats to a peer.
MIN_PAUSE_S = 0.01


class Peers:
    """The peers of this proxy; one task per peer sends the heartbeats.

    Attributes:
        lanes: The lanes that this proxy grants.
        cancel_local: Cancels a statement of this proxy's own callers, given
            its process id and secret; set before start().
        operator: Servicer of the operator's calls, if there is one; set before
            start().
        blocked: Names of peers whose heartbeats are neither sent nor accepted;
            tests use it to simulate a network partition.
    """

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        timeline: timeline_lib.Timeline,
        catalog: catalog_lib.Catalog,
        tasks: tasks_lib.Tasks,
        shutdown: shutdown_lib.Shutdown,
    ):
        self._cfg = cfg
        self._timeline = timeline
        self._catalog = catalog
        self._tasks = tasks
        self._interval_s = cfg.timing.heartbeat_ms * data.MILLISECOND
        self._table = peer_table.PeerTable(
            own_name=cfg.name,
            silence_timeout_s=cfg.timing.peer_silence_ms * data.MILLISECOND,
        )
        self._heartbeats = heartbeats.Heartbeats(cfg=cfg, catalog=catalog)
        self._channels = peer_channels.Channels()
        self._lock = threading.Lock()
        # The heartbeat task of each peer, by the peer's address.
        self._senders: dict[str, futures.Future] = {}
        self._server: peer_server.PeerServer | None = None
        self.lanes = lanes.Lanes()
        self._peer_lanes = peer_lanes.PeerLanes(
            own_name=cfg.name,
            granted=self.lanes,
            live_peers=self._table.live_peers,
            channels=self._channels,
            limit_s=shutdown.limit_s,
        )
        self.cancel_local: collections.abc.Callable[[int, int], None] = (
            lambda _pid, _secret: None
        )
        self.operator: peer_pb2_grpc.OperatorServicer | None = None
        self.blocked: set[str] = set()

    # Start and stop.

    @property
    def address(self) -> str:
        """The address of this proxy's gRPC server, "" before start()."""
        return self._heartbeats.address

    def start(self) -> None:
        """Starts the gRPC server and the heartbeats to the seeds."""
        servicer = peer_server.PeerServicer(
            answer_heartbeat=self._answer_heartbeat,
            lanes=self.lanes,
            cancel_local=self.cancel_local,
        )
        self._server = peer_server.PeerServer(
            host=self._cfg.host,
            port=self._cfg.peer_port,
            servicer=servicer,
            operator=self.operator,
        )
        self._heartbeats.address = self._server.address
        self._server.start()
        for seed in self._cfg.seeds:
            self._start_sending(seed)
        self._tasks.spawn_lasting("peer check", self._monitor)

    def close(self) -> None:
        """Stops the gRPC server and closes the channels."""
        if self._server is not None:
            self._server.close()
        self._channels.close()

    def announce_stop(self) -> None:
        """Marks this proxy as stopping in all further heartbeats."""
        self._heartbeats.stopping = True

    def announce_hold(self, group: str, attempt: str) -> None:
        """Asks all peers to hold a group's writes.

        Args:
            group: Name of the group.
            attempt: Id of the change of primary; "" lets the writes continue.
        """
        self._heartbeats.announce_hold(group, attempt)

    def set_members(self, members: dict[str, peer_table.Member]) -> None:
        """Sets the registered proxies.

        Args:
            members: The proxies by name; this proxy's own entry is ignored.
        """
        for address in self._table.set_members(members):
            self._start_sending(address)
        self._catalog.resize()

    # Heartbeats.

    def _start_sending(self, address: str) -> None:
        if address == self.address or self._tasks.stop.is_set():
            return
        with self._lock:
            sender = self._senders.get(address)
            if sender is not None and not sender.done():
                return
            self._senders[address] = self._tasks.spawn(
                f"peer {address}", lambda: self._send_heartbeats(address)
            )

    def _send_heartbeats(self, address: str) -> None:
        stub = self._channels.stub(address)
        known = 0
        name = ""
        while not self._tasks.stop.is_set() and self._is_known(address):
            started = time.monotonic()
            if name not in self.blocked:
                try:
                    heartbeat = self._heartbeats.make(known)
                    answer = stub.Exchange(
                        heartbeat, timeout=peer_channels.CALL_TIMEOUT_S
                    )
                    name, known = answer.proxy, answer.revision
                    self._receive(answer, started)
                except peer_channels.CALL_ERRORS:
                    known = 0
            elapsed_s = time.monotonic() - started
            self._tasks.stop.wait(
                max(MIN_PAUSE_S, self._interval_s - elapsed_s)
            )

    def _is_known(self, address: str) -> bool:
        return self._table.is_known(address) or address in self._cfg.seeds

    def _answer_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat | None:
        if heartbeat.proxy in self.blocked:
            return None
        self._receive(heartbeat, time.monotonic())
        return self._heartbeats.make(heartbeat.revision)

    def _receive(self, heartbeat: pb.Heartbeat, observed_at: float) -> None:
        """Applies a peer's heartbeat.

        Args:
            heartbeat: The heartbeat.
            observed_at: Start of the call that it answers, or else the time
                of its receipt, in seconds of time.monotonic(). The start of
                the call is certain not to be later than the heartbeat.
        """
        if heartbeat.proxy == self._cfg.name or heartbeat.proxy in self.blocked:
            return
        recorded = self._table.record(heartbeat, observed_at)
        if recorded.is_new:
            self._timeline.add(events.PeerSeen(peer=heartbeat.proxy))
            self._catalog.resize()
        self._heartbeats.apply(recorded.previous, heartbeat)
        self._start_sending(heartbeat.address)

    def _monitor(self) -> None:
        while not self._tasks.stop.wait(self._interval_s):
            for name in self._table.take_silent():
                self._timeline.add(events.PeerSilent(peer=name))
            self._catalog.resize()

    # Queries.

    def live_peers(self) -> dict[str, pb.Heartbeat]:
        """Returns the last heartbeat of every live peer by its name."""
        return self._table.live_peers()

    def voter_count(self) -> int:
        """Returns the number of proxies that may vote, including this one."""
        return self._table.voter_count()

    def share_count(self) -> int:
        """Returns the number of proxies that share the connections."""
        return self._table.share_count()

    def slot_share_count(self) -> int:
        """Returns the number of proxies that share the slots.

        Only live proxies count: if the estimate is too low, the endpoint queues
        the excess statements.
        """
        return 1 + len(self.live_peers())

    def rank(self, key: str) -> int:
        """Returns this proxy's rank for a key, 0 for the first.

        The proxies are ranked by rendezvous hashing, so all proxies with the
        same live peers compute the same order.
        """
        names = [self._cfg.name, *self.live_peers()]
        return rendezvous.order(key, names).index(self._cfg.name)

    # Calls to peers.

    def acquire_lane(self, group: str, lane_request: lanes.LaneRequest) -> str:
        """Leases a free lane for a long statement.

        Args:
            group: Name of the group.
            lane_request: The request.

        Returns:
            The name of the lane's endpoint, or "" if no lane is free.
        """
        return self._peer_lanes.acquire(group, lane_request)

    def release_lane(self, group: str, request_id: str) -> None:
        """Releases the lane of a request."""
        self._peer_lanes.release(group, request_id)

    def forward_cancel(self, pid: int, secret: int) -> None:
        """Forwards a cancel request to all peers.

        The statement may run on another proxy than the one that was asked.
        """
        req = pb.CancelRequest(pid=pid, secret=secret)
        for heartbeat in self.live_peers().values():
            try:
                self._channels.stub(heartbeat.address).Cancel(
                    req, timeout=peer_channels.CALL_TIMEOUT_S
                )
            except peer_channels.CALL_ERRORS:
                continue
