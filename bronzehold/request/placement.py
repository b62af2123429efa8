"""Orders endpoints by the estimated cost of a read.

The order is a pure function of an endpoint's distance, recent latency, expected
wait, replication lag and role. Replicas are preferred, because the primary also
serves the writes. An endpoint that is slow or failing among its siblings comes
later, except for the few reads by which its recovery is noticed.
"""

import collections.abc
import dataclasses

# Estimated one-way network latency to an endpoint without measurements, in this
# proxy's availability zone, in another zone of its region, in another region.
SAME_ZONE_S = 0.0005
SAME_REGION_S = 0.003
OTHER_REGION_S = 0.02
# Estimated duration of a read at an endpoint without measurements.
DEFAULT_READ_S = 0.015
# A read goes to the primary if every replica would take this much longer.
PRIMARY_PENALTY_S = 0.15
# Cost in time that is assigned to traffic between regions.
OTHER_REGION_PENALTY_S = 0.03
# Cost of an attempt at a replica whose log is expected to be too old.
LAG_PENALTY_S = 0.04
# Estimated wait for a connection if all are in use; a transaction may hold its
# connection while it is idle.
NO_CONNECTION_PENALTY_S = 0.1
# Cost that sorts endpoints whose last contact failed after all others.
FAILING_PENALTY_S = 10.0
# Cost that sorts a slow replica after the others, in whichever region they are.
# It stays under PRIMARY_PENALTY_S, so that only a read that would take clearly
# longer leaves all replicas for the primary.
SLOW_PENALTY_S = 0.1
# Cost of a replica that fails a large share of its statements, each of which
# costs its caller another attempt; the primary comes before it.
UNRELIABLE_PENALTY_S = 0.25
# Cost that sorts an endpoint first.
TRIAL_BONUS_S = 100.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An endpoint that a read may go to.

    Attributes:
        endpoint: Id of the endpoint.
        same_zone: Whether it is in this proxy's availability zone.
        same_region: Whether it is in this proxy's region.
        is_primary: Whether it is the primary.
        failing: Whether the last attempt to reach it failed.
        recent_duration_s: Average recent duration of a statement in seconds;
            0 if it has not been measured.
        expected_wait_s: Expected wait for a slot in this proxy, in seconds.
        connections_exhausted: Whether all connections are in use, so that a
            statement would wait for a connection as well.
        lag_s: Expected time in seconds until its log contains the position
            that the read needs; 0 if it is expected to contain it.
        slow: Whether it is slow compared to its siblings.
        unreliable: Whether it fails more statements than its siblings.
        trial: Whether this read is to try it, although it is slow or
            unreliable, to notice its recovery.
    """

    endpoint: str
    same_zone: bool
    same_region: bool
    is_primary: bool
    failing: bool
    recent_duration_s: float
    expected_wait_s: float
    connections_exhausted: bool
    lag_s: float
    slow: bool = False
    unreliable: bool = False
    trial: bool = False

    @property
    def is_eligible(self) -> bool:
        """Whether the endpoint is expected to be able to serve the read."""
        return not self.failing and not self.lag_s


def order(candidates: collections.abc.Iterable[Candidate]) -> list[Candidate]:
    """Orders the endpoints that may serve a read, the best first.

    Args:
        candidates: The registered endpoints that are not leaving.

    Returns:
        The candidates by ascending cost; equal costs by endpoint id.
    """
    return sorted(candidates, key=lambda c: (_cost(c), c.endpoint))


def may_try(candidate: Candidate) -> bool:
    """Returns whether a read may try a slow or unreliable endpoint.

    The primary needs no trials, since it gets the writes in any case.
    """
    return (
        candidate.is_eligible
        and not candidate.is_primary
        and not candidate.connections_exhausted
        and not candidate.expected_wait_s
    )


def _cost(candidate: Candidate) -> float:
    cost = candidate.recent_duration_s or _distance(candidate) + DEFAULT_READ_S
    cost += candidate.expected_wait_s
    if candidate.connections_exhausted:
        cost += NO_CONNECTION_PENALTY_S
    if not candidate.same_region:
        cost += OTHER_REGION_PENALTY_S
    if candidate.is_primary:
        cost += PRIMARY_PENALTY_S
    elif candidate.lag_s:
        cost += PRIMARY_PENALTY_S + LAG_PENALTY_S + candidate.lag_s
    if candidate.failing:
        cost += FAILING_PENALTY_S
    if candidate.trial:
        return cost - TRIAL_BONUS_S
    if candidate.slow:
        cost += SLOW_PENALTY_S
    if candidate.unreliable:
        cost += UNRELIABLE_PENALTY_S
    return cost


def _distance(candidate: Candidate) -> float:
    if candidate.same_zone:
        return SAME_ZONE_S
    return SAME_REGION_S if candidate.same_region else OTHER_REGION_S
