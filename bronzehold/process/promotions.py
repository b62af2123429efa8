"""Fails over the primaries of groups whose primary the platform fences.

In each group one proxy, the holder of its fencing token (see tokens.py), may
order a change of primary. A holder keeps its token until it is gone or cannot
use it (see claims.py).

`succession` decides from the views of all proxies whether a change is needed;
this module collects the views and carries the change out.
"""

import collections.abc
import dataclasses

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import claims as claims_lib
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import group_views
from bronzehold.process import platform_process
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
from bronzehold.process import successors as successors_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.process import write_drain
from bronzehold.process import write_hold
from bronzehold.version import succession

GROUP_EVALUATION_INTERVAL_S = 0.1
# A tick that is later than this means that the process was suspended.
TICK_STALL_S = 0.5
# After a start or a suspension, contacts are collected for this long before
# any group is evaluated.
EVIDENCE_RECOVERY_S = 1.0
# A group without a leader for longer than this has an endpoint promoted.
LEADERLESS_TIMEOUT_S = 1.5
# A change that has no effect after this is given up. The platform takes some
# hundred milliseconds to change a primary.
CHANGE_TIMEOUT_S = 2.5
ORDER_RETRY_S = 0.7
# Writes wait at most this long for a planned change: the platform takes up to a
# second, and callers have deadlines of some seconds.
MAX_WRITE_HOLD_S = 1.4
# Interval at which the replicas of a synchronous group are asked whether one is
# paused without a change in progress.
PAUSE_CHECK_INTERVAL_S = 5.0
# Writes go on for this long after a planned change that found no successor.
HAND_OVER_RETRY_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class PrimaryChange:
    """One change of primary in progress.

    All times are in seconds of clock.now().

    Attributes:
        term: The term that the change ends.
        replaced: The endpoint to replace, "" if none is known.
        target: The endpoint to promote.
        attempt: The name under which writes are held, "" if they are not.
        started_at: The time of the first order.
        ordered_at: The time of the latest order.
        accepted_at: The time at which the platform accepted the latest order,
            0 if that is not known.
    """

    term: int
    replaced: str
    target: str
    attempt: str
    started_at: float
    ordered_at: float
    accepted_at: float = 0.0


