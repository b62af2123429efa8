"""Fences the orders that the platform has left without an answer.

The platform may carry out such an order seconds later and so undo a newer
change. It rejects the order once it has seen a higher token. A fence is an
order under such a token that names the present primary: it changes nothing, and
its answer also shows that the platform takes orders from this proxy.
"""

import dataclasses

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
from bronzehold.process import tokens as tokens_lib

RETRY_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class Fence:
    """A fence that the platform has not accepted yet.

    Attributes:
        due_at: The time of the next attempt, in seconds of clock.now().
        token: The fencing token of its orders, 0 if none was acquired yet.
    """

    due_at: float
    token: int = 0


class Fences:
    """The fences that the groups need; used by one thread.

    Args:
        tokens: The fencing tokens of the groups.
        orders: The orders of this proxy.
    """

    def __init__(
        self,
        *,
        tokens: tokens_lib.Tokens,
        orders: promotion_orders.PromotionOrders,
    ):
        self._tokens = tokens
        self._orders = orders
        self._fences: dict[str, Fence] = {}
        # The token of the latest fence that was accepted, by service.
        self._accepted: dict[str, int] = {}

    def require(self, name: str) -> None:
        """Makes a group need a fence, from now on."""
        self._fences.setdefault(name, Fence(due_at=clock.now()))

    def drop(self, name: str) -> None:
        """Makes a group need no fence."""
        self._fences.pop(name, None)

    def accepted_token(self, name: str) -> int:
        """Returns the token of the latest fence of a group, 0 if none.

        Only fences that other proxies may wait for are reported: those of
        groups whose replicas confirm commits.
        """
        return self._accepted.get(name, 0)

    def is_required(self, name: str) -> bool:
        """Returns whether a group needs a fence."""
        return name in self._fences

    def send(self, service: platform_service.PlatformService) -> bool:
        """Orders the present primary if that is due.

        Returns:
            Whether the platform has accepted the order.
        """
        name = service.limits.name
        now = clock.now()
        fence = self._fences[name]
        leader = service.group.leader()
        if leader is None or now < fence.due_at:
            return False
        fence.due_at = now + RETRY_S
        if self._tokens.known(name).number != fence.token:
            fence.token = self._token_above_open_orders(name)
        if not fence.token:
            return False
        outcome = self._orders.send(
            name, leader.endpoint, reason="fence older orders"
        )
        match outcome:
            case ports.Ordered():
                del self._fences[name]
                if service.group.write_hold().until_decided or (
                    service.limits.synchronous
                ):
                    self._accepted[name] = fence.token
                return True
            case ports.NotRunning() if not service.limits.synchronous:
                del self._fences[name]
            case ports.Outranked():
                del self._fences[name]
        return False

    def _token_above_open_orders(self, name: str) -> int:
        """Returns a token that no open order has, 0 if there is none yet."""
        known = self._tokens.known(name)
        if any(o.token >= known.number for o in self._orders.open(name)):
            self._tokens.acquire(name, renew=True, reason="orders are open")
            renewed = self._tokens.known(name)
            if renewed.number == known.number:
                return 0
            known = renewed
        return known.number if self._tokens.can_use(name, known) else 0

    def may_hold_writes(
        self, service: platform_service.PlatformService
    ) -> bool:
        """Returns whether writes may be held back for a planned change now.

        They would wait in vain for an order that is not answered. If the latest
        one was not, a fence has to be accepted first. Without a token for that,
        the change is tried nevertheless.

        Where replicas confirm commits, the hold lasts until the outcome of the
        order is known. There, a fence has to be accepted right before it.
        """
        name = service.limits.name
        if service.limits.synchronous:
            self.require(name)
            return self.send(service)
        if self._orders.is_latest_unanswered(name) and name not in self._fences:
            self.require(name)
            self.send(service)
        fence = self._fences.get(name)
        return fence is None or not fence.token
