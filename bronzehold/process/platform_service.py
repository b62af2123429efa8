"""A service whose primary the platform fences.

It owns the service's group state, one connection pool per endpoint, and the
probes of the endpoints.
"""

import collections.abc
import dataclasses

from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import budget
from bronzehold.process import capacities as capacities_lib
from bronzehold.process import capacity as capacity_lib
from bronzehold.process import platform_group
from bronzehold.process import pool as pool_lib
from bronzehold.process import probes as probes_lib
from bronzehold.process import serving as serving_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.request import comparison
from bronzehold.request import placement

# An endpoint queues statements beyond its slots, so a proxy may have more in
# flight than its share. This keeps all slots busy while another proxy is idle.
EXTRA_SLOTS = 2
POOL_QUEUE_S = 0.5
# The largest fraction of an endpoint's connections that one proxy uses.
MAX_BORROWED_SHARE = 0.5
# The fraction of its share that a proxy uses after all proxies have restarted.
RESTART_SHARE = 0.5
# A proxy that others forward to counts as serving until this long after their
# last statement, also outside of the serving set: the proxy in the set does not
# answer then.
FORWARDED_S = 2.0
# Connections to an endpoint of another region, where workspaces have theirs at
# the proxies of that region: one for probes, one for statements that could not
# be forwarded.
FAR_CONNECTIONS = 2
# The endpoint still counts the connections of an instance that lost power, so
# unused connections are closed early.
MAX_IDLE_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """The process-wide dependencies of a service.

    Attributes:
        zone: This proxy's availability zone.
        regions: The region of each availability zone.
        timeline: The event log of the process.
        dial: A function that opens a connection to an endpoint.
        spawn_lasting: A function that starts a task which continues after an
            error.
        serving: The proxies that serve each service.
        cut_off: A function that returns whether this proxy reaches neither its
            peers nor the store. An endpoint that it cannot reach then may be
            healthy.
        fleet_restarted: A function that returns whether most proxies have just
            started, so that the endpoints may still count connections of the
            processes before.
        shutdown: The planned stop of the process.
        has_workspaces: A function that returns whether the configuration names
            workspaces, so that connections belong to them.
    """

    zone: str
    regions: dict[str, str]
    timeline: timeline_lib.Timeline
    dial: ports.Dial
    spawn_lasting: collections.abc.Callable[..., object]
    serving: serving_lib.Serving
    cut_off: collections.abc.Callable[[], bool]
    fleet_restarted: collections.abc.Callable[[], bool]
    shutdown: shutdown_lib.Shutdown
    has_workspaces: collections.abc.Callable[[], bool] = lambda: False


