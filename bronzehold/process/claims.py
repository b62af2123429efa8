"""Claims the fencing token of a group whose holder cannot use it.

A holder keeps its token until its process is gone, or until the platform has
left its orders unanswered for some time. Then the other proxies take turns, in
an order that each computes by itself.

If the platform answers nobody, a takeover is of no use. A proxy whose own
orders were not answered lately therefore takes no token from a live holder, and
the more proxies report that, the longer the others wait.
"""

import collections.abc
import enum

from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import rendezvous
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
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
# The part of the time to replace a leaving primary after which the orders of a
# holder count as failing. Two takeovers and a planned change fit into the rest.
ORDER_TIMEOUT_PART = 0.2
# Several orders with the interval between them.
MIN_ORDER_TIMEOUT_S = 0.7
# With more proxies whose orders are not answered, the time doubles with each:
# the platform probably answers no other proxy either.
PROMPT_TAKEOVERS = 2


class Claim(enum.Enum):
    """The result of a claim.

    NONE means that no token was acquired. The others tell whether its earlier
    holder is gone or could not use it.
    """

    NONE = "none"
    FROM_GONE = "from gone"
    FROM_FAILING = "from failing"


class Claims:
    """This proxy's claims; used by one thread.

    Args:
        own: The name of this proxy.
        tokens: The fencing tokens of the groups.
        orders: The orders of this proxy.
        gossip: The exchange of digests.
        drain_s: The time within which a leaving primary must be replaced, in
            seconds.
    """

    def __init__(
        self,
        *,
        own: str,
        tokens: tokens_lib.Tokens,
        orders: promotion_orders.PromotionOrders,
        gossip: gossip_lib.Gossip,
        drain_s: float,
    ):
        self._own = own
        self._tokens = tokens
        self._orders = orders
        self._gossip = gossip
        self._order_timeout_s = max(
            MIN_ORDER_TIMEOUT_S, ORDER_TIMEOUT_PART * drain_s
        )
        self._tried_at: dict[str, float] = {}
        # The time since which no process holds a group's token.
        self._orphaned_since: dict[str, float] = {}

    def claim(self, service: platform_service.PlatformService) -> Claim:
        """Acquires a token that is not in use if it is this proxy's turn.

        The proxies take turns in the order of a hash until one has the token.

        Returns:
            What was done.
        """
        now = clock.now()
        name = service.limits.name
        if now - self._tried_at.get(name, 0.0) < CLAIM_RETRY_S:
            return Claim.NONE
        peers = self._eligible_peers(service)
        holder = self._live_holder(name, peers)
        unanswered_s = _unanswered_s(holder, name, now) if holder else 0.0
        if self._gossip.stopping or (
            holder is not None and not self._may_replace(unanswered_s, peers)
        ):
            self._orphaned_since.pop(name, None)
            return Claim.NONE
        since = self._orphaned_since.setdefault(name, now)
        rank = self._rank(name, peers)
        if rank > MAX_CLAIM_RANK or now - since < rank * CLAIM_RANK_DELAY_S:
            return Claim.NONE
        self._tried_at[name] = now
        self._tokens.acquire(name, reason=_reason(holder, unanswered_s))
        if not self._tokens.holds(name):
            return Claim.NONE
        return Claim.FROM_GONE if holder is None else Claim.FROM_FAILING

    def _live_holder(
        self,
        name: str,
        peers: collections.abc.Mapping[str, gossip_lib.ReceivedDigest],
    ) -> gossip_lib.ReceivedDigest | None:
        """Returns the digest of the peer whose process holds the token."""
        holder, _, _ = self._tokens.known(name).holder.partition("/")
        heard = peers.get(holder)
        if heard is None or self._tokens.is_replaced(
            name, heard.digest.incarnation, heard.received_at
        ):
            return None
        return heard

    def _may_replace(
        self,
        unanswered_s: float,
        peers: collections.abc.Mapping[str, gossip_lib.ReceivedDigest],
    ) -> bool:
        """Returns whether this proxy may take the token of a live holder.

        Args:
            unanswered_s: The time for which the holder's orders of the group
                have not been answered, in seconds.
            peers: The live peers.
        """
        if self._orders.is_failing():
            return False
        failing_count = sum(_is_failing(heard) for heard in peers.values())
        doublings = max(0, failing_count - PROMPT_TAKEOVERS)
        return unanswered_s >= self._order_timeout_s * 2**doublings

    def _rank(
        self,
        name: str,
        peers: collections.abc.Mapping[str, gossip_lib.ReceivedDigest],
    ) -> int:
        """Returns how many peers may claim a token before this proxy.

        Proxies whose orders are not answered come last.
        """
        is_failing = self._orders.is_failing()
        before = [
            peer
            for peer, heard in peers.items()
            if _is_failing(heard) == is_failing
        ]
        others = len(peers) - len(before) if is_failing else 0
        return others + _claim_rank(name, self._own, before)

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


def _unanswered_s(
    heard: gossip_lib.ReceivedDigest, service: str, now: float
) -> float:
    """Returns for how long a peer's orders of a group were not answered."""
    for view in heard.digest.groups:
        if view.service == service and view.orders_unanswered_ms:
            reported_s = view.orders_unanswered_ms * data.MILLISECOND
            return reported_s + now - heard.received_at
    return 0.0


def _is_failing(heard: gossip_lib.ReceivedDigest) -> bool:
    return any(view.orders_unanswered_ms for view in heard.digest.groups)


def _reason(
    holder: gossip_lib.ReceivedDigest | None, unanswered_s: float
) -> str:
    if holder is None:
        return "no live holder"
    return (
        f"orders of {holder.digest.proxy} not answered for {unanswered_s:.1f} s"
    )
