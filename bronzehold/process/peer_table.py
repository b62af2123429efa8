"""What this proxy knows of its peers: who is registered and who is alive.

A proxy is registered in the platform; its heartbeats show that it is alive.
"""

import dataclasses
import threading
import time

from bronzehold.proto import peer_pb2 as pb

# Time without a heartbeat for which a peer still counts as sharing connections.
SHARE_TIMEOUT_S = 3.0
# Time after which the share of a proxy is reused once its registration is gone.
SHARE_REUSE_DELAY_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A proxy that is registered in the platform."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedHeartbeat:
    """The last heartbeat of a peer.

    Attributes:
        heartbeat: The heartbeat.
        observed_at: Start of the call that it answers, or else the time of
            its receipt, in seconds of time.monotonic().
    """

    heartbeat: pb.Heartbeat
    observed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recorded:
    """What the table knew before it recorded a heartbeat.

    Attributes:
        previous: The last heartbeat of the peer before, None for the first.
        is_new: Whether the peer was unknown or silent.
    """

    previous: ReceivedHeartbeat | None
    is_new: bool


class PeerTable:
    """The registered proxies and the last heartbeats, without this proxy's own.

    Safe to use from many threads.
    """

    def __init__(self, *, own_name: str, silence_timeout_s: float):
        self._own_name = own_name
        self._silence_timeout_s = silence_timeout_s
        self._lock = threading.Lock()
        self._received: dict[str, ReceivedHeartbeat] = {}
        # Peers that have not been recorded as silent.
        self._responding: set[str] = set()
        self._members: dict[str, Member] = {}
        # Time at which the registration of a proxy disappeared.
        self._departed: dict[str, float] = {}

    def set_members(self, members: dict[str, Member]) -> list[str]:
        """Sets the registered proxies.

        Args:
            members: The proxies by name; this proxy's own entry is ignored.

        Returns:
            The addresses of the other proxies.
        """
        now = time.monotonic()
        with self._lock:
            others = {k: v for k, v in members.items() if k != self._own_name}
            for name in self._members.keys() - others.keys():
                self._departed[name] = now
            self._members = others
            return [m.address for m in self._members.values()]

    def record(self, heartbeat: pb.Heartbeat, observed_at: float) -> Recorded:
        """Records a heartbeat, unless a later one was recorded."""
        name = heartbeat.proxy
        with self._lock:
            previous = self._received.get(name)
            if previous is None or observed_at >= previous.observed_at:
                self._received[name] = ReceivedHeartbeat(
                    heartbeat=heartbeat, observed_at=observed_at
                )
            is_new = name not in self._responding
            self._responding.add(name)
        return Recorded(previous=previous, is_new=is_new)

    def take_silent(self) -> list[str]:
        """Returns the peers that have become silent since the last call."""
        with self._lock:
            silent = [
                name
                for name in self._responding
                if not self._is_recent(self._received[name])
            ]
            self._responding.difference_update(silent)
        return silent

    def is_known(self, address: str) -> bool:
        """Returns whether a registered or live peer has an address."""
        with self._lock:
            registered = any(
                m.address == address for m in self._members.values()
            )
            received = any(
                h.heartbeat.address == address and self._is_recent(h)
                for h in self._received.values()
            )
        return registered or received

    def live_peers(self) -> dict[str, pb.Heartbeat]:
        """Returns the last heartbeat of every live peer by its name."""
        with self._lock:
            return {
                name: received.heartbeat
                for name, received in self._received.items()
                if self._is_recent(received)
            }

    def voter_count(self) -> int:
        """Returns the number of proxies that may vote, including this one."""
        with self._lock:
            live_peers = {
                n for n, h in self._received.items() if self._is_recent(h)
            }
            return 1 + len(live_peers | set(self._members))

    def share_count(self) -> int:
        """Returns the number of proxies that share the connections.

        A registration can lapse while its proxy is slow but alive, and is back
        after the next renewal. The share of such a proxy is therefore reused
        only after a delay.
        """
        now = time.monotonic()
        with self._lock:
            recent = {
                name
                for name, received in self._received.items()
                if now - received.observed_at < SHARE_TIMEOUT_S
            }
            departed = {
                name
                for name, at in self._departed.items()
                if now - at < SHARE_REUSE_DELAY_S
            }
            return 1 + len(recent | departed | set(self._members))

    def _is_recent(self, received: ReceivedHeartbeat) -> bool:
        elapsed_s = time.monotonic() - received.observed_at
        return elapsed_s < self._silence_timeout_s
