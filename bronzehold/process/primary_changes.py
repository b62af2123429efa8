"""Carries out the changes of primary that `promotions` decides on.

A change has one target at a time, whose promotion is ordered until a later term
has a leader. The order may be carried out late, or never; see
promotion_orders.py.
"""

import dataclasses

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_process
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
from bronzehold.process import successors as successors_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.process import write_drain
from bronzehold.process import write_hold
from bronzehold.version import succession

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


class PrimaryChanges:
    """The changes of primary of this proxy; used by one thread.

    Args:
        process: The process.
        tokens: The fencing tokens of the groups.
        orders: The orders of this proxy.
        fences: The fences of these orders.
        gossip: The exchange of digests.
    """

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        tokens: tokens_lib.Tokens,
        orders: promotion_orders.PromotionOrders,
        fences: fences_lib.Fences,
        gossip: gossip_lib.Gossip,
    ):
        self._tokens = tokens
        self._orders = orders
        self._fences = fences
        self._gossip = gossip
        self._drain = write_drain.WriteDrain(
            gossip=gossip, stop=process.tasks.stop
        )
        self._successors = successors_lib.Successors(
            timeline=process.timeline, stop=process.tasks.stop
        )
        self._changes: dict[str, PrimaryChange] = {}
        self._pause_check_due_at: dict[str, float] = {}
        self._hand_over_due_at: dict[str, float] = {}

    def is_in_progress(self, name: str) -> bool:
        """Returns whether a group's primary is being changed."""
        return name in self._changes

    def fence(self, service: platform_service.PlatformService) -> None:
        """Fences open orders; writes that have waited for that go on."""
        if not self._fences.send(service):
            return
        group = service.group
        if group.write_hold().until_decided:
            self._successors.find_paused(service)
            self._successors.resume(service)
            group.release_writes(group.hold_attempt())
            self._gossip.send_now()

    def replace(
        self, service: platform_service.PlatformService, reason: str
    ) -> None:
        """Replaces a primary that is lost, if a successor is found.

        Args:
            service: The service.
            reason: The evidence, for the event log.
        """
        name = service.limits.name
        leader = service.group.leader()
        replaced = leader.endpoint if leader else ""
        successor = self._successors.choose(service, replaced)
        if successor is None:
            return
        attempt = self._attempt_id(name) if service.limits.synchronous else ""
        self.begin(service, successor, replaced, reason, attempt)

    def begin(
        self,
        service: platform_service.PlatformService,
        successor: succession.Candidate,
        replaced: str,
        reason: str,
        attempt: str,
    ) -> None:
        """Starts a change by ordering its target.

        Args:
            service: The service.
            successor: The endpoint to promote.
            replaced: The endpoint to replace, "" if none is known.
            reason: The reason, for the event log.
            attempt: The name under which writes are held, "" if they are not.
        """
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
        outcome = self._orders.send(
            name, target, reason=reason, position=position
        )
        match outcome:
            case ports.Outranked() | ports.NotRunning():
                self.drop(service)
            case ports.Unanswered():
                self._changes[name].accepted_at = 0.0
            case ports.Ordered():
                self._changes[name].accepted_at = clock.now()

    def _hold_until_decided(
        self, service: platform_service.PlatformService, target: str
    ) -> None:
        """Holds writes until the outcome of the change in progress is known.

        What is acknowledged after the choice of the target could be missing in
        its log: a replica that starts meanwhile is not paused.
        """
        name = service.limits.name
        open_targets = {order.endpoint for order in self._orders.open(name)}
        targets = tuple(sorted(open_targets | {target}))
        service.group.hold_writes(
            write_hold.Hold(
                attempt=self._changes[name].attempt,
                expires_at=clock.now() + write_drain.HOLD_S,
                until_decided=True,
                targets=targets,
            )
        )
        self._gossip.send_now()

    def forget(self, service: platform_service.PlatformService) -> None:
        """Forgets what belongs to a token that this proxy does not hold."""
        name = service.limits.name
        self.drop(service)
        self._fences.drop(name)
        self._pause_check_due_at.pop(name, None)

    def drop(self, service: platform_service.PlatformService) -> None:
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

    def advance(self, service: platform_service.PlatformService) -> None:
        """Finishes the change in progress, repeats its order or gives it up."""
        change = self._changes[service.limits.name]
        group = service.group
        now = clock.now()
        leader = group.leader()
        if leader is not None and leader.term > change.term:
            self._finish(service, change, leader.endpoint)
            return
        service.wake_probe(change.target)
        if service.limits.synchronous:
            self._advance_synchronous(service, change)
            return
        if now - change.started_at > CHANGE_TIMEOUT_S:
            self.drop(service)
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

    def _finish(
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

    def _advance_synchronous(
        self, service: platform_service.PlatformService, change: PrimaryChange
    ) -> None:
        """Repeats an order whose outcome is not known, with a new choice.

        Writes are held, but a proxy that does not know of the change may have
        written, and a replica that was not paused may have confirmed that.
        """
        now = clock.now()
        if change.accepted_at:
            if now - change.accepted_at > CHANGE_TIMEOUT_S:
                self.drop(service)
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

    def _attempt_id(self, name: str) -> str:
        return f"{self._tokens.holder_id}/{self._tokens.known(name).number}"

    def may_hand_over(self, service: platform_service.PlatformService) -> bool:
        """Returns whether a planned change may be tried now."""
        due_at = self._hand_over_due_at.get(service.limits.name, 0.0)
        return (
            service.group.leader() is not None
            and clock.now() >= due_at
            and self._fences.may_hold_writes(service)
        )

    def hand_over(self, service: platform_service.PlatformService) -> None:
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
        self.begin(
            service,
            successor,
            leader.endpoint,
            "the primary is leaving",
            attempt,
        )

    # Replicas that are paused without a change.

    def resume_replicas(
        self, service: platform_service.PlatformService
    ) -> None:
        """Lets the replicas of a synchronous group receive while it is kept.

        One may be paused although this proxy resumed all: an earlier holder of
        the token has ended, or a pause arrived late. The order that belongs to
        the pause may still be carried out, so it is fenced first.
        """
        name = service.limits.name
        now = clock.now()
        if self._fences.is_required(name):
            return
        self._successors.resume(service)
        if now < self._pause_check_due_at.get(name, 0.0):
            return
        self._pause_check_due_at[name] = now + PAUSE_CHECK_INTERVAL_S
        if self._successors.find_paused(service):
            self._fences.require(name)
