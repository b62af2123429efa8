"""A service whose primary the platform fences.

It owns the service's group state, one connection pool per endpoint, and the
tasks that probe the endpoints for their status.
"""

import collections.abc
import dataclasses
import threading
import time

from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import budget
from bronzehold.process import platform_group
from bronzehold.process import pool as pool_lib
from bronzehold.process import serving as serving_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import window as window_lib
from bronzehold.request import placement

PROBE_TIMEOUT_S = 0.3
# A probe that waits longer than this for a pooled connection opens a new one.
PROBE_POOL_WAIT_S = 0.02
# Freshness proofs must be much younger than the shortest data age that a route
# tolerates.
PRIMARY_PROBE_INTERVAL_S = 0.6
FAILING_PROBE_INTERVAL_S = 0.3
REPLICA_PROBE_INTERVAL_S = 5.0
SEARCH_PROBE_INTERVAL_S = 0.1
# A proxy that does not serve the service probes only when it is woken or no
# peer has told it the primary for this long.
OUTSIDE_PROBE_INTERVAL_S = 5.0
OUTSIDE_SEARCH_DELAY_S = 3.0
PROBE_PRIORITY = -1
# An endpoint queues statements beyond its slots, so a proxy may have more in
# flight than its share. This keeps all slots busy while another proxy is idle.
EXTRA_SLOTS = 2
POOL_QUEUE_S = 0.5
# The largest fraction of an endpoint's connections that one proxy uses.
MAX_BORROWED_SHARE = 0.5
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
    """

    zone: str
    regions: dict[str, str]
    timeline: timeline_lib.Timeline
    dial: ports.Dial
    spawn_lasting: collections.abc.Callable[..., object]
    serving: serving_lib.Serving
    cut_off: collections.abc.Callable[[], bool]


class PlatformService:
    """A configured service with its group, pools and probes."""

    def __init__(self, *, env: Environment, limits: routes.ServiceLimits):
        self.env = env
        self.limits = limits
        self.group = platform_group.PlatformGroup(
            name=limits.name, timeline=env.timeline
        )
        self.budget = budget.RetryBudget()
        self._pools: dict[str, pool_lib.Pool] = {}
        self._probe_wakes: dict[str, threading.Event] = {}

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
                self._probe_wakes[name].set()
        self.resize()

    def _add_endpoint(self, listing: routes.Listing) -> None:
        self._pools[listing.id] = pool_lib.Pool(
            endpoint=_endpoint(listing, self.env.regions),
            dial=lambda _: self.env.dial(listing),
            limits=self._caps(listing),
            queue_timeout_s=POOL_QUEUE_S,
            idle_timeout_s=MAX_IDLE_S,
            window=window_lib.Window(size=listing.slots),
        )
        wake = threading.Event()
        self._probe_wakes[listing.id] = wake
        self.env.spawn_lasting(
            f"probe {listing.id}", lambda: self._run_probes(listing, wake)
        )

    def _remove_endpoint(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        wake = self._probe_wakes.pop(name, None)
        if pool is not None:
            pool.close()
        if wake is not None:
            wake.set()

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
        if not self.serves():
            share = 1
        slots = listing.slots + EXTRA_SLOTS
        max_overflow = min(
            slots, int(max_connections * MAX_BORROWED_SHARE) - share
        )
        return pool_lib.Limits(
            connections=share, slots=slots, max_overflow=max(0, max_overflow)
        )

    def serves(self) -> bool:
        """Returns whether this proxy is one of those that serve the service."""
        return self.env.serving.serves(self.limits)

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
        """Closes idle connections that are no longer needed."""
        for pool in list(self._pools.values()):
            pool.close_excess_idle()

    def close(self) -> None:
        """Ends the probes and closes the pools."""
        for name in list(self._pools):
            self._remove_endpoint(name)

    # Candidates for placement.

    def candidates(
        self, required: statements.LogPosition
    ) -> list[placement.Candidate]:
        """Returns the endpoints that accept new work.

        Args:
            required: The log position that the work requires; it enters each
                candidate's catch-up estimate.
        """
        env = self.env
        leader = self.group.leader()
        found = []
        for name, listing in self.group.listings().items():
            pool = self._pools.get(name)
            contact = self.group.contact(name)
            if listing.leaving or not (pool and contact):
                continue
            load = pool.load()
            region = env.regions.get(listing.zone, listing.zone)
            found.append(
                placement.Candidate(
                    endpoint=name,
                    same_zone=listing.zone == env.zone,
                    same_region=region == env.regions.get(env.zone, env.zone),
                    is_primary=leader is not None and leader.endpoint == name,
                    failing=contact.failing_since > 0,
                    recent_duration_s=load.service_s if load.measured else 0.0,
                    expected_wait_s=load.wait_s,
                    connections_exhausted=load.full,
                    lag_s=self.group.catch_up_s(name, required),
                )
            )
        return found

    # Probes.

    def wake_probes(self) -> None:
        """Wakes the probes of all endpoints."""
        for wake in list(self._probe_wakes.values()):
            wake.set()

    def _run_probes(
        self, listing: routes.Listing, wake: threading.Event
    ) -> None:
        name = listing.id
        while self._probe_wakes.get(name) is wake:
            urgent = wake.is_set()
            wake.clear()
            if urgent or self._probe_due(name):
                self.probe(name)
            wake.wait(self._probe_interval_s(name))

    def _probe_interval_s(self, name: str) -> float:
        if not self.serves():
            return OUTSIDE_PROBE_INTERVAL_S
        leader = self.group.leader()
        if leader is None or self.group.is_failing(leader.endpoint):
            return SEARCH_PROBE_INTERVAL_S
        if self.group.is_failing(name):
            return FAILING_PROBE_INTERVAL_S
        return (
            PRIMARY_PROBE_INTERVAL_S
            if leader.endpoint == name
            else REPLICA_PROBE_INTERVAL_S
        )

    def _probe_due(self, name: str) -> bool:
        leader = self.group.leader()
        if not self.serves():
            # Digests name the primary; without them it has to be searched.
            return (
                leader is None
                and self.group.leaderless_s() > OUTSIDE_SEARCH_DELAY_S
            )
        if leader is None or leader.term == 0 or self.group.is_failing(name):
            return True
        if leader.endpoint != name:
            # While the primary fails, the other endpoints are probed to find
            # its successor.
            return self.group.is_failing(leader.endpoint)
        newest = self.group.proofs.newest()
        return (
            newest is None or clock.now() - newest.at > PRIMARY_PROBE_INTERVAL_S
        )

    def probe(self, name: str) -> statements.Status | None:
        """Requests an endpoint's status, over a pooled connection if possible.

        Returns:
            The status, None if the endpoint did not report one.
        """
        pool = self._pools.get(name)
        listing = self.group.listings().get(name)
        if pool is None or listing is None:
            return None
        try:
            return self._probe_pooled(name, pool)
        except errors.FailureError:
            # All connections are in use, perhaps because the endpoint does not
            # answer on any of them.
            return self._probe_new_connection(name, listing)
        except ports.DialError as exc:
            self.note_dial_failed(name, exc)
            return None

    def _probe_pooled(
        self, name: str, pool: pool_lib.Pool
    ) -> statements.Status | None:
        conn = pool.acquire(
            session="probe",
            deadline=time.monotonic() + PROBE_TIMEOUT_S,
            priority=PROBE_PRIORITY,
            max_wait_s=PROBE_POOL_WAIT_S,
        )
        usable = False
        try:
            usable, status = self._request_status(name, conn)
            return status
        finally:
            pool.end_statement(None)
            pool.release(conn, reusable=usable)

    def _probe_new_connection(
        self, name: str, listing: routes.Listing
    ) -> statements.Status | None:
        try:
            conn = self.env.dial(listing)
        except ports.DialError as exc:
            self.note_dial_failed(name, exc)
            return None
        try:
            return self._request_status(name, conn)[1]
        finally:
            conn.close()

    def _request_status(
        self, name: str, conn: ports.EndpointConn
    ) -> tuple[bool, statements.Status | None]:
        """Returns whether the connection is usable, and the status if any."""
        sent = clock.now()
        try:
            status = conn.status(sent + PROBE_TIMEOUT_S)
        except ports.RefusedStatusError:
            self.group.note_answered(name)
            return True, None
        except ports.TransportError:
            self.note_connection_lost(name)
            return False, None
        self.group.note_status(name, status, sent)
        return True, status

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
            case _:
                self.group.note_failing(name, refused=True)

    def note_busy(self, name: str) -> None:
        """Records that an endpoint refused a statement due to a full queue."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.record_queue_full()

    def note_not_leading(self, name: str) -> None:
        """Records that an endpoint does not lead and probes for the primary."""
        self.group.note_not_leading(name)
        self.wake_probes()

    def wake_probe(self, name: str) -> None:
        """Wakes the probe of an endpoint."""
        wake = self._probe_wakes.get(name)
        if wake is not None:
            wake.set()


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