class Promotions:
    """The task that keeps a primary in every group.

    Args:
        process: The process.
        tokens: The fencing tokens of the groups.
        orders: The orders of this proxy.
        fences: The fences of these orders.
        gossip: The exchange of digests.
        drain_s: The time within which a leaving primary must be replaced, in
            seconds.
        request_members: Lets the registrations of the proxies be read soon.
    """

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        tokens: tokens_lib.Tokens,
        orders: promotion_orders.PromotionOrders,
        fences: fences_lib.Fences,
        gossip: gossip_lib.Gossip,
        drain_s: float,
        request_members: collections.abc.Callable[[], None],
    ):
        self._process = process
        self._request_members = request_members
        self._tokens = tokens
        self._orders = orders
        self._gossip = gossip
        self._claims = claims_lib.Claims(
            own=process.name,
            tokens=tokens,
            orders=orders,
            gossip=gossip,
            drain_s=drain_s,
        )
        self._fences = fences
        self._drain = write_drain.WriteDrain(
            gossip=gossip, stop=process.tasks.stop
        )
        self._published_views: dict[str, succession.View] = {}
        self._changes: dict[str, PrimaryChange] = {}
        # A process that has just started knows neither peers nor endpoints, so
        # its first evaluation waits.
        self._evaluate_from = clock.now() + EVIDENCE_RECOVERY_S
        self._successors = successors_lib.Successors(
            timeline=process.timeline, stop=process.tasks.stop
        )
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
            self._drop_change(service)
            self._fences.drop(name)
            self._pause_check_due_at.pop(name, None)
            self._claim(service)
            return
        change = self._changes.get(name)
        if change is not None:
            self._continue_change(service, change)
            return
        if service.group.write_hold().until_decided:
            # The change was given up, or another holder has left it.
            self._fences.require(name)
        decision = self._decide(service)
        is_urgent = isinstance(decision, succession.Replace)
        if self._fences.is_required(name) and not is_urgent:
            self._fence(service)
        match decision:
            case succession.Replace(reason=reason):
                self._replace_primary(service, reason)
            case succession.HandOver() if self._may_hand_over(service):
                self._hand_over_primary(service)
            case succession.Keep() if service.group.primary_unreachable():
                # A proxy that is gone counts against a majority as long as its
                # registration is known.
                self._request_members()
            case succession.Keep() if service.limits.synchronous:
                self._resume_replicas(service)

    def _claim(self, service: platform_service.PlatformService) -> None:
        """Claims the token if it is not in use.

        The earlier holder may have left orders open. Where replicas confirm
        commits, they are fenced at once; otherwise the next order does that.
        """
        claim = self._claims.claim(service)
        if claim is claims_lib.Claim.FROM_FAILING or (
            claim is not claims_lib.Claim.NONE and service.limits.synchronous
        ):
            self._fences.require(service.limits.name)

    def _fence(self, service: platform_service.PlatformService) -> None:
        """Fences open orders; writes that have waited for that go on."""
        if not self._fences.send(service):
            return
        group = service.group
        if group.write_hold().until_decided:
            self._successors.find_paused(service)
            self._successors.resume(service)
            group.release_writes(group.hold_attempt())
            self._gossip.send_now()

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
        if self._fences.is_required(name):
            return
        self._successors.resume(service)
        if now < self._pause_check_due_at.get(name, 0.0):
            return
        self._pause_check_due_at[name] = now + PAUSE_CHECK_INTERVAL_S
        if self._successors.find_paused(service):
            self._fences.require(name)

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
        name = service.limits.name
        leader = service.group.leader()
        replaced = leader.endpoint if leader else ""
        successor = self._successors.choose(service, replaced)
        if successor is None:
            return
        attempt = self._attempt_id(name) if service.limits.synchronous else ""
        self._begin_change(service, successor, replaced, reason, attempt)

    def _begin_change(
        self,
        service: platform_service.PlatformService,
        successor: succession.Candidate,
        replaced: str,
        reason: str,
        attempt: str,
    ) -> None:
        name = service.limits.name
        now = clock.now()
        # What remains open after the change is fenced then.
        self._fences.drop(name)
        self._changes[name] = PrimaryChange(
            term=service.group.term(),
            replaced=replaced,
            target=successor.endpoint,
            attempt=attempt,
            started_at=now,
            ordered_at=now,
        )
        self._order_target(
            service, successor.endpoint, reason, str(successor.received)
        )

    def _order_target(
        self,
        service: platform_service.PlatformService,
        target: str,
        reason: str,
        position: str,
    ) -> None:
        """Orders the target of a change under a token that allows for it.

        Without the store, a change may have no such token. Where replicas
        confirm commits, it waits for one. Elsewhere the order is sent with the
        present token, and the open one is fenced after the change.
        """
        name = service.limits.name
        is_synchronous = service.limits.synchronous
        if self._orders.needs_later_token(name, target):
            self._tokens.acquire(
                name, renew=True, reason="an order of another endpoint is open"
            )
            if is_synchronous and self._orders.needs_later_token(name, target):
                return
        if is_synchronous:
            self._hold_until_decided(service, target)
        self._send_order(service, target, reason, position)

    def _hold_until_decided(
        self, service: platform_service.PlatformService, target: str
    ) -> None:
        """Holds writes until the outcome of the change in progress is known.

        What is acknowledged after the choice of the target could be missing in
        its log: a replica that starts meanwhile is not paused.
        """
        name = service.limits.name
        open_targets = {order.endpoint for order in self._orders.open(name)}
        service.group.hold_writes(
            write_hold.Hold(
                attempt=self._changes[name].attempt,
                expires_at=clock.now() + write_drain.HOLD_S,
                until_decided=True,
                target=target if open_targets <= {target} else "",
            )
        )
        self._gossip.send_now()

    def _send_order(
        self,
        service: platform_service.PlatformService,
        target: str,
        reason: str,
        position: str,
    ) -> ports.OrderOutcome:
        name = service.limits.name
        outcome = self._orders.send(
            name, target, reason=reason, position=position
        )
        change = self._changes.get(name)
        match outcome:
            case ports.Outranked() | ports.NotRunning():
                self._drop_change(service)
            case ports.Unanswered() if change is not None:
                change.accepted_at = 0.0
            case ports.Ordered() if change is not None:
                change.accepted_at = clock.now()
        return outcome

    def _drop_change(self, service: platform_service.PlatformService) -> None:
        """Ends the change in progress without its effect.

        Where replicas confirm commits, writes wait until its orders are fenced.
        """
        name = service.limits.name
        change = self._changes.pop(name, None)
        if change is None:
            return
        if service.limits.synchronous or self._orders.open(name):
            self._fences.require(name)
        if not service.limits.synchronous:
            service.group.release_writes(change.attempt)
            self._gossip.send_now()

    def _continue_change(
        self, service: platform_service.PlatformService, change: PrimaryChange
    ) -> None:
        group = service.group
        now = clock.now()
        leader = group.leader()
        if leader is not None and leader.term > change.term:
            self._finish_change(service, change, leader.endpoint)
            return
        service.wake_probe(change.target)
        if service.limits.synchronous:
            self._continue_synchronous_change(service, change)
            return
        if now - change.started_at > CHANGE_TIMEOUT_S:
            self._drop_change(service)
            return
        if now - change.started_at < MAX_WRITE_HOLD_S:
            group.renew_hold(change.attempt, now + write_drain.HOLD_S)
        else:
            # The order was probably lost and the old primary still leads.
            group.release_writes(change.attempt)
        wait_s = ORDER_RETRY_S if change.accepted_at else 0.0
        if now - change.ordered_at > wait_s:
            change.ordered_at = now
            self._order_target(service, change.target, "no effect yet", "")

    def _finish_change(
        self,
        service: platform_service.PlatformService,
        change: PrimaryChange,
        leader: str,
    ) -> None:
        """Ends a change after which an endpoint leads a later term."""
        name = service.limits.name
        self._changes.pop(name, None)
        self._successors.note_promoted(name)
        open_targets = {order.endpoint for order in self._orders.open(name)}
        if open_targets:
            self._fences.require(name)
        if not service.limits.synchronous or open_targets <= {leader}:
            service.group.release_writes(change.attempt)
        self._gossip.send_now()

    def _continue_synchronous_change(
        self, service: platform_service.PlatformService, change: PrimaryChange
    ) -> None:
        """Repeats an order whose outcome is not known, with a new choice.

        Writes are held, but a proxy that does not know of the change may have
        written, and a replica that was not paused may have confirmed that.
        """
        now = clock.now()
        if change.accepted_at:
            if now - change.accepted_at > CHANGE_TIMEOUT_S:
                self._drop_change(service)
            return
        successor = self._successors.choose(service, change.replaced)
        if successor is None:
            return
        change.target = successor.endpoint
        change.ordered_at = now
        self._order_target(
            service,
            successor.endpoint,
            "no answer yet",
            str(successor.received),
        )

    # Planned changes.

    def _attempt_id(self, name: str) -> str:
        return f"{self._tokens.holder_id}/{self._tokens.known(name).number}"

    def _may_hand_over(self, service: platform_service.PlatformService) -> bool:
        """Returns whether a planned change may be tried now."""
        due_at = self._hand_over_due_at.get(service.limits.name, 0.0)
        return (
            service.group.leader() is not None
            and clock.now() >= due_at
            and self._fences.may_hold_writes(service)
        )

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
        attempt = self._attempt_id(name)
        self._drain.run(service, attempt)
        successor = self._successors.best_caught_up(service, leader.endpoint)
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
        self._begin_change(
            service,
            successor,
            leader.endpoint,
            "the primary is leaving",
            attempt,
        )
