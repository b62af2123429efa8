"""Exchanges digests between the proxies over UDP, several times a second.

Datagrams are used rather than calls because a connection can hang for good,
while a lost datagram is replaced by the next one, and because each costs a
single system call.

The clocks of the proxies are not comparable, and a datagram may be delayed by
any time. Each digest therefore echoes the timestamp of the last digest that its
sender received from the receiver, and gives its times relative to the receipt
of that digest. The receiver adds them to the echoed timestamp, which gives a
time on its own clock that is never later than the actual one.
"""

import collections.abc
import dataclasses
import socket
import threading
import zlib

from google.protobuf import message

from bronzehold.core import addresses
from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import gossip_pb2 as pb

SEND_INTERVAL_S = 0.25
# Number of peers asked per round for store entries that this proxy lacks.
ENTRY_SOURCES = 2
# Minimum interval between two rounds; changes are sent without further delay.
MIN_SEND_INTERVAL_S = 0.03
# Number of peers that a round sends to. With more peers, the rounds take turns,
# which keeps the load constant as the fleet grows; urgent changes are sent to
# all peers.
FANOUT = 6
# Minimum time without a digest after which a peer counts as silent.
SILENCE_TIMEOUT_S = 1.0
# A peer counts as silent after this many missed rounds, if that is later.
MAX_MISSED_ROUNDS = 4
# Minimum time for which a silent peer may still hold endpoint connections.
FORGET_TIMEOUT_S = 4.0
# Time for which an endpoint still counts the connections of an instance that
# has lost power.
LOST_CONNECTIONS_S = 3.5
MAX_DATAGRAM_BYTES = 60_000
# The largest configuration of the store, with the listings beside it.
MAX_ENTRIES_BYTES = 4 << 20
MICROSECONDS_PER_S = 1_000_000
MILLISECONDS_PER_S = 1_000
# Interval at which the receiver checks whether the process stops.
RECEIVE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedDigest:
    """The last digest received from a peer.

    Attributes:
        digest: The digest.
        received_at: Time of receipt, in seconds of clock.now().
        time_base: The echoed timestamp, in seconds of clock.now(), to which
            the times in the digest are added; None if the peer has received
            no digest from this proxy yet.
    """

    digest: pb.Digest
    received_at: float
    time_base: float | None


