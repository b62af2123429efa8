"""Grants, which permit a proxy to acknowledge a primary's writes.

A grant is similar to a lease that a proxy derives from its own polls. It is for
one term and expires a fixed time after the start of polls in which a majority
of the group's endpoints, including the primary, reported no higher term.

A proxy that replaces the primary first makes a majority promise a higher term
and then waits for that time. So every grant for the old term has expired before
a new primary is promoted.
"""

import collections.abc
import dataclasses

from bronzehold.core import data


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """One answered poll of an endpoint.

    Attributes:
        endpoint: The endpoint's name.
        status: The status that the endpoint reported.
        sent_at: The time at which the poll was sent, on this process's
            monotonic clock.
        received_at: The time at which the answer arrived, on the same clock.
    """

    endpoint: str
    status: data.EndpointStatus
    sent_at: float
    received_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """The permission to acknowledge the writes of a primary.

    Attributes:
        group: The name of the database group.
        term: The primary's term.
        primary: The primary's name.
        start: The time at which the oldest poll that the grant needs was sent,
            on this process's monotonic clock. A majority supported the term at
            that time.
        until: The time at which the grant expires, on the same clock.
    """

    group: str
    term: int
    primary: str
    start: float
    until: float


def majority(size: int) -> int:
    """Returns the number of endpoints that form a majority of a group."""
    return size // 2 + 1


def compute_grant(
    group: str,
    observations: collections.abc.Collection[Observation],
    size: int,
    duration: float,
) -> Grant | None:
    """Returns the grant that follows from the latest polls.

    Args:
        group: The name of the database group.
        observations: The latest answered poll of each endpoint.
        size: The number of endpoints of the group.
        duration: The duration of a grant in seconds.

    Returns:
        The grant, which may have expired, or None if there is no primary or no
        majority supports its term.
    """
    primary = find_primary(observations)
    if primary is None:
        return None
    term = primary.status.term
    support_times = sorted(
        (
            o.sent_at
            for o in observations
            if o.endpoint != primary.endpoint and o.status.term <= term
        ),
        reverse=True,
    )
    needed = majority(size) - 1
    if len(support_times) < needed:
        return None
    start = min([primary.sent_at, *support_times[:needed]])
    return Grant(
        group=group,
        term=term,
        primary=primary.endpoint,
        start=start,
        until=start + duration,
    )


def find_primary(
    observations: collections.abc.Iterable[Observation],
) -> Observation | None:
    """Returns the primary of the highest term that is not fenced, or None."""
    found = [
        o
        for o in observations
        if o.status.role is data.Role.PRIMARY
        and o.status.term == o.status.log_term
    ]
    return max(found, key=lambda o: o.status.term, default=None)


def count_holders(
    observations: collections.abc.Iterable[Observation],
    mark: data.Mark,
    primary: str,
) -> int:
    """Counts the replicas whose log includes a position of a term.

    Args:
        observations: The latest answered poll of each endpoint.
        mark: The position and its term.
        primary: The name of the primary, which is not counted.
    """
    return sum(
        o.endpoint != primary
        and o.status.log_term == mark.term
        and o.status.received >= mark.position
        for o in observations
    )


def effective_age(
    observation: Observation, confirmed: float, now: float
) -> float:
    """Returns the maximum age of an endpoint's data in seconds.

    A replica that follows a replaced primary still reports a low age. Its data
    therefore counts as at least as old as the last time at which a majority is
    known to have supported the term.

    Args:
        observation: The endpoint's latest poll.
        confirmed: The start of the last grant of the term.
        now: The current time on the monotonic clock.
    """
    if observation.status.role is data.Role.PRIMARY:
        return now - confirmed
    own = observation.status.age + (now - observation.sent_at)
    return max(own, now - confirmed)
