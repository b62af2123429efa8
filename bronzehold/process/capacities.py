"""The learned capacities of one service's endpoints.

Compares the endpoints of the group (request/comparison.py), marks those that
are slow or failing, and shares what it has learned with the peers that serve
the service.
"""

import collections.abc
import dataclasses
import statistics
import threading

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.process import capacity as capacity_lib
from bronzehold.process import pool as pool_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.request import comparison

# Minimum time between two comparisons, a tenth of the time in which a slow
# endpoint is to be found.
ASSESS_INTERVAL_S = 0.1
# An own measurement older than this gives way to the reports of peers.
OWN_TTL_S = 10.0
# A peer's report counts for this long. In a large fleet, a peer sends a digest
# to another one every few seconds.
REPORT_TTL_S = 5.0
# Number of peers whose reports replace an own measurement. One peer alone may
# be slow itself, and then finds all endpoints slow.
MIN_REPORTS = 2
DEMAND_WEIGHT = 0.1
# A failed share from this value on is told to the peers.
REPORTED_FAILED_SHARE = 0.1
# A trial may be expected to take this part of its route's target. Where it
# takes more, there is one in this interval, so that a recovery is noticed.
TRIAL_TARGET_SHARE = 0.5
LATE_TRIAL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What a proxy tells its peers of one endpoint.

    Attributes:
        endpoint: Id of the endpoint.
        size: Its limit on statements in flight.
        service_s: Usual duration in seconds, without the network's part.
        queue_s: Time by which the recent durations exceed it.
        failed_share: Fraction of the recent statements that failed.
        demand: Its statements in flight and waiting.
        measured_at: Time of the last outcome.
    """

    endpoint: str
    size: float
    service_s: float
    queue_s: float
    failed_share: float
    demand: float
    measured_at: float


def severity(report: Report) -> tuple[float, float]:
    """Returns a sort key by which the worst endpoint is the highest."""
    return (report.failed_share, report.queue_s)


class Capacities:
    """Judges the endpoints of one service; safe to use from many threads.

    Args:
        group: Name of the group.
        timeline: The event log of the process.
    """

    def __init__(self, *, group: str, timeline: timeline_lib.Timeline):
        self._group = group
        self._timeline = timeline
        self._lock = threading.Lock()
        self._marks: dict[str, comparison.Mark] = {}
        self._trials = comparison.Trials()
        self._reports: dict[str, dict[str, Report]] = {}
        self._demands: dict[str, float] = {}
        self._leader: str | None = None
        self._assessed_at = -ASSESS_INTERVAL_S

    def update(
        self,
        pools: collections.abc.Mapping[str, pool_lib.Pool],
        *,
        leader: str | None,
    ) -> None:
        """Compares the endpoints, unless that was done a moment ago.

        Args:
            pools: The pools of the endpoints that accept work, by endpoint id.
            leader: Id of the primary, None if it is not known.
        """
        now = clock.now()
        with self._lock:
            if leader is not None and leader != self._leader:
                self._change_leader(pools, leader, now)
            if now - self._assessed_at < ASSESS_INTERVAL_S:
                return
            self._assessed_at = now
            self._assess(pools, now)

    def _change_leader(
        self,
        pools: collections.abc.Mapping[str, pool_lib.Pool],
        leader: str,
        now: float,
    ) -> None:
        old, self._leader = self._leader, leader
        if old is None:
            return
        for name in (old, leader):
            if name in pools:
                pools[name].adjust_capacity(capacity_lib.Capacity.reset)
            self._reports.pop(name, None)
            self._end_mark(name, now, why="role changed")

    def _assess(
        self,
        pools: collections.abc.Mapping[str, pool_lib.Pool],
        now: float,
    ) -> None:
        measured = {}
        for name, pool in pools.items():
            measurement = pool.measurement()
            if measurement is not None:
                measured[name] = measurement
                self._update_share(name, pool, measurement, now)
        observed = {
            name: self._observation(name, measurement, now)
            for name, measurement in measured.items()
        }
        marks = comparison.assess(observed, self._marks, now)
        for name in list(self._marks):
            if name not in marks:
                why = "not measured" if name in observed else "gone"
                self._end_mark(name, now, why=why)
        for name, mark in marks.items():
            self._apply_mark(
                name, mark, measured[name], observed[name], pools[name]
            )
        for name in self._demands.keys() - pools.keys():
            del self._demands[name]

    def _update_share(
        self,
        name: str,
        pool: pool_lib.Pool,
        measurement: capacity_lib.Measurement,
        now: float,
    ) -> None:
        """Updates the share of the slots, by the share of the demand."""
        load = pool.load()
        demand = float(load.running + load.waiting)
        known = self._demands.get(name, demand)
        known += DEMAND_WEIGHT * (demand - known)
        self._demands[name] = known
        others = sum(r.demand for r in self._recent_reports(name, now))
        total = max(known + others, 1e-6)
        fair_size = measurement.slots * known / total
        pool.adjust_capacity(lambda c: c.set_fair_size(fair_size))

    def _recent_reports(self, name: str, now: float) -> list[Report]:
        reports = self._reports.get(name, {})
        return [
            r for r in reports.values() if now - r.measured_at < REPORT_TTL_S
        ]

    def _observation(
        self, name: str, own: capacity_lib.Measurement, now: float
    ) -> comparison.Observation:
        reports = self._recent_reports(name, now)
        if (
            own.outcomes >= comparison.MIN_RESPONSES
            and now - own.measured_at < OWN_TTL_S
        ) or len(reports) < MIN_REPORTS:
            return comparison.Observation(
                slowness=own.slowness,
                responses=own.responses,
                failed_share=own.failed_share,
                outcomes=own.outcomes,
                service_s=own.service_s,
                round_trip_s=own.round_trip_s,
                probed_s=own.probed_s,
                usual_s=own.usual_s,
                measured_at=own.measured_at,
            )
        service_s = statistics.median_low(r.service_s for r in reports)
        slowness = statistics.median_low(
            1.0 + r.queue_s / r.service_s if r.service_s else 1.0
            for r in reports
        )
        return comparison.Observation(
            slowness=slowness,
            responses=comparison.MIN_RESPONSES,
            failed_share=statistics.median_low(r.failed_share for r in reports),
            outcomes=comparison.MIN_RESPONSES,
            service_s=service_s,
            round_trip_s=own.round_trip_s,
            probed_s=own.probed_s,
            usual_s={},
            measured_at=max(r.measured_at for r in reports),
        )

    def _apply_mark(
        self,
        name: str,
        mark: comparison.Mark,
        measurement: capacity_lib.Measurement,
        observed: comparison.Observation,
        pool: pool_lib.Pool,
    ) -> None:
        known = self._marks.get(name)
        self._marks[name] = mark
        was_marked = known is not None and known.cause is not None
        if mark.cause is not None and not was_marked:
            pool.adjust_capacity(lambda c: c.set_slow(is_slow=True))
            self._timeline.add_frequent(
                self._slow_event(name, mark, measurement, observed)
            )
        elif mark.cause is None and was_marked:
            pool.adjust_capacity(lambda c: c.set_slow(is_slow=False))
            self._trials.forget(name)
            self._timeline.add_frequent(
                self._recovered_event(name, mark, "measured")
            )

    def _slow_event(
        self,
        name: str,
        mark: comparison.Mark,
        measurement: capacity_lib.Measurement,
        observed: comparison.Observation,
    ) -> endpoint_events.EndpointSlow:
        failing = mark.cause is comparison.Cause.FAILING
        return endpoint_events.EndpointSlow(
            group=self._group,
            endpoint=name,
            cause=mark.cause.value,
            leads=name == self._leader,
            ratio=round(mark.ratio, 2),
            service_ms=round(observed.service_s * 1000, 1),
            failed_share=round(mark.failed_share, 3),
            best_failed_share=round(mark.best_failed_share, 3),
            capacity=measurement.size,
            responses=observed.outcomes if failing else observed.responses,
            measured_ms=int((mark.since - observed.measured_at) * 1000),
            from_peers=observed.measured_at != measurement.measured_at,
        )

    def _end_mark(self, name: str, now: float, *, why: str) -> None:
        """Forgets an endpoint's mark without a measured recovery."""
        mark = self._marks.pop(name, None)
        self._trials.forget(name)
        if mark is not None and mark.cause is not None:
            ended = dataclasses.replace(mark, until=now)
            self._timeline.add_frequent(self._recovered_event(name, ended, why))

    def _recovered_event(
        self, name: str, mark: comparison.Mark, why: str
    ) -> endpoint_events.EndpointRecovered:
        return endpoint_events.EndpointRecovered(
            group=self._group,
            endpoint=name,
            after_ms=int((mark.until - mark.since) * 1000),
            ratio=round(mark.ratio, 2),
            failed_share=round(mark.failed_share, 3),
            measured_ms=int((mark.until - mark.measured_at) * 1000),
            why=why,
        )

    # Placement.

    def cause(self, endpoint: str) -> comparison.Cause | None:
        """Returns why an endpoint is marked, None if it is not."""
        mark = self._marks.get(endpoint)
        return None if mark is None else mark.cause

    def slow_s(self, endpoint: str) -> float:
        """Returns for how long an endpoint has been marked, 0 if it is not."""
        mark = self._marks.get(endpoint)
        if mark is None or mark.cause is None:
            return 0.0
        return clock.now() - mark.since

    def try_trial(
        self,
        endpoint: str,
        measured: capacity_lib.Measurement,
        *,
        target_s: float | None,
    ) -> bool:
        """Returns whether a read is to try a marked endpoint.

        Args:
            endpoint: Id of the endpoint.
            measured: What was learned of it.
            target_s: Target of the read's route, None if it has none.
        """
        now = clock.now()
        expected_s = measured.round_trip_s + (
            measured.slowness * measured.service_s
        )
        is_late = (
            target_s is not None and expected_s > TRIAL_TARGET_SHARE * target_s
        )
        if is_late and now - measured.measured_at < LATE_TRIAL_INTERVAL_S:
            return False
        with self._lock:
            return self._trials.take(endpoint, now)

    # Peers.

    def reports(
        self, pools: collections.abc.Mapping[str, pool_lib.Pool]
    ) -> list[Report]:
        """Returns what the peers are to know.

        An endpoint with its configured slots and without a queue or failures is
        left out.
        """
        now = clock.now()
        found = []
        for name, pool in pools.items():
            own = pool.measurement()
            if own is None or now - own.measured_at > OWN_TTL_S:
                continue
            waiting = pool.load().waiting
            if (
                own.size >= own.slots
                and not waiting
                and self.cause(name) is None
                and own.failed_share < REPORTED_FAILED_SHARE
            ):
                continue
            added_s = max(0.0, own.slowness - 1.0) * own.service_s
            found.append(
                Report(
                    endpoint=name,
                    size=own.size,
                    service_s=own.service_s,
                    queue_s=added_s,
                    failed_share=own.failed_share,
                    demand=self._demands.get(name, 0.0),
                    measured_at=own.measured_at,
                )
            )
        return found

    def add_report(self, peer: str, report: Report) -> None:
        """Records the report of a peer, unless a newer one is known."""
        with self._lock:
            by_peer = self._reports.setdefault(report.endpoint, {})
            known = by_peer.get(peer)
            if known is None or known.measured_at < report.measured_at:
                by_peer[peer] = report
            oldest = clock.now() - REPORT_TTL_S
            for name in [
                n for n, r in by_peer.items() if r.measured_at < oldest
            ]:
                del by_peer[name]