class Gossip:
    """Exchanges digests with all peers; safe to use from many threads.

    The callbacks are set before start().

    Attributes:
        stopping: Whether this proxy is stopping; sent to the peers.
        fill_digest: Fills a digest to be sent. Its second argument is the
            time of receipt of the digest that is echoed.
        on_digest: Handles a received digest.
        has_urgent_changes: Returns whether the next round goes to all peers.
        on_peers_changed: Called when the registered or live peers change.
        get_entries: Returns this proxy's store entries, packed.
        needs_entries: Returns whether this proxy needs entries from peers.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        address: tuple[str, int],
        seeds: collections.abc.Iterable[str],
        zone: str,
        timeline: timeline_lib.Timeline,
        tasks: tasks_lib.Tasks,
    ):
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        self._address = f"{address[0]}:{address[1]}"
        self._seeds = frozenset(seeds) - {self._address}
        self._timeline = timeline
        self._tasks = tasks
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)
        self._sock.settimeout(RECEIVE_TIMEOUT_S)
        self._started_at = clock.now()
        self._lock = threading.Lock()
        self._members: dict[str, str] = {}
        self._received: dict[str, ReceivedDigest] = {}
        # The incarnation that a peer's present one has replaced, by peer.
        self._replaced: dict[str, str] = {}
        self._live: set[str] = set()
        self._wake = threading.Event()
        self._is_next_to_all = False
        self._peer_count = 0
        self._next_peer = 0
        self._next_source = 0
        self.stopping = False
        self.fill_digest: collections.abc.Callable[[pb.Digest, float], None]
        self.on_digest: collections.abc.Callable[[ReceivedDigest], None]
        self.has_urgent_changes: collections.abc.Callable[[], bool]
        self.on_peers_changed: collections.abc.Callable[[], None]
        self.get_entries: collections.abc.Callable[[], bytes]
        self.needs_entries: collections.abc.Callable[[], bool]

    @property
    def address(self) -> str:
        """The address at which this proxy receives digests."""
        return self._address

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks.spawn_lasting("gossip", self._send_forever)
        self._tasks.spawn_lasting("gossip in", self._receive_forever)

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    def send_now(self) -> None:
        """Starts a round to all peers without waiting for the interval."""
        self._is_next_to_all = True
        self._wake.set()

    def send_soon(self) -> None:
        """Starts a round to the next peers without waiting for the interval.

        News that each receiver passes on in this way reaches all peers in a
        number of rounds that is logarithmic in the number of peers.
        """
        self._wake.set()

    def set_members(self, members: dict[str, str]) -> None:
        """Sets the registered proxies.

        Args:
            members: The addresses of the proxies by name; this proxy's own
                entry is ignored.
        """
        with self._lock:
            self._members = {
                name: address
                for name, address in members.items()
                if name != self._name
            }
        self.on_peers_changed()

    # Sending.

    def _send_forever(self) -> None:
        stop = self._tasks.stop
        while not stop.is_set():
            self._wake.clear()
            to_all = self._is_next_to_all or self.has_urgent_changes()
            self._is_next_to_all = False
            self._send_round(to_all=to_all)
            self._detect_silent_peers()
            stop.wait(MIN_SEND_INTERVAL_S)
            self._wake.wait(SEND_INTERVAL_S - MIN_SEND_INTERVAL_S)

    def _send_round(self, *, to_all: bool) -> None:
        now = clock.now()
        with self._lock:
            by_address = {
                received.digest.address: received
                for received in self._received.values()
                if now - received.received_at < self._forget_timeout_s()
            }
            addresses = set(self._members.values()) | set(by_address)
        if not addresses:
            addresses = set(self._seeds)
        addresses.discard(self._address)
        ordered = sorted(addresses)
        self._peer_count = len(ordered)
        if not to_all and len(ordered) > FANOUT:
            start = self._next_peer % len(ordered)
            self._next_peer = start + FANOUT
            ordered = (ordered + ordered)[start : start + FANOUT]
        entry_sources = self._choose_entry_sources(ordered)
        for address in ordered:
            self._send(
                address,
                by_address.get(address),
                request_entries=address in entry_sources,
            )

    def _choose_entry_sources(self, addresses: list[str]) -> frozenset[str]:
        """Returns the peers to ask for store entries in this round.

        Successive rounds ask different peers. The result is empty if this
        proxy needs no entries.
        """
        if not addresses or not self.needs_entries():
            return frozenset()
        start = self._next_source % len(addresses)
        self._next_source += ENTRY_SOURCES
        return frozenset((addresses + addresses)[start : start + ENTRY_SOURCES])

    def reply(self, received: ReceivedDigest) -> None:
        """Sends a digest at once to the sender of a received one."""
        self._send(received.digest.address, received)

    def _send(
        self,
        address: str,
        received: ReceivedDigest | None,
        *,
        request_entries: bool = False,
        entries: bytes = b"",
    ) -> None:
        now = clock.now()
        digest = pb.Digest(
            proxy=self._name,
            incarnation=self._incarnation,
            address=self._address,
            zone=self._zone,
            stopping=self.stopping,
            stamp_us=int(now * MICROSECONDS_PER_S),
            uptime_ms=int((now - self._started_at) * MILLISECONDS_PER_S),
        )
        if received is not None:
            digest.echo_us = received.digest.stamp_us
            digest.echo_held_us = int(
                (now - received.received_at) * MICROSECONDS_PER_S
            )
        self.fill_digest(
            digest, received.received_at if received is not None else now
        )
        digest.wants_entries = request_entries
        digest.entries = entries
        datagram = digest.SerializeToString()
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._timeline.count("entries that no datagram holds")
            digest.ClearField("entries")
            datagram = digest.SerializeToString()
        try:
            self._sock.sendto(datagram, addresses.split(address))
        except (OSError, ValueError) as exc:
            self._timeline.count(f"gossip to {address}: {type(exc).__name__}")

    # Receiving.

    def _receive_forever(self) -> None:
        while not self._tasks.stop.is_set():
            try:
                data, _ = self._sock.recvfrom(1 << 16)
            except TimeoutError:
                continue
            except OSError:
                # The socket also reports errors of datagrams sent earlier.
                self._tasks.stop.wait(MIN_SEND_INTERVAL_S)
                continue
            at = clock.now()
            digest = pb.Digest()
            try:
                digest.ParseFromString(data)
            except message.DecodeError:
                self._timeline.count("gossip that cannot be read")
                continue
            if not addresses.is_ip(digest.address):
                self._timeline.count("gossip without an address")
            elif digest.proxy and digest.proxy != self._name:
                self._receive(digest, at)

    def _receive(self, digest: pb.Digest, at: float) -> None:
        time_base = (
            digest.echo_us / MICROSECONDS_PER_S if digest.echo_us else None
        )
        received = ReceivedDigest(
            digest=digest, received_at=at, time_base=time_base
        )
        with self._lock:
            previous = self._received.get(digest.proxy)
            if self._is_outdated(digest, previous):
                return
            if previous is not None and _is_restarted(digest, previous.digest):
                self._replaced[digest.proxy] = previous.digest.incarnation
            self._received[digest.proxy] = received
            is_new = digest.proxy not in self._live
            self._live.add(digest.proxy)
        if is_new:
            self._timeline.add(events.PeerSeen(peer=digest.proxy))
        if is_new or (
            previous is not None and previous.digest.stopping != digest.stopping
        ):
            self.on_peers_changed()
        self.on_digest(received)
        if digest.wants_entries:
            self._send(digest.address, received, entries=self.get_entries())

    def _is_outdated(
        self, digest: pb.Digest, previous: ReceivedDigest | None
    ) -> bool:
        """Returns whether a digest was sent before the previous one.

        The stamps of two incarnations cannot be compared: the clock of a
        machine that lost power may start anew.
        """
        if previous is None:
            return False
        if _is_restarted(digest, previous.digest):
            replaced = self._replaced.get(digest.proxy)
            return bool(replaced) and digest.incarnation == replaced
        return _is_older(digest, previous.digest)

    def silence_timeout_s(self) -> float:
        """Returns the time without a digest after which a peer is silent."""
        rounds = -(-self._peer_count // FANOUT)
        return max(
            SILENCE_TIMEOUT_S, MAX_MISSED_ROUNDS * rounds * SEND_INTERVAL_S
        )

    def _forget_timeout_s(self) -> float:
        """Returns the time without a digest after which a peer is dropped."""
        return max(FORGET_TIMEOUT_S, 2 * self.silence_timeout_s())

    def _detect_silent_peers(self) -> None:
        now = clock.now()
        timeout_s = self.silence_timeout_s()
        with self._lock:
            silent = {
                n
                for n in self._live
                if now - self._received[n].received_at > timeout_s
            }
            self._live -= silent
        for name in silent:
            self._timeline.add(events.PeerSilent(peer=name))
        if silent:
            self.on_peers_changed()

    # Queries.

    def live_peers(self) -> dict[str, ReceivedDigest]:
        """Returns the last digest of every peer that is not silent."""
        now = clock.now()
        timeout_s = self.silence_timeout_s()
        with self._lock:
            return {
                name: received
                for name, received in self._received.items()
                if now - received.received_at < timeout_s
            }

    def heard_names(self) -> frozenset[str]:
        """Returns the names of all peers that have ever sent a digest."""
        with self._lock:
            return frozenset(self._received)

    def is_isolated(self) -> bool:
        """Returns whether peers are known and all of them are silent."""
        with self._lock:
            return bool(self._members or self._received) and not self._live

    def is_fleet_new(self) -> bool:
        """Returns whether this proxy and most peers have just started."""
        with self._lock:
            peers_ms = [r.digest.uptime_ms for r in self._received.values()]
        return has_fleet_restarted(
            clock.now() - self._started_at,
            [peer_ms / MILLISECONDS_PER_S for peer_ms in peers_ms],
        )

    def share_count(self) -> int:
        """Returns the number of proxies that share the connections.

        A silent proxy counts for a while, because its connections may still
        be open.
        """
        now = clock.now()
        with self._lock:
            recent = {
                name
                for name, received in self._received.items()
                if now - received.received_at < self._forget_timeout_s()
                and not received.digest.stopping
            }
            return 1 + len(recent | set(self._members))


def _is_restarted(one: pb.Digest, other: pb.Digest) -> bool:
    return one.incarnation != other.incarnation


def _is_older(one: pb.Digest, other: pb.Digest) -> bool:
    same = one.address == other.address
    return same and one.stamp_us <= other.stamp_us


def has_fleet_restarted(
    uptime_s: float, peer_uptimes_s: collections.abc.Collection[float]
) -> bool:
    """Returns whether a proxy and most of its peers have just started.

    Args:
        uptime_s: Uptime of the proxy in seconds.
        peer_uptimes_s: Uptimes of the peers that it has heard, in seconds.
    """
    if uptime_s > LOST_CONNECTIONS_S:
        return False
    old_count = sum(up_s > LOST_CONNECTIONS_S for up_s in peer_uptimes_s)
    return 2 * old_count <= len(peer_uptimes_s)


def pack_entries(entries: collections.abc.Iterable[tuple[str, bytes]]) -> bytes:
    """Encodes and compresses store entries for a digest."""
    packed = pb.Entries(
        entries=[pb.Entry(key=key, value=value) for key, value in entries]
    )
    return zlib.compress(packed.SerializeToString())


def unpack_entries(data: bytes) -> list[tuple[str, bytes]]:
    """Decodes the store entries of a digest; returns none if it is invalid."""
    packed = pb.Entries()
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_ENTRIES_BYTES)
        packed.ParseFromString(unpacked)
    except (zlib.error, message.DecodeError):
        return []
    return [(one.key, one.value) for one in packed.entries]
