"""Chooses the endpoint that a read goes to.

A pure choice over what is known: how far an endpoint is, how long it took
lately and would take now, whether its log is known to be behind, and whether
it leads. Replicas come first; the primary has the writes to do.
"""

import collections.abc
import dataclasses

# One way between availability zones and between regions, for endpoints that
# have not been measured yet.
NEAR_S = 0.0005
REGION_S = 0.003
FAR_S = 0.02
# What a read costs at an endpoint that has not been measured yet.
GUESS_S = 0.015
# A read goes to the primary when a replica would take so much longer.
PRIMARY_S = 0.15
# What bytes between regions are worth avoiding for.
FAR_PENALTY_S = 0.03
# What a try costs at an endpoint that is expected to lack the position.
BEHIND_S = 0.04
# What waiting for a connection takes; a transaction may rest on it.
FULL_S = 0.1
FAILING_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An endpoint that a read may go to.

    Attributes:
        endpoint: Its id.
        same_zone: Whether it is in this proxy's availability zone.
        same_region: Whether it is in this proxy's region.
        leads: Whether it is the primary.
        failing: Whether the last attempt to reach it failed.
        took_s: What statements took there lately, 0 where nothing is known.
        wait_s: How long a statement would wait for a slot in this proxy.
        full: Whether it would wait for a connection as well.
        behind_s: For how long its log is expected to lack what the read needs.
    """

    endpoint: str
    same_zone: bool
    same_region: bool
    leads: bool
    failing: bool
    took_s: float
    wait_s: float
    full: bool
    behind_s: float

    @property
    def promising(self) -> bool:
        """Whether nothing is known that keeps it from serving the read."""
        return not self.failing and not self.behind_s


def order(candidates: collections.abc.Iterable[Candidate]) -> list[Candidate]:
    """Orders the endpoints that may serve a read, the best first.

    Args:
        candidates: The endpoints that are listed and not leaving.
    """
    return sorted(candidates, key=lambda c: (_cost(c), c.endpoint))


def _cost(one: Candidate) -> float:
    cost = one.took_s or _distance(one) + GUESS_S
    cost += one.wait_s
    if one.full:
        cost += FULL_S
    if not one.same_region:
        cost += FAR_PENALTY_S
    if one.leads:
        cost += PRIMARY_S
    elif one.behind_s:
        cost += PRIMARY_S + BEHIND_S + one.behind_s
    if one.failing:
        cost += FAILING_S
    return cost


def _distance(one: Candidate) -> float:
    if one.same_zone:
        return NEAR_S
    return REGION_S if one.same_region else FAR_S
