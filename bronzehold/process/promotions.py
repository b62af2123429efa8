"""Fails over the primaries of groups whose primary the platform fences.

In each group one proxy, the holder of its fencing token (see tokens.py), may
order a change of primary. A holder keeps its token until it is gone.

`succession` decides from the views of all proxies whether a change is needed;
this module collects the views and carries the change out.
"""

import collections.abc
import dataclasses

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import promotion_events
from bronzehold.process import claims as claims_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import group_views
from bronzehold.process import platform_process
from bronzehold.process import platform_service
from bronzehold.process import successors as successors_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.version import succession

GROUP_EVALUATION_INTERVAL_S = 0.1
# A tick that is later than this means that the process was suspended.
TICK_STALL_S = 0.5
# After a start or a suspension, contacts are collected for this long before
# any group is evaluated.
EVIDENCE_RECOVERY_S = 1.0
# A group without a leader for longer than this has an endpoint promoted.
LEADERLESS_TIMEOUT_S = 1.5
# Writes in flight get this long to end before a planned change.
DRAIN_TIMEOUT_S = 0.5
# A change that has no effect after this is given up. The platform takes some
# hundred milliseconds to change a primary.
CHANGE_TIMEOUT_S = 2.5
ORDER_RETRY_S = 0.7
WRITE_HOLD_S = 0.8
# Writes wait at most this long for a planned change: the platform takes up to a
# second, and callers have deadlines of some seconds.
MAX_WRITE_HOLD_S = 1.4
FENCE_RETRY_S = 1.0
# Interval at which the replicas of a synchronous group are asked whether one is
# paused without a change in progress.
PAUSE_CHECK_INTERVAL_S = 5.0
# Writes go on for this long after a planned change that found no successor.
HAND_OVER_RETRY_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class PrimaryChange:
    """One change of primary in progress.

    Attributes:
        term: The term that the change ends.
        target: The endpoint to promote.
        started_at: The time of the first order, in seconds of clock.now().
        ordered_at: The time of the latest order, in seconds of clock.now().
        last_order_answered: True if the platform answered the latest order.
        has_unanswered_orders: True if the platform left any order unanswered;
            it may still carry that order out later.
    """

    term: int
    target: str
    started_at: float
    ordered_at: float
    last_order_answered: bool = True
    has_unanswered_orders: bool = False


