"""Learned capacities in digests.

Only a proxy that serves a service has anything to tell of its endpoints, and it
tells only of those that are limited, queued, slow or failing.
"""

import collections.abc

from bronzehold.core import clock
from bronzehold.process import capacities as capacities_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_service
from bronzehold.proto import gossip_pb2 as pb

# About 35 bytes each; a digest stays under one packet with them.
MAX_ENTRIES = 12
# The largest number of statements that a report may name; more are an error of
# its sender.
MAX_STATEMENTS = 10_000
TENTHS = 10
THOUSANDTHS = 1000
MS_PER_S = 1000


def fill(
    digest: pb.Digest,
    services: collections.abc.Iterable[platform_service.PlatformService],
) -> None:
    """Adds what the peers are to know of endpoints, the worst first."""
    reports = [
        report
        for service in services
        if service.serves()
        for report in service.capacities.reports(service.pools())
    ]
    reports.sort(key=capacities_lib.severity, reverse=True)
    now = clock.now()
    for report in reports[:MAX_ENTRIES]:
        digest.capacities.append(
            pb.Capacity(
                endpoint=report.endpoint,
                capacity_tenths=int(report.size * TENTHS),
                service_us=_to_us(report.service_s),
                queue_us=_to_us(report.queue_s),
                age_ms=int((now - report.measured_at) * MS_PER_S),
                failed_thousandths=int(report.failed_share * THOUSANDTHS),
                demand_tenths=int(report.demand * TENTHS),
            )
        )


def apply(
    digest: pb.Digest,
    services: collections.abc.Iterable[platform_service.PlatformService],
) -> None:
    """Records what a peer has learned of endpoints.

    The age does not hold the time of the datagram on its way, which is short
    against the time for which a report counts.
    """
    if not digest.capacities:
        return
    now = clock.now()
    services = list(services)
    for entry in digest.capacities[:MAX_ENTRIES]:
        for service in services:
            if service.pool(entry.endpoint) is not None:
                service.capacities.add_report(digest.proxy, _report(entry, now))


def _report(entry: pb.Capacity, now: float) -> capacities_lib.Report:
    return capacities_lib.Report(
        endpoint=entry.endpoint,
        size=_bounded(entry.capacity_tenths / TENTHS, MAX_STATEMENTS),
        service_s=max(0, entry.service_us) / gossip_lib.MICROSECONDS_PER_S,
        queue_s=max(0, entry.queue_us) / gossip_lib.MICROSECONDS_PER_S,
        failed_share=_bounded(entry.failed_thousandths / THOUSANDTHS, 1),
        demand=_bounded(entry.demand_tenths / TENTHS, MAX_STATEMENTS),
        measured_at=now - max(0, entry.age_ms) / MS_PER_S,
    )


def _bounded(value: float, maximum: float) -> float:
    return min(max(0.0, value), maximum)


def _to_us(seconds: float) -> int:
    return int(seconds * gossip_lib.MICROSECONDS_PER_S)
