"""The operator API of a proxy of the PostgreSQL path.

The operators' command line calls it over gRPC, on the server of `peers`. It
reports the state of one proxy and starts planned stops and changes of primary.
The field names of the report classes are the keys of the JSON reply.
"""

import dataclasses
import json
import time

from bronzehold.core import structure
from bronzehold.process import etcd_store
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import peer_pb2 as pb
from bronzehold.proto import peer_pb2_grpc
from bronzehold.version import change as change_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointReport:
    """The state of one endpoint as a proxy observes it.

    Attributes:
        endpoint: Name of the endpoint.
        role: Role that the endpoint last reported, or "unknown".
        term: Term that the endpoint last reported, 0 if none.
        received: Last log position that the endpoint holds.
        applied: Last log position that is visible to the endpoint's readers.
        silent_ms: Time since the endpoint last answered, in ms.
        leaving: True if the endpoint is being drained and gets no new work.
        running: Number of this proxy's statements in flight, short and long.
        waiting: Number of requests in this proxy's queue.
        open: Number of this proxy's open connections, idle ones included.
        connections_cap: This proxy's share of the connections.
        slots_cap: Maximum number of this proxy's statements in flight.
    """

    endpoint: str
    role: str
    term: int
    received: int
    applied: int
    silent_ms: int
    leaving: bool
    running: int
    waiting: int
    open: int
    connections_cap: int
    slots_cap: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupReport:
    """The state of one service's group as a proxy observes it.

    Attributes:
        service: Name of the service.
        primary: Primary of the latest grant, "" if there was none.
        term: Term of the latest grant, 0 if there was none.
        granted: True if a grant is in force now.
        spent_seconds: Statement seconds that all proxies have used in the
            current window.
        spend_cap: Quota of statement seconds in each window, 0 for none.
        endpoints: State of each endpoint of the group.
    """

    service: str
    primary: str
    term: int
    granted: bool
    spent_seconds: float
    spend_cap: int
    endpoints: tuple[EndpointReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyReport:
    """The latencies of one kind of request.

    Attributes:
        service: Name of the service.
        work: Statement kind, "read" or "write".
        place: Role of the endpoint, "replica" or "primary", or "none" if no
            endpoint ran the request.
        outcome: "ok", the SQLSTATE of the endpoint's error, or the outcome and
            SQLSTATE of the proxy's own failure.
        count: Number of requests.
        p50_ms: Median latency in ms.
        p99_ms: 99th percentile of the latency in ms.
        max_ms: Highest latency in ms.
    """

    service: str
    work: str
    place: str
    outcome: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxyReport:
    """The state of one proxy.

    Attributes:
        proxy: Name of the proxy.
        zone: Availability zone of the proxy.
        revision: Revision of the configuration in force.
        callers: Number of connected callers.
        stopping: True if a planned stop has begun.
        peers: Names of the live peers.
        groups: State of each service's group.
        latencies: Latencies of the requests that the proxy has answered.
    """

    proxy: str
    zone: str
    revision: int
    callers: int
    stopping: bool
    peers: tuple[str, ...]
    groups: tuple[GroupReport, ...]
    latencies: tuple[LatencyReport, ...]


class OperatorServicer(peer_pb2_grpc.OperatorServicer):
    """Serves the operator calls of one proxy."""

    def __init__(self, proxy):
        self._proxy = proxy

    def Status(self, request, context):
        """Returns the state of the proxy as JSON."""
        fields = structure.unstructure(status(self._proxy))
        return pb.StatusReply(json=json.dumps(fields).encode())

    def Timeline(self, request, context):
        """Returns the proxy's events and its wall clock.

        The clock lets the caller align the events of several proxies.
        """
        entries = self._proxy.timeline.entries_after(request.after)
        lines = [
            json.dumps(timeline_lib.to_json_fields(e)).encode() for e in entries
        ]
        return pb.TimelineReply(events=lines, clock_ns=time.time_ns())

    def Drain(self, request, context):
        """Starts a planned stop of the proxy."""
        self._proxy.drain()
        return pb.Empty()

    def Promote(self, request, context):
        """Makes a planned change of primary and waits for its result."""
        try:
            result = self._proxy.failover.promote(request.group, request.target)
        except etcd_store.EtcdError as exc:
            return pb.PromoteReply(why=f"platform: {exc}")
        match result:
            case change_lib.Promoted(term=term, primary=primary):
                return pb.PromoteReply(done=True, term=term, primary=primary)
            case change_lib.NotPromoted(term=term, why=why):
                return pb.PromoteReply(term=term, why=why)


def status(proxy) -> ProxyReport:
    """Returns the state of a proxy."""
    return ProxyReport(
        proxy=proxy.cfg.name,
        zone=proxy.cfg.zone,
        revision=proxy.catalog.revision,
        callers=proxy.caller_count(),
        stopping=proxy.stopping,
        peers=tuple(sorted(proxy.peers.live_peers())),
        groups=tuple(_group_report(s) for s in proxy.catalog.all()),
        latencies=tuple(_latency_report(s) for s in proxy.metrics.summaries()),
    )


def _group_report(served) -> GroupReport:
    grant = served.group.last_grant()
    return GroupReport(
        service=served.service.name,
        primary=grant.primary if grant else "",
        term=grant.term if grant else 0,
        granted=served.group.grant() is not None,
        spent_seconds=round(served.quota_usage.total(served.service), 3),
        spend_cap=served.service.spend_seconds,
        endpoints=tuple(
            _endpoint_report(served, ep) for ep in served.service.endpoints
        ),
    )


def _endpoint_report(served, ep) -> EndpointReport:
    observation = served.group.observation(ep.name)
    load = served.pool(ep.name).load()
    return EndpointReport(
        endpoint=ep.name,
        role=observation.status.role.value if observation else "unknown",
        term=observation.status.term if observation else 0,
        received=observation.status.received if observation else 0,
        applied=observation.status.applied if observation else 0,
        silent_ms=int(served.group.silent_for(ep.name) * 1000),
        leaving=ep.leaving,
        running=load.running,
        waiting=load.waiting,
        open=load.open,
        connections_cap=load.limits.connections,
        slots_cap=load.limits.slots,
    )


def _latency_report(summary) -> LatencyReport:
    key = summary.key
    return LatencyReport(
        service=key.service,
        work=key.statement_kind,
        place=key.endpoint,
        outcome=key.outcome,
        count=summary.count,
        p50_ms=summary.p50_ms,
        p99_ms=summary.p99_ms,
        max_ms=summary.max_ms,
    )
