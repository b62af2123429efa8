"""Serves counters and latencies over HTTP in the text format of Prometheus."""

import collections.abc

from bronzehold.core import clock
from bronzehold.process import bounded_http
from bronzehold.process import metrics
from bronzehold.process import platform_process

METRICS_PATH = "/metrics"
IDLE_TIMEOUT_S = 30.0
METRIC_PREFIX = "bronzehold_"


def render(
    process: platform_process.PlatformProcess,
    extra_gauges: collections.abc.Mapping[str, float],
) -> bytes:
    """Returns all metrics of a process in the text format of Prometheus.

    Args:
        process: The process whose metrics are rendered.
        extra_gauges: Values of further gauges, by name without prefix.
    """
    # Imported here because most processes are never scraped, and they start
    # sooner without it.
    import prometheus_client  # noqa: PLC0415

    registry = prometheus_client.CollectorRegistry()
    _add_request_metrics(registry, prometheus_client, process.metrics)
    _add_group_metrics(registry, prometheus_client, process)
    for name, value in extra_gauges.items():
        gauge = prometheus_client.Gauge(
            METRIC_PREFIX + name, name, registry=registry
        )
        gauge.set(value)
    incidents = prometheus_client.Gauge(
        METRIC_PREFIX + "incidents",
        "What was counted",
        ["what"],
        registry=registry,
    )
    for incident, count in process.timeline.counts().items():
        incidents.labels(incident).set(count)
    return prometheus_client.generate_latest(registry)


def _add_request_metrics(registry, client, measures: metrics.Metrics) -> None:
    label_names = ["service", "work", "endpoint", "outcome"]
    count = client.Gauge(
        METRIC_PREFIX + "requests",
        "Statements answered",
        label_names,
        registry=registry,
    )
    latency = client.Gauge(
        METRIC_PREFIX + "latency_ms",
        "Time to answer",
        [*label_names, "quantile"],
        registry=registry,
    )
    for summary in measures.summaries():
        key = summary.key
        label_values = (
            key.service,
            key.statement_kind,
            key.endpoint,
            key.outcome,
        )
        count.labels(*label_values).set(summary.count)
        for quantile, value_ms in (
            ("0.5", summary.p50_ms),
            ("0.99", summary.p99_ms),
            ("1", summary.max_ms),
        ):
            latency.labels(*label_values, quantile).set(value_ms)


def _add_group_metrics(
    registry, client, process: platform_process.PlatformProcess
) -> None:
    def gauge(name: str, help_text: str, *labels: str):
        return client.Gauge(
            METRIC_PREFIX + name, help_text, labels, registry=registry
        )

    term = gauge("term", "Term of the primary, 0 for none", "service")
    proof_age = gauge("proof_age_ms", "Age of the newest proof", "service")
    writes_held = gauge(
        "writes_held", "Whether writes are held back", "service"
    )
    silence = gauge("heard_ms", "Time since an answer", "service", "endpoint")
    slot_wait = gauge(
        "wait_ms", "Expected wait for a slot", "service", "endpoint"
    )
    connections = gauge(
        "connections", "Open connections", "service", "endpoint"
    )
    capacity = gauge(
        "capacity",
        "Learned limit on statements in flight",
        "service",
        "endpoint",
    )
    service_time = gauge(
        "service_ms",
        "Usual service time without the network's part",
        "service",
        "endpoint",
    )
    slowness = gauge(
        "slowness",
        "Recent durations relative to the usual ones",
        "service",
        "endpoint",
    )
    failed_share = gauge(
        "failed_share",
        "Fraction of the recent statements that failed",
        "service",
        "endpoint",
    )
    slow = gauge(
        "slow_s",
        "Time since the endpoint was found slow or failing, 0 if it is not",
        "service",
        "endpoint",
    )
    config_version = gauge("config_version", "The configuration in force")
    config_version.set(process.table().version)
    now = clock.now()
    for service in process.services():
        name = service.limits.name
        group = service.group
        leader = group.leader()
        term.labels(name).set(leader.term if leader else 0)
        newest = group.proofs.newest()
        # Without a proof, the age is reported as -1 ms.
        proof_age_s = now - newest.at if newest else -0.001
        proof_age.labels(name).set(int(proof_age_s * 1000))
        writes_held.labels(name).set(bool(group.hold_attempt()))
        for endpoint in group.listings():
            contact = group.contact(endpoint)
            pool = service.pool(endpoint)
            if contact is None or pool is None:
                continue
            load = pool.load()
            silence.labels(name, endpoint).set(
                int((now - contact.answered_at) * 1000)
            )
            slot_wait.labels(name, endpoint).set(int(load.wait_s * 1000))
            connections.labels(name, endpoint).set(load.open)
            slow.labels(name, endpoint).set(service.capacities.slow_s(endpoint))
            measured = pool.measurement()
            if measured is not None:
                capacity.labels(name, endpoint).set(measured.size)
                service_time.labels(name, endpoint).set(
                    measured.service_s * 1000
                )
                slowness.labels(name, endpoint).set(measured.slowness)
                failed_share.labels(name, endpoint).set(measured.failed_share)


def create_server(
    address: tuple[str, int],
    render_metrics: collections.abc.Callable[[], bytes],
) -> bounded_http.Server:
    """Returns a bound HTTP server; call serve_forever to answer requests.

    Args:
        address: Host and port to bind.
        render_metrics: A function that returns the body of a response.
    """

    class Handler(bounded_http.Handler):
        timeout = IDLE_TIMEOUT_S

        def do_GET(self) -> None:  # noqa: N802
            body = render_metrics() if self.path == METRICS_PATH else b""
            self.send_response(200 if body else 404)
            self.send_header("Content-Type", "text/plain; version=0.0.4")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    return bounded_http.Server(address, Handler)
