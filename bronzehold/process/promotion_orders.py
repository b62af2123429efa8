"""Sends orders to promote an endpoint, and keeps track of their outcomes.

The platform may leave an order unanswered and carry it out seconds later, also
after newer orders. It rejects an order whose token is lower than one that it
has seen. An order without a known outcome is therefore open until an order with
a higher token is accepted.
"""

import dataclasses

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import promotion_events
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import tokens as tokens_lib

# A single order may be left unanswered although the platform takes the next.
MIN_UNANSWERED_ORDERS = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OpenOrder:
    """An order without a known outcome.

    Attributes:
        endpoint: The endpoint to promote.
        token: The fencing token of the order.
    """

    endpoint: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredOrders:
    """Successive orders of a group that were not answered.

    All times are in seconds of clock.now().

    Attributes:
        since: The time of the first one.
        latest_at: The time of the latest one.
        count: Their number.
    """

    since: float
    latest_at: float
    count: int


class PromotionOrders:
    """The orders of this proxy; one thread sends, any thread may query.

    Args:
        holder: The name of this proxy.
        tokens: The fencing tokens of the groups.
        promoter: The platform's interface for promotions.
        timeline: The event log of the process.
        failure_memory_s: The time after its latest unanswered order for which
            this proxy counts as unable to reach the platform, in seconds.
    """

    def __init__(
        self,
        *,
        holder: str,
        tokens: tokens_lib.Tokens,
        promoter: ports.Promoter,
        timeline: timeline_lib.Timeline,
        failure_memory_s: float,
    ):
        self._holder = holder
        self._tokens = tokens
        self._promoter = promoter
        self._timeline = timeline
        self._failure_memory_s = failure_memory_s
        self._open: dict[str, frozenset[OpenOrder]] = {}
        self._unanswered: dict[str, UnansweredOrders] = {}

    def send(
        self, service: str, endpoint: str, *, reason: str, position: str = ""
    ) -> ports.OrderOutcome:
        """Orders a promotion under the token that this proxy holds.

        Args:
            service: The name of the group's service.
            endpoint: The endpoint to promote.
            reason: The reason, for the event log.
            position: The endpoint's log position, for the event log.

        Returns:
            The outcome; Outranked without a call if the token cannot be used.
        """
        token = self._tokens.known(service)
        if not self._tokens.can_use(service, token):
            # Another proxy has acquired a later token since the caller decided
            # on this order; its token must not be used.
            return ports.Outranked()
        outcome = self._promoter.promote(
            service=service,
            endpoint=endpoint,
            holder=self._holder,
            token=token.number,
        )
        self._timeline.add(
            promotion_events.PromotionOrdered(
                group=service,
                token=token.number,
                primary=endpoint,
                position=position,
                why=reason,
                outcome=type(outcome).__name__,
                error=(
                    outcome.reason
                    if isinstance(outcome, ports.Unanswered)
                    else ""
                ),
            )
        )
        match outcome:
            case ports.Unanswered():
                self._note_unanswered(service, endpoint, token.number)
            case ports.Ordered():
                self._note_accepted(service, token.number)
            case ports.Outranked():
                self._unanswered.pop(service, None)
                self._tokens.note_outranked(service, token)
            case ports.NotRunning():
                self._unanswered.pop(service, None)
        return outcome

    def _note_unanswered(self, service: str, endpoint: str, token: int) -> None:
        now = clock.now()
        self._open[service] = self.open(service) | {
            OpenOrder(endpoint=endpoint, token=token)
        }
        earlier = self._recent_failure(service)
        self._unanswered[service] = UnansweredOrders(
            since=earlier.since if earlier else now,
            latest_at=now,
            count=earlier.count + 1 if earlier else 1,
        )

    def _note_accepted(self, service: str, token: int) -> None:
        self._unanswered.pop(service, None)
        self._open[service] = frozenset(
            order for order in self.open(service) if order.token >= token
        )

    def open(self, service: str) -> frozenset[OpenOrder]:
        """Returns the orders of a group that may still be carried out."""
        return self._open.get(service, frozenset())

    def needs_later_token(self, service: str, endpoint: str) -> bool:
        """Returns whether an order to promote an endpoint needs a later token.

        With the token of an open order that names another endpoint, either one
        could be carried out last.
        """
        number = self._tokens.known(service).number
        return any(
            order.token >= number and order.endpoint != endpoint
            for order in self.open(service)
        )

    # Failing calls.

    def _recent_failure(self, service: str) -> UnansweredOrders | None:
        unanswered = self._unanswered.get(service)
        if unanswered is None:
            return None
        age_s = clock.now() - unanswered.latest_at
        return unanswered if age_s < self._failure_memory_s else None

    def is_latest_unanswered(self, service: str) -> bool:
        """Returns whether the latest order of a group was not answered."""
        return self._recent_failure(service) is not None

    def unanswered_s(self, service: str) -> float:
        """Returns for how long no order of a group has been answered.

        Returns:
            The time in seconds since the first of several successive orders
            that were not answered, 0 if there are none.
        """
        failure = self._recent_failure(service)
        if failure is None or failure.count < MIN_UNANSWERED_ORDERS:
            return 0.0
        return clock.now() - failure.since

    def is_failing(self) -> bool:
        """Returns whether orders of any group are not answered."""
        return any(self.unanswered_s(name) for name in list(self._unanswered))
