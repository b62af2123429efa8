"""Claims the fencing token of a group whose holder is gone.

A holder keeps its token until its process is gone. Then the other proxies take
turns, in an order that each computes by itself.
"""

import collections.abc

from bronzehold.core import clock
from bronzehold.core import rendezvous
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_service
from bronzehold.process import tokens as tokens_lib

CLAIM_RETRY_S = 0.5
# A proxy claims a token later by this delay for each one ranked before it,
# which may be cut off from the store.
CLAIM_RANK_DELAY_S = 1.5
# Proxies of a higher rank claim nothing, so that a store that is away gets few
# calls from a large fleet.
MAX_CLAIM_RANK = 2
# Several rounds of gossip. Once a primary has been unreachable for this long, a
# peer that has been silent for as long counts as gone.
PEER_SILENCE_S = 1.2


class Claims:
    """This proxy's claims; used by one thread.

    Args:
        own: The name of this proxy.
        tokens: The fencing tokens of the groups.
        gossip: The exchange of digests.
    """

    def __init__(
        self, *, own: str, tokens: tokens_lib.Tokens, gossip: gossip_lib.Gossip
    ):
        self._own = own
        self._tokens = tokens
        self._gossip = gossip
        self._tried_at: dict[str, float] = {}
        # The time since which no process holds a group's token.
        self._orphaned_since: dict[str, float] = {}

    def claim(self, service: platform_service.PlatformService) -> None:
        """Acquires the token if its holder is gone and it is this proxy's turn.

        The proxies take turns in the order of a hash until one has the token.
        """
        now = clock.now()
        name = service.limits.name
        if now - self._tried_at.get(name, 0.0) < CLAIM_RETRY_S:
            return
        peers = self._eligible_peers(service)
        if self._gossip.stopping or self._has_holder(name, peers):
            self._orphaned_since.pop(name, None)
            return
        since = self._orphaned_since.setdefault(name, now)
        rank = _claim_rank(name, self._own, peers)
        if rank > MAX_CLAIM_RANK or now - since < rank * CLAIM_RANK_DELAY_S:
            return
        self._tried_at[name] = now
        self._tokens.acquire(name)

    def _has_holder(
        self,
        name: str,
        peers: collections.abc.Mapping[str, gossip_lib.ReceivedDigest],
    ) -> bool:
        """Returns whether the process of a peer holds a group's token."""
        holder, _, _ = self._tokens.known(name).holder.partition("/")
        heard = peers.get(holder)
        return heard is not None and not self._tokens.is_replaced(
            name, heard.digest.incarnation, heard.received_at
        )

    def _eligible_peers(
        self, service: platform_service.PlatformService
    ) -> dict[str, gossip_lib.ReceivedDigest]:
        """Returns the live peers that may hold a group's token.

        In a large fleet a peer gossips with this proxy only rarely, so silence
        says little. A proxy that cannot reach a primary, however, sends to all
        peers in each round, and the token holder answers. While the primary is
        unreachable, a short silence therefore excludes a peer.
        """
        now = clock.now()
        is_primary_unreachable = service.group.leaderless_s() > PEER_SILENCE_S
        return {
            name: heard
            for name, heard in self._gossip.live_peers().items()
            if not heard.digest.stopping
            and not (
                is_primary_unreachable
                and now - heard.received_at > PEER_SILENCE_S
            )
        }


def _claim_rank(
    service: str, own: str, peers: collections.abc.Iterable[str]
) -> int:
    """Returns how many peers may claim a group's token before this proxy."""
    own_weight = rendezvous.weight(service, own)
    return sum(rendezvous.weight(service, peer) > own_weight for peer in peers)
