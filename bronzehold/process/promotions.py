"""Fails over the primaries of groups whose primary the platform fences.

In each group one proxy, the holder of its fencing token (see tokens.py), may
order a change of primary. A holder keeps its token until it is gone or cannot
use it (see claims.py).

`succession` decides from the views of all proxies whether a change is needed;
this module collects the views, and `primary_changes` carries the change out.
"""

import collections.abc

from bronzehold.core import clock
from bronzehold.process import claims as claims_lib
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import group_views
from bronzehold.process import platform_process
from bronzehold.process import platform_service
from bronzehold.process import primary_changes
from bronzehold.process import promotion_orders
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
        self._gossip = gossip
        self._claims = claims_lib.Claims(
            own=process.name,
            tokens=tokens,
            orders=orders,
            gossip=gossip,
            drain_s=drain_s,
        )
        self._fences = fences
        self._published_views: dict[str, succession.View] = {}
        self._changes = primary_changes.PrimaryChanges(
            process=process,
            tokens=tokens,
            orders=orders,
            fences=fences,
            gossip=gossip,
        )
        # A process that has just started knows neither peers nor endpoints, so
        # its first evaluation waits.
        self._evaluate_from = clock.now() + EVIDENCE_RECOVERY_S

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
            self._changes.forget(service)
            self._claim(service)
            return
        if self._changes.is_in_progress(name):
            self._changes.advance(service)
            return
        if service.group.write_hold().until_decided:
            # The change was given up, or another holder has left it.
            self._fences.require(name)
        decision = self._decide(service)
        is_urgent = isinstance(decision, succession.Replace)
        if self._fences.is_required(name) and not is_urgent:
            self._changes.fence(service)
        match decision:
            case succession.Replace(reason=reason):
                self._changes.replace(service, reason)
            case succession.HandOver() if self._changes.may_hand_over(service):
                self._changes.hand_over(service)
            case succession.Keep() if service.group.primary_unreachable():
                # A proxy that is gone counts against a majority as long as its
                # registration is known.
                self._request_members()
            case succession.Keep() if service.limits.synchronous:
                self._resume_replicas(service)

    def _resume_replicas(
        self, service: platform_service.PlatformService
    ) -> None:
        if self._is_primary_reached(service):
            self._changes.resume_replicas(service)

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
