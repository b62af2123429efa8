"""A configured service at run time, on the PostgreSQL path.

It owns the service's group state, retry budget, quota usage and duration
estimates, and one connection pool and one monitor per endpoint. The catalog
creates it and replaces its configuration.
"""

import collections.abc
import dataclasses
import typing

from bronzehold.connection import backend as backend_lib
from bronzehold.connection import client
from bronzehold.core import data
from bronzehold.core import ports
from bronzehold.core import settings
from bronzehold.process import budget
from bronzehold.process import group as group_lib
from bronzehold.process import group_monitor as monitor_lib
from bronzehold.process import lanes
from bronzehold.process import metrics as metrics_lib
from bronzehold.process import pool as pool_lib
from bronzehold.process import quota
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.request import durations

# The connection per endpoint that is reserved for its monitor.
CONTROL_CONNECTIONS = 1
# An endpoint queues statements beyond its slots, so a proxy may have more in
# flight than its share. This keeps all slots busy while another proxy is idle.
SLOT_OVERCOMMIT = 2

_T = typing.TypeVar("_T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """The process-wide dependencies of a service.

    Attributes:
        cfg: The process's settings.
        timeline: The event log of the process.
        metrics: The request latencies and counts of the process.
        spawn_lasting: A function that starts a task which continues after an
            error.
        proxy_count: A function that returns the number of proxies that share
            an endpoint's connections.
        slot_proxy_count: A function that returns the number of proxies that
            share an endpoint's slots.
        acquire_lane: A function that acquires a lane for long work of a
            group.
        release_lane: A function that releases such a lane.
        shutdown: The planned stop of the process, which limits all waits of
            requests.
    """

    cfg: settings.Settings
    timeline: timeline_lib.Timeline
    metrics: metrics_lib.Metrics
    spawn_lasting: collections.abc.Callable[..., object]
    proxy_count: collections.abc.Callable[[], int]
    slot_proxy_count: collections.abc.Callable[[], int]
    acquire_lane: collections.abc.Callable[[str, lanes.LaneRequest], str]
    release_lane: collections.abc.Callable[[str, str], None]
    shutdown: shutdown_lib.Shutdown


class ServiceRuntime:
    """A configured service with its group, pools and monitors.

    Attributes:
        env: The process-wide dependencies.
        service: The service's present configuration.
        group: The state of its endpoints and its primary's grant.
        budget: The budget that bounds retries.
        quota_usage: The statement seconds that the service has used.
        duration_estimator: The expected durations of statements by shape.
    """

    def __init__(self, *, env: Environment, service: data.Service):
        self.env = env
        self.service = service
        self.group = group_lib.Group(
            service=service, timing=env.cfg.timing, timeline=env.timeline
        )
        self.budget = budget.RetryBudget()
        self.quota_usage = quota.QuotaUsage()
        self.duration_estimator = durations.DurationEstimator()
        self._pools: dict[str, pool_lib.Pool] = {}
        self._monitors: dict[str, monitor_lib.EndpointMonitor] = {}
        self._apply(service)

    def replace(self, service: data.Service) -> None:
        """Applies a new version of the service's configuration."""
        self.service = service
        self.group.replace_service(service)
        self._apply(service)

    def _apply(self, service: data.Service) -> None:
        names = {ep.name for ep in service.endpoints}
        for name in set(self._pools) - names:
            self._remove_endpoint(name)
        for ep in service.endpoints:
            pool = self._pools.get(ep.name)
            if pool is not None and not _same_address(pool.endpoint, ep):
                self._remove_endpoint(ep.name)
            if ep.name not in self._pools:
                self._add_endpoint(ep)
        self.resize()

    def _remove_endpoint(self, name: str) -> None:
        self._monitors.pop(name).stop()
        self._pools.pop(name).close()

    def _add_endpoint(self, ep: data.Endpoint) -> None:
        self._pools[ep.name] = pool_lib.Pool(
            endpoint=ep,
            dial=lambda endpoint, _: self._dial_backend(endpoint),
            limits=self._pool_limits(ep),
            queue_timeout_s=self.env.cfg.timing.queue_ms * data.MILLISECOND,
        )
        monitor = monitor_lib.EndpointMonitor(
            group=self.group, endpoint=ep, dial=self.dial
        )
        self._monitors[ep.name] = monitor
        self.env.spawn_lasting(f"watcher {ep.name}", monitor.run)

    def resize(self) -> None:
        """Recomputes this proxy's share of each endpoint's limits."""
        for ep in self.service.endpoints:
            pool = self._pools.get(ep.name)
            if pool is not None:
                pool.resize(self._pool_limits(ep))

    def _pool_limits(self, ep: data.Endpoint) -> pool_lib.Limits:
        proxy_count = max(1, self.env.proxy_count())
        connections = ep.connections // proxy_count - CONTROL_CONNECTIONS
        slot_proxy_count = max(1, self.env.slot_proxy_count())
        slots = -(-ep.slots * SLOT_OVERCOMMIT // slot_proxy_count)
        return pool_lib.Limits(
            connections=max(1, connections), slots=max(1, slots)
        )

    def pool(self, endpoint: str) -> pool_lib.Pool | None:
        """Returns an endpoint's pool, or None if it is not configured."""
        return self._pools.get(endpoint)

    def pools(self) -> list[pool_lib.Pool]:
        """Returns all pools."""
        return list(self._pools.values())

    def _dial_backend(self, ep: data.Endpoint) -> backend_lib.Backend:
        limit_s = self.env.shutdown.limit_s
        try:
            conn = self.dial(ep, limit_s(backend_lib.DIAL_TIMEOUT_S))
        except client.ClientError as exc:
            raise ports.DialError(str(exc)) from exc
        return backend_lib.Backend(endpoint=ep, conn=conn, limit_s=limit_s)

    def call_control(
        self, endpoint: str, call: collections.abc.Callable[[client.Client], _T]
    ) -> _T:
        """Makes a control call over the connection of an endpoint's monitor.

        Args:
            endpoint: The endpoint's name.
            call: A function that makes the call with the connection.

        Returns:
            The result of the function.

        Raises:
            client.ClientError: The endpoint is not configured, did not answer,
                or refused.
        """
        monitor = self._monitors.get(endpoint)
        if monitor is None:
            raise client.ClientError(f"endpoint {endpoint} is not configured")
        return monitor.call_urgent(call)

    def dial(self, ep: data.Endpoint, timeout: float) -> client.Client:
        """Opens a connection to an endpoint of this service.

        Args:
            ep: The endpoint.
            timeout: The connection's timeout, in seconds.

        Returns:
            The connection.

        Raises:
            client.ClientError: The endpoint did not answer, or refused.
        """
        cfg = self.env.cfg
        return client.Client(
            host=ep.host,
            port=ep.port,
            database=self.service.name,
            name=cfg.name,
            zone=cfg.zone,
            region=cfg.region,
            user=cfg.endpoint_user,
            password=cfg.endpoint_password,
            timeout=timeout,
        )

    def close(self) -> None:
        """Stops the monitors and closes the pools."""
        for name in list(self._pools):
            self._remove_endpoint(name)


def _same_address(first: data.Endpoint, second: data.Endpoint) -> bool:
    return (first.host, first.port) == (second.host, second.port)
