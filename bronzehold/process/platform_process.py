"""The state of a proxy process on the platform, where primaries are fenced.

It holds the configuration, the services and the callers' connections, and lets
open transactions finish when the process stops. Nothing is persisted here:
configuration, registrations and fencing tokens are in the platform's store, and
all other state is rebuilt after a start.
"""

import collections.abc
import threading

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.core import events
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import settings
from bronzehold.process import byte_budget
from bronzehold.process import drain as drain_lib
from bronzehold.process import limit_events
from bronzehold.process import metrics
from bronzehold.process import open_connections
from bronzehold.process import platform_service
from bronzehold.process import rate_limiter as rate_limiter_lib
from bronzehold.process import resource_limits
from bronzehold.process import serving as serving_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import tasks
from bronzehold.process import timeline as timeline_lib

# The interval between sweeps that close idle connections. Peers share the
# endpoint's connection limit and may need the connections that are idle here.
SWEEP_INTERVAL_S = 0.5


class PlatformProcess:
    """The configuration, services and callers of one process.

    One lock guards its state. Listeners, the store mirror and the exposition
    of metrics share this object.

    Attributes:
        cfg: The process's settings.
        name: The proxy's name.
        timeline: The event log of the process.
        tasks: The background tasks of the process.
        metrics: The request latencies and counts.
        config_received: An event that is set once a configuration is in force.
        listings_received: An event that is set once the endpoints are listed.
        shutdown: The planned stop of the process.
        limits: The limits on memory and connections.
        budget: The memory for messages and answers.
        callers: The connections of callers.
        forwarded: The connections of proxies that forward statements here.
        port_closed: Whether a stop has closed the callers' port.
        stop_listening: A function that closes the port. The listener sets it.
        keys_confirmed: A function that returns whether the configuration was
            confirmed recently enough to trust keys.
        rate_limiter: The limits of the workspaces, None before it is set.
    """

    def __init__(
        self,
        *,
        cfg: settings.PlatformSettings,
        timeline: timeline_lib.Timeline,
        dial: ports.Dial,
        serving: serving_lib.Serving,
        cut_off: collections.abc.Callable[[], bool],
        fleet_restarted: collections.abc.Callable[[], bool],
    ):
        shutdown = shutdown_lib.Shutdown()
        self.cfg = cfg
        self.name = cfg.name
        self.timeline = timeline
        self.tasks = tasks.Tasks(timeline=timeline)
        self.metrics = metrics.Metrics()
        self.config_received = threading.Event()
        self.listings_received = threading.Event()
        self._env = platform_service.Environment(
            zone=cfg.zone,
            regions=cfg.regions,
            timeline=timeline,
            dial=dial,
            spawn_lasting=self.tasks.spawn_lasting,
            serving=serving,
            cut_off=cut_off,
            fleet_restarted=fleet_restarted,
            shutdown=shutdown,
            has_workspaces=lambda: self._table.workspaces is not None,
        )
        self._lock = threading.Lock()
        self._table = routes.EMPTY_TABLE
        self._listings: dict[str, routes.Listing] = {}
        self._services: dict[str, platform_service.PlatformService] = {}
        self.shutdown = shutdown
        self.limits = resource_limits.derive(
            memory_mb=cfg.memory_mb,
            max_descriptors=cfg.max_descriptors,
            receive_budget_mb=cfg.receive_budget_mb,
        )
        self.budget = byte_budget.Budget(
            total=self.limits.budget_bytes,
            report=limit_events.reporter(
                timeline, "receive_budget_mb", self.limits.budget_bytes
            ),
        )
        self.callers = open_connections.OpenConnections[
            open_connections.CallerConnection
        ]()
        self.forwarded = open_connections.OpenConnections()
        self.port_closed = False
        self.stop_listening: collections.abc.Callable[[], None] = lambda: None
        self.keys_confirmed: collections.abc.Callable[[], bool] = lambda: True
        self.rate_limiter: rate_limiter_lib.RateLimiter | None = None

    # Configuration, services and endpoints.

    def table(self) -> routes.Table:
        """Returns the configuration in force."""
        return self._table

    def find_route(self, database: str) -> routes.Route | None:
        """Returns the route of a database, or None if it is not configured."""
        return self._table.routes.get(database)

    def service(self, name: str) -> platform_service.PlatformService | None:
        """Returns a service by its name, or None if it is not configured."""
        return self._services.get(name)

    def services(self) -> list[platform_service.PlatformService]:
        """Returns all services."""
        return list(self._services.values())

    def adopt_table(self, table: routes.Table, source: str) -> bool:
        """Puts a configuration in force if it is newer than the present one.

        Args:
            table: The configuration.
            source: The origin of the configuration, for the event log.

        Returns:
            False if it is older than the one in force.
        """
        with self._lock:
            if table.version <= self._table.version:
                return table.version == self._table.version
            self._table = table
            self._apply()
        self.config_received.set()
        self.timeline.add(
            events.ConfigAdopted(revision=table.version, source=source)
        )
        return True

    def set_listings(self, listings: dict[str, routes.Listing]) -> None:
        """Replaces the listed endpoints of all services and logs changes.

        Args:
            listings: All listed endpoints by name.
        """
        with self._lock:
            old = self._listings
            self._listings = listings
            self._apply()
        self.listings_received.set()
        for name, listing in listings.items():
            if old.get(name) != listing:
                self.timeline.add(
                    endpoint_events.EndpointListed(
                        group=listing.service,
                        endpoint=name,
                        zone=listing.zone,
                        leaving=listing.leaving,
                        leads=listing.leads,
                    )
                )
        for name in old.keys() - listings.keys():
            self.timeline.add(
                endpoint_events.EndpointGone(
                    group=old[name].service, endpoint=name
                )
            )

    def _apply(self) -> None:
        limits = self._table.services
        for name in set(self._services) - set(limits):
            self._services.pop(name).close()
        for name, service_limits in limits.items():
            service = self._services.get(name)
            if service is None:
                service = platform_service.PlatformService(
                    env=self._env, limits=service_limits
                )
                self._services[name] = service
            service.apply(
                service_limits,
                {
                    key: listing
                    for key, listing in self._listings.items()
                    if listing.service == name
                },
            )

    def resize(self) -> None:
        """Recomputes this proxy's share of the limits for every pool."""
        for service in self.services():
            service.resize()

    def sweep(
        self, close_idle_links: collections.abc.Callable[[], None]
    ) -> None:
        """Closes idle connections at intervals until the process stops.

        Args:
            close_idle_links: Closes idle connections to other proxies.
        """
        while not self.tasks.stop.wait(SWEEP_INTERVAL_S):
            for service in self.services():
                service.sweep()
            if self._table.workspaces is not None:
                if self.rate_limiter is not None:
                    self.rate_limiter.sweep()
                for connection in self.callers.list():
                    connection.end_if_revoked()
            close_idle_links()

    # Callers.

    def ready(self) -> bool:
        """Returns whether the proxy should receive new connections."""
        return (
            self.config_received.is_set()
            and self.listings_received.is_set()
            and not self.shutdown.begun.is_set()
            and not self._is_isolated_from_primary()
        )

    def _is_isolated_from_primary(self) -> bool:
        """Returns whether the fault is this proxy's own network.

        It reaches neither its peers nor the store, and a primary is
        unreachable, so another proxy can serve what this one cannot.
        """
        return self._env.cut_off() and any(
            service.group.primary_unreachable() for service in self.services()
        )

    # Stopping.

    def drain(self) -> None:
        """Stops the process as planned; returns when it may exit."""
        schedule = drain_lib.make_schedule(clock.now(), self.cfg.stop_s)
        if not self.shutdown.begin(schedule):
            return
        drain_lib.Drain(
            schedule=schedule,
            callers=self.callers,
            forwarded=self.forwarded,
            timeline=self.timeline,
            close_port=self._close_port,
        ).run(min(drain_lib.READINESS_NOTICE_S, self.cfg.stop_s / 2))
        self.tasks.close()

    def _close_port(self) -> None:
        self.port_closed = True
        self.stop_listening()

    def close(self) -> None:
        """Stops immediately, without a notice to callers."""
        self.tasks.close()
        for connection in (*self.callers.list(), *self.forwarded.list()):
            connection.end()
        for service in self.services():
            service.close()