class PlatformService:
    """A configured service with its group, pools and probes."""

    def __init__(self, *, env: Environment, limits: routes.ServiceLimits):
        self.env = env
        self.limits = limits
        self.group = platform_group.PlatformGroup(
            name=limits.name,
            timeline=env.timeline,
            limit_deadline=env.shutdown.limit,
        )
        self.budget = budget.RetryBudget()
        self.capacities = capacities_lib.Capacities(
            group=limits.name, timeline=env.timeline
        )
        self._pools: dict[str, pool_lib.Pool] = {}
        self.probes = probes_lib.Probes(service=self)
        self._forwarded_at = -FORWARDED_S

    # Configuration and endpoints.

    def apply(
        self,
        limits: routes.ServiceLimits,
        listings: dict[str, routes.Listing],
    ) -> None:
        """Applies the configured limits and the endpoints listed now."""
        self.limits = limits
        old = self.group.listings()
        for name in set(self._pools) - set(listings):
            self._remove_endpoint(name)
        for name, listing in listings.items():
            old_listing = old.get(name)
            if old_listing is not None and _restarted_or_moved(
                old_listing, listing
            ):
                self._remove_endpoint(name)
        self.group.set_listings(listings)
        for name, listing in listings.items():
            if name not in self._pools:
                self._add_endpoint(listing)
            old_listing = old.get(name)
            if old_listing is not None and listing.leads != old_listing.leads:
                self.probes.wake(name)
        self.resize()
        self.probes.refresh()

    def _add_endpoint(self, listing: routes.Listing) -> None:
        self._pools[listing.id] = pool_lib.Pool(
            endpoint=_endpoint(listing, self.env.regions),
            dial=lambda _, owner: self._dial(listing, owner),
            limits=self._caps(listing),
            queue_timeout_s=POOL_QUEUE_S,
            idle_timeout_s=MAX_IDLE_S,
            capacity=capacity_lib.Capacity(slots=listing.slots),
        )
        self.probes.add(listing.id)

    def _remove_endpoint(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close()
        self.probes.remove(name)

    def resize(self) -> None:
        """Resizes the pools to this proxy's share of each endpoint's limits."""
        for name, listing in self.group.listings().items():
            pool = self._pools.get(name)
            if pool is not None:
                pool.resize(self._caps(listing))

    def _caps(self, listing: routes.Listing) -> pool_lib.Limits:
        max_connections = self.limits.connections
        # A proxy that does not serve the service keeps one connection for
        # statements that it could not forward.
        sharing = self.env.serving.share_count(self.limits)
        share = max(1, max_connections // max(1, sharing))
        if self.env.has_workspaces():
            share = self._share_by_region(listing)
        if not self.serves():
            share = 1
        slots = listing.slots + EXTRA_SLOTS
        if self.env.fleet_restarted() and not self.env.serving.all_serve(
            self.limits
        ):
            # The rest is left for lost connections, so that a proxy that starts
            # a little later finds some too. In a small fleet a share is small,
            # and its proxies keep few idle connections that could be lost.
            return pool_lib.Limits(
                connections=max(1, int(share * RESTART_SHARE)), slots=slots
            )
        max_overflow = min(
            slots, int(max_connections * MAX_BORROWED_SHARE) - share
        )
        return pool_lib.Limits(
            connections=share, slots=slots, max_overflow=max(0, max_overflow)
        )

    def _share_by_region(self, listing: routes.Listing) -> int:
        """Returns this proxy's share of an endpoint's connections.

        Statements of workspaces are forwarded to the region of their endpoint,
        so the serving proxies there need nearly all of its connections.
        """
        env = self.env
        region = env.regions.get(listing.zone, listing.zone)
        near_count = env.serving.count_in_region(self.limits, region)
        far_count = env.serving.count(self.limits) - near_count
        if not near_count:
            return max(1, self.limits.connections // max(1, far_count + 1))
        if region != env.regions.get(env.zone, env.zone):
            return FAR_CONNECTIONS
        reserved = FAR_CONNECTIONS * (far_count + 1)
        return max(1, (self.limits.connections - reserved) // near_count)

    def home_region(self, *, on_primary: bool) -> str:
        """Returns the region whose proxies run a workspace's statement.

        Args:
            on_primary: Whether the statement needs the primary. It crosses to
                the primary's region in any case, and its proxies there share
                connections.
        """
        zone = self.env.zone
        leader = self.group.leader()
        if on_primary and leader is not None:
            listing = self.group.listings().get(leader.endpoint)
            zone = zone if listing is None else listing.zone
        return self.env.regions.get(zone, zone)

    def region_with_homes(self, endpoint: str) -> str | None:
        """Returns the region whose proxies have connections to an endpoint.

        Returns:
            Another region than this proxy's with serving proxies; None if there
            is none.
        """
        env = self.env
        listing = self.group.listings().get(endpoint)
        if listing is None:
            return None
        region = env.regions.get(listing.zone, listing.zone)
        is_own = region == env.regions.get(env.zone, env.zone)
        if is_own or not env.serving.count_in_region(self.limits, region):
            return None
        return region

    def serves(self) -> bool:
        """Returns whether this proxy is one of those that serve the service."""
        return self._replaces_another() or self.env.serving.serves(self.limits)

    def note_forwarded(self) -> None:
        """Records that another proxy has forwarded a statement to this one."""
        is_new = not self.serves()
        self._forwarded_at = clock.now()
        if is_new:
            self.resize()
            self.probes.refresh()

    def _replaces_another(self) -> bool:
        return clock.now() - self._forwarded_at < FORWARDED_S

    def pool(self, endpoint: str) -> pool_lib.Pool | None:
        """Returns the pool of an endpoint, None if it is not listed."""
        return self._pools.get(endpoint)

    def crowded(self) -> list[str]:
        """Returns the endpoints that refused a connection within the share."""
        pools = list(self._pools.items())
        return [name for name, pool in pools if pool.share_refused()]

    def recall(self, endpoint: str) -> None:
        """Releases a loaned connection to which a peer is entitled."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            pool.release_overflow()

    def sweep(self) -> None:
        """Closes idle connections, and starts probes that have become due."""
        self.resize()
        # Without reads, this is where a change of primary is noticed. Of the
        # other services, nothing is learned.
        if self.serves():
            self._update_capacities()
        for pool in list(self._pools.values()):
            pool.close_excess_idle()
        self.probes.refresh()

    def close(self) -> None:
        """Ends the probes and closes the pools."""
        for name in list(self._pools):
            self._remove_endpoint(name)

    # Candidates for placement.

    def _update_capacities(self) -> None:
        """Compares the endpoints that accept new work."""
        leader = self.group.leader()
        self.capacities.update(
            {
                name: self._pools[name]
                for name, listing in self.group.listings().items()
                if not listing.leaving and name in self._pools
            },
            leader=None if leader is None else leader.endpoint,
        )

    def pools(self) -> dict[str, pool_lib.Pool]:
        """Returns the pools by endpoint id."""
        return dict(self._pools)

    def candidates(
        self,
        required: statements.LogPosition,
        target_s: float | None = None,
    ) -> list[placement.Candidate]:
        """Returns the endpoints that accept new work.

        Args:
            required: The log position that the work requires; it enters each
                candidate's catch-up estimate.
            target_s: The target time of the read's route in seconds; a read
                whose target it fits may try a slow endpoint.
        """
        env = self.env
        self._update_capacities()
        leader = self.group.leader()
        found = []
        for name, listing in self.group.listings().items():
            pool = self._pools.get(name)
            contact = self.group.contact(name)
            if listing.leaving or not (pool and contact):
                continue
            load = pool.load()
            region = env.regions.get(listing.zone, listing.zone)
            cause = self.capacities.cause(name)
            candidate = placement.Candidate(
                endpoint=name,
                same_zone=listing.zone == env.zone,
                same_region=region == env.regions.get(env.zone, env.zone),
                is_primary=leader is not None and leader.endpoint == name,
                failing=contact.failing_since > 0,
                recent_duration_s=load.service_s if load.measured else 0.0,
                expected_wait_s=load.wait_s,
                connections_exhausted=load.full,
                lag_s=self.group.catch_up_s(name, required),
                slow=cause is comparison.Cause.SLOW,
                unreliable=cause is comparison.Cause.FAILING,
            )
            measured = pool.measurement() if cause is not None else None
            if measured is not None and placement.may_try(candidate):
                trial = self.capacities.try_trial(
                    name, measured, target_s=target_s
                )
                candidate = dataclasses.replace(candidate, trial=trial)
            found.append(candidate)
        return found

    # Failures.

    def note_connection_lost(self, name: str) -> None:
        """Records that a connection to an endpoint was lost or timed out."""
        self.group.note_failing(name, refused=False)
        pool = self._pools.get(name)
        if pool is not None:
            pool.close_idle()
        self.wake_probe(name)

    def note_dial_failed(self, name: str, exc: ports.DialError) -> None:
        """Records that a connection to an endpoint could not be opened."""
        match exc.failure:
            case ports.DialFailure.TOO_MANY_CONNECTIONS:
                self.group.note_answered(name)
            case ports.DialFailure.NO_ANSWER:
                self.group.note_failing(name, refused=False)
            case ports.DialFailure.LOCAL:
                self.env.timeline.count("connection not opened by this proxy")
            case _:
                self.group.note_failing(name, refused=True)

    def note_busy(self, name: str) -> None:
        """Records that an endpoint refused a statement due to a full queue."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.record_queue_full()

    def note_round_trip(self, name: str, duration_s: float) -> None:
        """Records how long an endpoint took for a status command."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.record_round_trip(duration_s)

    def note_failed(self, name: str) -> None:
        """Records that a statement failed or that its answer was lost."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.record_failure()

    def note_not_leading(self, name: str) -> None:
        """Records that an endpoint does not lead and probes for the primary."""
        self.group.note_not_leading(name)
        self.probes.wake_all()

    def wake_probe(self, name: str) -> None:
        """Probes an endpoint soon."""
        self.probes.wake(name)

    def probe(
        self,
        name: str,
        command: statements.StatusCommand = statements.GET_STATUS,
    ) -> statements.Status | None:
        """Sends a command for an endpoint's status now, None if it has none."""
        return self.probes.probe(name, command)

    def dial(self, endpoint: str) -> ports.EndpointConn:
        """Opens a connection to an endpoint; raises ports.DialError."""
        listing = self.group.listings().get(endpoint)
        if listing is None:
            raise ports.DialError("it is not listed")
        return self._dial(listing)

    def _dial(
        self, listing: routes.Listing, owner: str = ""
    ) -> ports.EndpointConn:
        return self.env.dial(listing, self.env.shutdown.answer_by(), owner)

    def spawn_lasting(
        self, name: str, task: collections.abc.Callable[[], None]
    ) -> None:
        """Starts a task that is restarted after an exception ends it."""
        self.env.spawn_lasting(name, task)


def _restarted_or_moved(old: routes.Listing, new: routes.Listing) -> bool:
    return (old.host, old.port, old.started_ms) != (
        new.host,
        new.port,
        new.started_ms,
    )


def _endpoint(
    listing: routes.Listing, regions: dict[str, str]
) -> data.Endpoint:
    return data.Endpoint(
        name=listing.id,
        host=listing.host,
        port=listing.port,
        zone=listing.zone,
        region=regions.get(listing.zone, listing.zone),
        connections=0,
        slots=listing.slots,
    )
