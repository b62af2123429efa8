"""Routing of reads to the endpoint with the lowest expected cost.

A read may run on an endpoint whose data is fresh enough for it. The candidates
come from the group; this module ranks them, and waits when there is none.
"""

import dataclasses
import time

from bronzehold.connection import session as session_lib
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.process import pool as pool_lib
from bronzehold.process import service as service_lib

RECHECK_INTERVAL_S = 0.02

# Costs in seconds assumed for endpoints without a measured service time, by
# distance; an endpoint in the proxy's availability zone costs nothing.
SAME_REGION_COST_S = 0.002
OTHER_REGION_COST_S = 0.02
# Added to the cost of the primary, so that replicas are preferred.
PRIMARY_PENALTY_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadRequirement:
    """The freshness that a read requires.

    Attributes:
        mark: The log position that the data must include, None for any.
        max_age: The maximum age of the data in seconds, None for any.
    """

    mark: data.Mark | None
    max_age: float | None


def read_requirement(
    served: service_lib.ServiceRuntime,
    session: session_lib.Session,
    arrived: float,
    deadline: float,
) -> ReadRequirement:
    """Returns the freshness that the reads of a session require.

    A named session may have written through another proxy. Unless its caller
    sends the mark of its last write, the read must see everything that the
    primary's log holds in a poll sent after the read arrived. The same applies
    to a maximum age of 0.

    Args:
        served: The service.
        session: The caller's session.
        arrived: The time on the monotonic clock at which the read arrived.
        deadline: The time on the monotonic clock until which to wait for the
            primary's position.

    Raises:
        errors.FailureError: NoPrimary, when the primary's position cannot be
            determined.
    """
    fresh = session.freshness
    max_age = session.max_age(served.service.max_age_ms)
    may_have_written_elsewhere = (
        bool(fresh.session) and not fresh.caller_carries_mark
    )
    if may_have_written_elsewhere or max_age == 0:
        mark = served.group.fresh_mark(arrived, deadline)
        if fresh.mark is not None and fresh.mark.term > mark.term:
            mark = fresh.mark
        return ReadRequirement(mark=mark, max_age=None)
    return ReadRequirement(mark=fresh.mark, max_age=max_age)


def wait_for_endpoint(
    served: service_lib.ServiceRuntime,
    wanted: ReadRequirement,
    own_mark: data.Mark | None,
    deadline: float,
    avoid: frozenset[str],
) -> data.Placement:
    """Waits for an endpoint that a read may run on.

    Replicas are preferred. When none is fresh enough, the read waits up to
    replica_wait_ms for one before the primary is considered.

    Args:
        served: The service.
        wanted: The freshness that the read requires.
        own_mark: The mark of the session's last write, to detect its loss.
        deadline: The time on the monotonic clock until which to wait.
        avoid: The names of endpoints that have just failed.

    Raises:
        errors.FailureError: MarkLost, MarkAhead or NoFreshEndpoint.
    """
    group = served.group
    replica_wait_s = group.timing.replica_wait_ms * data.MILLISECOND
    primary_from = min(deadline, time.monotonic() + replica_wait_s)
    waiting = False
    try:
        while True:
            if group.mark_lost(own_mark):
                raise errors.FailureError(errors.MarkLost(mark=str(own_mark)))
            now = time.monotonic()
            found = _cheapest(
                served, wanted, avoid, allow_primary=now >= primary_from
            )
            if found is not None:
                return found
            if now >= deadline:
                raise errors.FailureError(_no_endpoint_failure(served, wanted))
            if not waiting:
                waiting = True
                group.applied_waiters += 1
                group.request_primary_poll()
            wake_at = primary_from if now < primary_from else deadline
            with group.cond:
                group.cond.wait(
                    max(0.001, min(RECHECK_INTERVAL_S, wake_at - now))
                )
    finally:
        if waiting:
            group.applied_waiters -= 1


def candidates(
    served: service_lib.ServiceRuntime,
    wanted: ReadRequirement,
    avoid: frozenset[str],
) -> list[data.Placement]:
    """Returns the endpoints where a read may run now.

    Replicas come first, and each kind is in order of its expected cost.
    """
    costs = _expected_costs_s(served, wanted, avoid)
    return sorted(costs, key=lambda place: (place.is_primary, costs[place]))


def _no_endpoint_failure(
    served: service_lib.ServiceRuntime, wanted: ReadRequirement
) -> errors.Failure:
    if wanted.mark is not None:
        return errors.MarkAhead(mark=str(wanted.mark))
    return errors.NoFreshEndpoint(group=served.group.name)


def _cheapest(
    served: service_lib.ServiceRuntime,
    wanted: ReadRequirement,
    avoid: frozenset[str],
    *,
    allow_primary: bool,
) -> data.Placement | None:
    costs = {
        place: cost + (PRIMARY_PENALTY_S if place.is_primary else 0.0)
        for place, cost in _expected_costs_s(served, wanted, avoid).items()
        if allow_primary or not place.is_primary
    }
    return min(costs, key=costs.__getitem__, default=None)


def _expected_costs_s(
    served: service_lib.ServiceRuntime,
    wanted: ReadRequirement,
    avoid: frozenset[str],
) -> dict[data.Placement, float]:
    """Returns the expected duration in seconds on each fresh endpoint."""
    costs = {}
    for place in served.group.readable_endpoints(wanted.mark, wanted.max_age):
        pool = served.pool(place.endpoint)
        if pool is not None and place.endpoint not in avoid:
            costs[place] = _expected_cost_s(served, pool)
    return costs


def _expected_cost_s(
    served: service_lib.ServiceRuntime, pool: pool_lib.Pool
) -> float:
    load = pool.load()
    service_s = (
        load.service_s
        if load.measured
        else _network_cost_s(served, pool.endpoint)
    )
    return service_s + load.wait_s


def _network_cost_s(
    served: service_lib.ServiceRuntime, ep: data.Endpoint
) -> float:
    cfg = served.env.cfg
    if ep.region != cfg.region:
        return OTHER_REGION_COST_S
    return 0.0 if ep.zone == cfg.zone else SAME_REGION_COST_S