class Promotions:
    """The task that keeps a primary in every group.

    Args:
        process: The process.
        tokens: The fencing tokens of the groups.
        promoter: The platform's interface for promotions.
        gossip: The exchange of digests.
        request_members: Lets the registrations of the proxies be read soon.
    """

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        tokens: tokens_lib.Tokens,
        promoter: ports.Promoter,
        gossip: gossip_lib.Gossip,
        request_members: collections.abc.Callable[[], None],
    ):
        self._process = process
        self._request_members = request_members
        self._tokens = tokens
        self._promoter = promoter
        self._gossip = gossip
        self._claims = claims_lib.Claims(
            own=process.name, tokens=tokens, gossip=gossip
        )
        self._fence_due_at: dict[str, float] = {}
        self._published_views: dict[str, succession.View] = {}
        self._changes: dict[str, PrimaryChange] = {}
        # A process that has just started knows neither peers nor endpoints, so
        # its first evaluation waits.
        self._evaluate_from = clock.now() + EVIDENCE_RECOVERY_S
        self._successors = successors_lib.Successors(timeline=process.timeline)
        self._pause_check_due_at: dict[str, float] = {}
        self._hand_over_due_at: dict[str, float] = {}

    # Evaluation of the groups.

    def run(self) -> None:
        """Evaluates every group once per tick until the process stops."""
        stop = self._process.tasks.stop
        last = clock.now()
        while not stop.wait(GROUP_EVALUATION_INTERVAL_S):
            now = clock.now()
            if now - last > TICK_STALL_S:
                self._evaluate_from = now + EVIDENCE_RECOVERY_S
                for service in self._process.services():
                    service.group.reset_contacts()
            last = now
            for service in self._process.services():
                self._publish_view(service)
                self._check_group(service)
            last = clock.now()

    def _publish_view(self, service: platform_service.PlatformService) -> None:
        """Gossips at once if this proxy's view of a group has changed.

        A proxy that serves the group tells all, and wakes the probes of the
        others. Those tell the token holder only: told to all, the number of
        datagrams would grow with the square of the fleet.
        """
        name = service.limits.name
        view = group_views.own_view(service)
        if view.reach is succession.Reach.UNKNOWN:
            return
        if self._published_views.get(name) == view:
            return
        self._published_views[name] = view
        holder, _, _ = self._tokens.known(name).holder.partition("/")
        heard = self._gossip.live_peers().get(holder)
        if service.serves() or heard is None:
            self._gossip.send_now()
        else:
            self._gossip.reply(heard)

    def _check_group(self, service: platform_service.PlatformService) -> None:
        name = service.limits.name
        if clock.now() < self._evaluate_from or self._gossip.stopping:
            return
        if not self._tokens.holds(name):
            self._changes.pop(name, None)
            self._pause_check_due_at.pop(name, None)
            self._claims.claim(service)
            return
        change = self._changes.get(name)
        if change is not None:
            self._continue_change(service, change)
            return
        if name in self._fence_due_at:
            self._fence_old_orders(service)
        match self._decide(service):
            case succession.Replace(reason=reason):
                self._replace_primary(service, reason)
            case succession.HandOver():
                self._hand_over_primary(service)
            case succession.Keep() if service.group.primary_unreachable():
                # A proxy that is gone counts against a majority as long as its
                # registration is known.
                self._request_members()
            case succession.Keep() if service.limits.synchronous:
                self._resume_replicas(service)

    def _resume_replicas(
        self, service: platform_service.PlatformService
    ) -> None:
        """Lets the replicas of a synchronous group receive while it is kept.

        One may be paused although this proxy resumed all: an earlier holder of
        the token has ended, or a pause arrived late. The order that belongs to
        the pause may still be carried out, so it is fenced first.
        """
        name = service.limits.name
        now = clock.now()
        if not self._is_primary_reached(service):
            return
        if name in self._fence_due_at:
            return
        self._successors.resume(service)
        if now < self._pause_check_due_at.get(name, 0.0):
            return
        self._pause_check_due_at[name] = now + PAUSE_CHECK_INTERVAL_S
        if self._successors.find_paused(service):
            self._fence_due_at[name] = now

    def _peer_views(
        self, service: platform_service.PlatformService
    ) -> dict[str, succession.View]:
        return {
            name: view
            for name, heard in self._gossip.live_peers().items()
            for view in group_views.peer_views(heard, service.limits.name)
        }

    def _is_primary_reached(
        self, service: platform_service.PlatformService
    ) -> bool:
        """Returns whether a proxy has an answer of the known primary."""
        own = group_views.own_view(service)
        # Without a term, the primary is known from its listing only.
        return own.term > 0 and any(
            (view.leader, view.term) == (own.leader, own.term)
            and view.reach is succession.Reach.REACHED
            for view in (own, *self._peer_views(service).values())
        )

    def _decide(
        self, service: platform_service.PlatformService
    ) -> succession.Decision:
        group = service.group
        own = group_views.own_view(service)
        listing = group.listings().get(own.leader)
        views = self._peer_views(service)
        serving = service.env.serving.names(service.limits)
        return succession.decide(
            own,
            list(views.values()),
            serving=[
                view
                for name, view in {**views, self._process.name: own}.items()
                if name in serving
            ],
            serving_proxies=len(serving),
            proxies=self._gossip.share_count(),
            leaving=listing is not None and listing.leaving,
            leaderless_s=group.leaderless_s(),
            leaderless_timeout_s=LEADERLESS_TIMEOUT_S,
        )

    def _replace_primary(
        self, service: platform_service.PlatformService, reason: str
    ) -> None:
        leader = service.group.leader()
        successor = self._successors.choose(
            service, leader.endpoint if leader else ""
        )
        if successor is not None:
            self._begin_change(service, successor, reason)

    def _begin_change(
        self,
        service: platform_service.PlatformService,
        successor: succession.Candidate,
        reason: str,
    ) -> None:
        name = service.limits.name
        now = clock.now()
        self._changes[name] = PrimaryChange(
            term=service.group.term(),
            target=successor.endpoint,
            started_at=now,
            ordered_at=now,
        )
        self._send_order(
            service, successor.endpoint, reason, str(successor.received)
        )

    def _send_order(
        self,
        service: platform_service.PlatformService,
        target: str,
        reason: str,
        position: str,
    ) -> ports.OrderOutcome:
        name = service.limits.name
        token = self._tokens.known(name)
        if not self._tokens.can_use(name, token):
            # Another proxy has acquired a later token since this change was
            # decided; its token must not be used.
            self._changes.pop(name, None)
            return ports.Outranked()
        outcome = self._promoter.promote(
            service=name,
            endpoint=target,
            holder=self._process.name,
            token=token.number,
        )
        self._process.timeline.add(
            promotion_events.PromotionOrdered(
                group=name,
                token=token.number,
                primary=target,
                position=position,
                why=reason,
                outcome=type(outcome).__name__,
            )
        )
        match outcome:
            case ports.Outranked():
                self._tokens.note_outranked(name, token)
                self._changes.pop(name, None)
            case ports.NotRunning():
                self._changes.pop(name, None)
            case ports.Unanswered():
                self._note_unanswered(name)
            case ports.Ordered():
                self._note_answered(name)
        return outcome

    def _note_unanswered(self, name: str) -> None:
        change = self._changes.get(name)
        if change is not None:
            change.last_order_answered = False
            change.has_unanswered_orders = True

    def _note_answered(self, name: str) -> None:
        change = self._changes.get(name)
        if change is not None:
            change.last_order_answered = True

    def _continue_change(
        self, service: platform_service.PlatformService, change: PrimaryChange
    ) -> None:
        name = service.limits.name
        group = service.group
        now = clock.now()
        leader = group.leader()
        if leader is not None and leader.term > change.term:
            self._changes.pop(name, None)
            self._successors.note_promoted(name)
            group.release_writes(self._attempt_id(name))
            self._gossip.send_now()
            if change.has_unanswered_orders:
                self._fence_due_at[name] = now
            return
        if now - change.started_at > CHANGE_TIMEOUT_S:
            self._changes.pop(name, None)
            group.release_writes(self._attempt_id(name))
            if service.limits.synchronous:
                # The order may still be carried out. The replicas stay paused
                # until it is fenced: the chosen one has to hold all that is
                # acknowledged.
                self._fence_due_at[name] = now
            return
        if now - change.started_at < MAX_WRITE_HOLD_S:
            group.renew_hold(self._attempt_id(name), now + WRITE_HOLD_S)
        else:
            # The order was probably lost and the old primary still leads.
            group.release_writes(self._attempt_id(name))
        service.wake_probe(change.target)
        wait_s = ORDER_RETRY_S if change.last_order_answered else 0.0
        if now - change.ordered_at > wait_s:
            change.ordered_at = now
            self._send_order(service, change.target, "no effect yet", "")

    def _fence_old_orders(
        self, service: platform_service.PlatformService
    ) -> None:
        """Invalidates earlier orders that the platform never answered.

        The platform may carry out such an order seconds later and so undo a
        newer change. It rejects the order once it has seen a higher token, so
        this proxy acquires one and orders the present leader under it.
        """
        name = service.limits.name
        now = clock.now()
        leader = service.group.leader()
        if leader is None or now < self._fence_due_at[name]:
            return
        self._fence_due_at[name] = now + FENCE_RETRY_S
        old_number = self._tokens.known(name).number
        self._tokens.acquire(name, renew=True)
        if self._tokens.known(
            name
        ).number == old_number or not self._tokens.holds(name):
            return
        reason = "fence older orders"
        outcome = self._send_order(service, leader.endpoint, reason, "")
        if not isinstance(outcome, ports.Unanswered):
            del self._fence_due_at[name]

    # Planned changes.

    def _attempt_id(self, name: str) -> str:
        return f"{self._tokens.holder_id}/{self._tokens.known(name).number}"

    def _hand_over_primary(
        self, service: platform_service.PlatformService
    ) -> None:
        """Replaces a primary that is leaving, without losing a write.

        All proxies hold new writes back and let those in flight end. The order
        is sent once the successor holds the whole log of the primary.
        """
        group = service.group
        name = service.limits.name
        leader = group.leader()
        if leader is None or clock.now() < self._hand_over_due_at.get(name, 0):
            return
        attempt = self._attempt_id(name)
        group.hold_writes(attempt, clock.now() + DRAIN_TIMEOUT_S + WRITE_HOLD_S)
        self._gossip.send_now()
        deadline = clock.now() + DRAIN_TIMEOUT_S
        while clock.now() < deadline and not self._all_drained(
            service, attempt
        ):
            self._process.tasks.stop.wait(0.02)
        successor = self._wait_for_successor(service, leader.endpoint)
        if service.limits.synchronous:
            # The logs have caught up as far as they would; now they are
            # compared while nothing can be acknowledged.
            successor = self._successors.choose(service, leader.endpoint)
        if successor is None:
            group.release_writes(attempt)
            if service.limits.synchronous:
                self._successors.resume(service)
                retry_at = clock.now() + HAND_OVER_RETRY_S
                self._hand_over_due_at[name] = retry_at
            return
        self._begin_change(service, successor, "the primary is leaving")

    def _all_drained(
        self, service: platform_service.PlatformService, attempt: str
    ) -> bool:
        if not service.group.drained():
            return False
        for heard in self._gossip.live_peers().values():
            for view in heard.digest.groups:
                if view.service == service.limits.name and not (
                    view.quiet and view.held_for == attempt
                ):
                    return False
        return True

    def _wait_for_successor(
        self, service: platform_service.PlatformService, leader: str
    ) -> succession.Candidate | None:
        """Returns the best successor, if possible one that has caught up.

        The logs are compared with the primary's up to three times.
        """
        status = service.probe(leader)
        for _ in range(3):
            successor = self._successors.best(service, leader)
            if status is None or successor is None:
                return successor
            if successor.received >= status.received:
                return successor
            self._process.tasks.stop.wait(0.03)
        return successor
