"""The state of a proxy process on the platform, where primaries are fenced.

It holds the configuration, the services and the callers' connections, and lets
open transactions finish when the process stops. Nothing is persisted here:
configuration, registrations and fencing tokens are in the platform's store, and
all other state is rebuilt after a start.
"""

import collections.abc
import threading
import time
import typing

from bronzehold.core import events
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import settings
from bronzehold.process import metrics
from bronzehold.process import platform_service
from bronzehold.process import serving as serving_lib
from bronzehold.process import tasks
from bronzehold.process import timeline as timeline_lib

STOP_POLL_S = 0.02
# The interval between sweeps that close idle connections. Peers share the
# endpoint's connection limit and may need the connections that are idle here.
SWEEP_INTERVAL_S = 0.5
# The time for the load balancer to stop sending connections. It checks
# readiness once a second and removes an instance after two failed checks.
READINESS_NOTICE_S = 2.2
# The part of the stop time that is reserved for the process to exit.
EXIT_RESERVE_S = 0.5


class Caller(typing.Protocol):
    """The connection of a caller that the process serves."""

    def serve(self) -> None:
        """Answers statements until the caller disconnects."""

    def stop(self) -> None:
        """Closes the connection as soon as no transaction is open."""

    def end(self) -> None:
        """Closes the connection immediately, even during a request."""

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""

    def report_cut(self, cause: str) -> None:
        """Logs the request that ends without an answer, if there is one."""


class ForwardedWork(typing.Protocol):
    """The connection of a proxy that forwards statements to this one."""

    def serve(self) -> None:
        """Serves statements until the other proxy disconnects."""

    def end(self) -> None:
        """Closes the connection immediately, even during a request."""

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""

    def report_cut(self, cause: str) -> None:
        """Logs the request that ends without an answer, if there is one."""


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
        stop_listening: A function that closes the port. The listener sets it.
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
        )
        self._lock = threading.Lock()
        self._table = routes.EMPTY_TABLE
        self._listings: dict[str, routes.Listing] = {}
        self._services: dict[str, platform_service.PlatformService] = {}
        self._callers: dict[int, Caller] = {}
        self._forwarded: dict[str, ForwardedWork] = {}
        self._stopping = False
        self.stop_listening: collections.abc.Callable[[], None] = lambda: None

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

    def adopt_table(self, table: routes.Table, source: str) -> None:
        """Puts a configuration in force if it is newer than the present one.

        Args:
            table: The configuration.
            source: The origin of the configuration, for the event log.
        """
        with self._lock:
            if table.version <= self._table.version:
                return
            self._table = table
            self._apply()
        self.config_received.set()
        self.timeline.add(
            events.ConfigAdopted(revision=table.version, source=source)
        )

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
                    events.EndpointListed(
                        group=listing.service,
                        endpoint=name,
                        zone=listing.zone,
                        leaving=listing.leaving,
                        leads=listing.leads,
                    )
                )
        for name in old.keys() - listings.keys():
            self.timeline.add(
                events.EndpointGone(group=old[name].service, endpoint=name)
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
            close_idle_links()

    # Callers.

    def ready(self) -> bool:
        """Returns whether the proxy should receive new connections."""
        return (
            self.config_received.is_set()
            and self.listings_received.is_set()
            and not self._stopping
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

    def serve(self, number: int, caller: Caller) -> None:
        """Serves a caller until it disconnects.

        Args:
            number: The number of the caller's connection.
            caller: The connection.
        """
        with self._lock:
            self._callers[number] = caller
        try:
            caller.serve()
        finally:
            with self._lock:
                self._callers.pop(number, None)

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    def serve_forwarded(self, key: str, work: ForwardedWork) -> None:
        """Serves a connection of another proxy until it disconnects.

        Args:
            key: A name of the connection, unique in the process.
            work: The connection.
        """
        with self._lock:
            self._forwarded[key] = work
        try:
            work.serve()
        finally:
            with self._lock:
                self._forwarded.pop(key, None)

    def _list_forwarded(self) -> list[ForwardedWork]:
        with self._lock:
            return list(self._forwarded.values())

    def _list_callers(self) -> list[Caller]:
        with self._lock:
            return list(self._callers.values())

    # Stopping.

    def drain(self) -> None:
        """Stops the process after open transactions; returns when done.

        First the readiness check fails, and connections are still accepted
        until the load balancer has noticed; this takes at most half of the
        stop time. Then the port closes, and each caller's connection closes
        once no transaction is open. Transactions that are still open at the
        end of the stop time are cut.
        """
        started_at = time.monotonic()
        self._stopping = True
        callers = self._list_callers()
        self.timeline.add(events.ProxyStopping(callers=len(callers)))
        time.sleep(min(READINESS_NOTICE_S, self.cfg.stop_s / 2))
        self.stop_listening()
        callers = self._list_callers()
        self.timeline.add(
            events.CallersPortClosed(
                callers=len(callers), busy=sum(c.busy() for c in callers)
            )
        )
        deadline = started_at + self.cfg.stop_s - EXIT_RESERVE_S
        while time.monotonic() < deadline:
            callers = self._list_callers()
            for caller in callers:
                caller.stop()
            forwarded_busy = any(w.busy() for w in self._list_forwarded())
            if not (callers or forwarded_busy):
                break
            time.sleep(STOP_POLL_S)
        remaining = (*self._list_callers(), *self._list_forwarded())
        for work in remaining:
            work.report_cut("the process exits")
        cut_count = sum(work.busy() for work in remaining)
        self.timeline.add(events.ProxyStopped(cut=cut_count))
        self.tasks.close()

    def close(self) -> None:
        """Stops immediately and cuts the requests in progress."""
        self.tasks.close()
        for caller in self._list_callers():
            caller.end()
        for work in self._list_forwarded():
            work.end()
        for service in self.services():
            service.close()
