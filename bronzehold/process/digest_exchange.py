"""Fills this proxy's digests and applies the digests of its peers.

Digests carry state that a proxy may be unable to observe itself: proofs of
freshness, the primary of each group, and the endpoints that are leaving. While
the store is unreachable, they also carry the configuration and the endpoints.
"""

from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.process import capacity_reports
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import group_views
from bronzehold.process import platform_group
from bronzehold.process import platform_process
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
from bronzehold.process import serving as serving_lib
from bronzehold.process import store_mirror as mirror_lib
from bronzehold.process import store_news as news_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.process import write_drain
from bronzehold.process import write_hold
from bronzehold.proto import gossip_pb2 as pb
from bronzehold.version import freshness
from bronzehold.version import members as members_lib
from bronzehold.version import succession

# Time for the store to deliver a configuration version that a peer already has,
# before peers are asked for it. It is several times the store's usual response
# time and well below the limit for a configuration change to take effect.
STORE_GRACE_S = 0.7


class DigestExchange:
    """Connects the gossip with the state of the process."""

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        gossip: gossip_lib.Gossip,
        mirror: mirror_lib.StoreMirror,
        tokens: tokens_lib.Tokens,
        orders: promotion_orders.PromotionOrders,
        fences: fences_lib.Fences,
        serving: serving_lib.Serving,
        news: news_lib.StoreNews,
    ):
        self._news = news
        self._process = process
        self._gossip = gossip
        self._mirror = mirror
        self._tokens = tokens
        self._orders = orders
        self._fences = fences
        # The highest token under which a fence was accepted, by service.
        self._fenced_tokens: dict[str, int] = {}
        self._serving = serving
        self._holds: dict[str, str] = {}
        self._newest_version = 1
        self._newest_version_at = 0.0
        gossip.fill_digest = self.fill_digest
        gossip.on_digest = self.receive
        gossip.has_urgent_changes = self._has_urgent_changes
        gossip.on_peers_changed = self._update_peers
        gossip.get_entries = self._pack_entries
        gossip.needs_entries = self.needs_entries

    def _update_peers(self) -> None:
        """Applies a change of the live peers to the serving sets and pools."""
        peers = [
            members_lib.Member(
                name=name,
                zone=heard.digest.zone,
                address=heard.digest.address,
            )
            for name, heard in self._gossip.live_peers().items()
            if heard.digest.zone and not heard.digest.stopping
        ]
        self._serving.set_peers(peers, self._gossip.heard_names())
        self._process.resize()

    # Sending.

    def _has_urgent_changes(self) -> bool:
        """Returns whether the next digest must go to all peers.

        This is so while writes are held, an order of this proxy is not answered
        or a primary is unreachable for a proxy that serves the group.
        """
        return any(
            service.group.hold_attempt()
            or self._has_unanswered_orders(service)
            or (service.serves() and service.group.primary_unreachable())
            for service in self._process.services()
        )

    def _has_unanswered_orders(
        self, service: platform_service.PlatformService
    ) -> bool:
        """Returns whether this proxy may be unable to use a token."""
        name = service.limits.name
        return self._tokens.holds(name) and self._orders.is_latest_unanswered(
            name
        )

    def needs_entries(self) -> bool:
        """Returns whether to ask peers for the configuration and endpoints.

        The store is the first source. Peers are asked if this proxy has no
        endpoints yet, if the store is unreachable and a peer has reported a
        change in it, or if a peer has a newer configuration and the store has
        not delivered it in time.
        """
        if not self._process.listings_received.is_set():
            return True
        if self._mirror.lacks_reported_change():
            return True
        if self._newest_version <= self._process.table().version:
            return False
        is_late = clock.now() - self._newest_version_at > STORE_GRACE_S
        return is_late or self._mirror.store_unreachable()

    def fill_digest(self, digest: pb.Digest, echoed_at: float) -> None:
        """Fills a digest.

        Args:
            digest: The digest; its header is already filled.
            echoed_at: Time of receipt of the digest whose timestamp is echoed,
                in seconds of clock.now().
        """
        digest.version = self._process.table().version
        digest.leaving.extend(self._mirror.leaving())
        self._fill_store_report(digest, echoed_at)
        for service in self._process.services():
            if self._has_news(service):
                digest.groups.append(self._group_view(service, echoed_at))
            digest.crowded.extend(service.crowded())
        capacity_reports.fill(digest, self._process.services())

    def _fill_store_report(self, digest: pb.Digest, echoed_at: float) -> None:
        report = self._news.report()
        digest.store_era = self._news.era()
        if report is not None and report.position.era == digest.store_era:
            digest.store_revision = report.position.revision
            digest.store_report_after_us = int(
                (report.at - echoed_at) * gossip_lib.MICROSECONDS_PER_S
            )

    def _group_view(
        self, service: platform_service.PlatformService, echoed_at: float
    ) -> pb.GroupView:
        own = group_views.own_view(service)
        group = service.group
        name = service.limits.name
        token = self._tokens.known(name)
        hold = group.write_hold()
        view = pb.GroupView(
            service=name,
            leader=own.leader,
            term=own.term,
            reach=group_views.NUMBER_BY_REACH[own.reach],
            token=token.number,
            holder=token.holder,
            held_for=hold.attempt,
            held_until_decided=hold.until_decided,
            hold_targets=hold.targets,
            quiet=group.drained(),
            orders_unanswered_ms=int(
                self._orders.unanswered_s(name) / data.MILLISECOND
            ),
            fenced_token=self._fences.accepted_token(name),
        )
        proof = group.proofs.newest()
        if proof is not None:
            view.proof_term = proof.position.term
            view.proof_number = proof.position.number
            view.proof_after_us = int(
                (proof.at - echoed_at) * gossip_lib.MICROSECONDS_PER_S
            )
        return view

    def _has_news(self, service: platform_service.PlatformService) -> bool:
        """Returns whether a digest has to hold this proxy's view of a group.

        A proxy that does not serve the group has its view from others, unless
        it was asked to probe the primary, takes part in a planned change,
        cannot use the group's token or has fenced orders that peers wait for.
        """
        group = service.group
        return (
            service.serves()
            or bool(group.hold_attempt())
            or group.has_writes_in_flight()
            or self._orders.is_latest_unanswered(service.limits.name)
            or self._fences.accepted_token(service.limits.name) > 0
            or group_views.own_view(service).reach
            is not succession.Reach.UNKNOWN
        )

    def _pack_entries(self) -> bytes:
        return gossip_lib.pack_entries(self._mirror.raw_entries())

    # Receiving.

    def receive(self, received: gossip_lib.ReceivedDigest) -> None:
        """Applies a peer's digest."""
        digest = received.digest
        self._serving.note_heard(
            digest.proxy, digest.uptime_ms / gossip_lib.MILLISECONDS_PER_S
        )
        if digest.version > self._newest_version:
            if self._newest_version <= self._process.table().version:
                self._newest_version_at = clock.now()
            self._newest_version = digest.version
        if digest.entries:
            self._mirror.apply_peer_entries(
                gossip_lib.unpack_entries(digest.entries), digest.proxy
            )
        self._mirror.mark_leaving(digest.leaving)
        self._note_store_report(received)
        for endpoint in digest.crowded:
            for service in self._process.services():
                service.recall(endpoint)
        capacity_reports.apply(digest, self._process.services())
        for view in digest.groups:
            service = self._process.service(view.service)
            if service is not None:
                self._apply_group_view(service, view, received)

    def _note_store_report(self, received: gossip_lib.ReceivedDigest) -> None:
        digest = received.digest
        self._news.note_peer_era(digest.store_era)
        if not digest.store_revision or received.time_base is None:
            return
        at = (
            received.time_base
            + digest.store_report_after_us / gossip_lib.MICROSECONDS_PER_S
        )
        self._news.note_report(
            news_lib.Report(
                position=ports.Position(
                    era=digest.store_era, revision=digest.store_revision
                ),
                at=min(at, clock.now()),
            )
        )

    def _apply_group_view(
        self,
        service: platform_service.PlatformService,
        view: pb.GroupView,
        received: gossip_lib.ReceivedDigest,
    ) -> None:
        group = service.group
        name = service.limits.name
        self._tokens.note_peer_number(name, view.token)
        if view.holder == _process_id(received.digest):
            self._tokens.note_peer_holds(name, view.token)
        if view.leader and view.reach == pb.HEARD:
            group.apply_peer_leader(view.leader, view.term)
            group.note_peer_reached(view.leader)
        if view.reach == pb.GONE and view.leader:
            # Probing at once shows whether this proxy reaches the primary; its
            # next digest reports that to the peers.
            service.wake_probe(view.leader)
        primary_lost = view.reach == pb.GONE or not view.leader
        if primary_lost and self._tokens.holds(name):
            # The peers rely on this proxy, which holds the promotion token, as
            # long as they receive its digests.
            self._gossip.reply(received)
        if view.proof_term and received.time_base is not None:
            position = statements.LogPosition(
                term=view.proof_term, number=view.proof_number
            )
            at = (
                received.time_base
                + view.proof_after_us / gossip_lib.MICROSECONDS_PER_S
            )
            if at <= clock.now() and view.proof_term >= group.term():
                group.proofs.add(freshness.Proof(position=position, at=at))
        self._apply_hold(service, view, received.digest)

    def _apply_hold(
        self,
        service: platform_service.PlatformService,
        view: pb.GroupView,
        digest: pb.Digest,
    ) -> None:
        group = service.group
        name = service.limits.name
        if view.fenced_token > self._fenced_tokens.get(name, 0):
            self._fenced_tokens[name] = view.fenced_token
            group.release_fenced(view.fenced_token)
        is_holder = view.held_for.startswith(f"{digest.proxy}/")
        if view.held_for and (is_holder or self._is_left_hold(group, view)):
            hold = write_hold.Hold(
                attempt=view.held_for,
                expires_at=clock.now() + write_drain.HOLD_S,
                until_decided=view.held_until_decided,
                targets=tuple(view.hold_targets),
            )
            if hold.until_decided and self._is_fenced(name, hold):
                return
            group.hold_writes(hold)
            self._holds[name] = view.held_for
            self._gossip.send_now()
        elif self._holds.get(name, "").startswith(f"{digest.proxy}/"):
            self._release(service, digest)

    def _is_left_hold(
        self, group: platform_group.PlatformGroup, view: pb.GroupView
    ) -> bool:
        """Returns whether a peer holds writes for a proxy that has ended.

        A process that has started since has not heard the proxy itself.
        """
        name, _, _ = view.held_for.partition("/")
        return (
            view.held_until_decided
            and name not in self._gossip.live_peers()
            and not group.hold_attempt()
            and view.term >= group.term()
        )

    def _is_fenced(self, name: str, hold: write_hold.Hold) -> bool:
        """Returns whether the orders of a change are fenced already."""
        return hold.token() < self._fenced_tokens.get(name, 0)

    def _release(
        self, service: platform_service.PlatformService, digest: pb.Digest
    ) -> None:
        """Ends the hold of a peer that holds no writes back any more.

        A process that has just started does not know of the orders that an
        earlier process of its name has left open.
        """
        name = service.limits.name
        attempt = self._holds[name]
        is_restarted = not attempt.startswith(f"{_process_id(digest)}/")
        if is_restarted and service.group.write_hold().until_decided:
            return
        del self._holds[name]
        service.group.release_writes(attempt)


def _process_id(digest: pb.Digest) -> str:
    """Returns the name under which the sender's process holds tokens."""
    return f"{digest.proxy}/{digest.incarnation}"
