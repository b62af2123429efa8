"""Decides whether a group needs another primary, and which endpoint it is.

The functions are pure: they work on the views that the proxies report.
`process.promotions` gathers the views and carries the decision out.
"""

import collections.abc
import dataclasses
import enum

from bronzehold.core import statements

# Fewer serving proxies are no evidence by themselves.
MIN_UNANIMOUS_PROXIES = 3


class Reach(enum.Enum):
    """The reachability of the endpoint that a proxy takes for the primary.

    UNKNOWN means neither a recent answer nor a failed attempt.
    """

    UNKNOWN = "untried"
    REACHED = "heard"
    UNREACHABLE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """One proxy's view of a group.

    Attributes:
        leader: The endpoint known to lead; "" if none is known.
        term: The term in which it leads.
        reach: The reachability of that endpoint from the proxy.
    """

    leader: str
    term: int
    reach: Reach


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Keep:
    """The decision to keep the primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replace:
    """The decision to replace the primary at once.

    Attributes:
        reason: The evidence, for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """The decision to replace a leaving primary without losing a write."""


Decision = Keep | Replace | HandOver


def decide(
    own: View,
    others: collections.abc.Iterable[View],
    *,
    proxies: int,
    leaving: bool,
    leaderless_s: float,
    leaderless_timeout_s: float,
    serving: collections.abc.Sequence[View] = (),
    serving_proxies: int = 0,
) -> Decision:
    """Decides whether to keep, replace or hand over a group's primary.

    A proxy that is cut off from a live primary reports the same as one whose
    primary has died. The primary is therefore replaced only if more proxies
    report it unreachable than reached, and those are more than half of all. In
    a large fleet it suffices that no proxy reaches it, this one included, and
    that all those which serve the group have tried.

    A leaving primary is handed over as long as a proxy reaches it: those that
    do go on using it, whether or not others are cut off from it.

    Args:
        own: The view of this proxy.
        others: The views of its live peers.
        proxies: The number of all proxies, including silent ones: they may be
            on the primary's side of a partition and still use it.
        leaving: Whether the primary is leaving.
        leaderless_s: The time for which this proxy has known no primary, in
            seconds.
        leaderless_timeout_s: The time without a primary after which an
            endpoint is promoted, in seconds.
        serving: The views of the proxies that serve the group.
        serving_proxies: The number of these proxies, including silent ones.

    Returns:
        The decision.
    """
    all_views = [own, *others]
    if not own.leader:
        leader_reached = any(
            v.leader and v.reach is not Reach.UNREACHABLE for v in all_views
        )
        if leader_reached or leaderless_s <= leaderless_timeout_s:
            return Keep()
        return Replace(reason="no leader is known")
    # Reports about an earlier primary do not count against this one.
    same_leader_views = [v for v in all_views if v.leader == own.leader]
    if any(v.term > own.term for v in all_views):
        return Keep()
    unreachable = sum(v.reach is Reach.UNREACHABLE for v in same_leader_views)
    reached = sum(v.reach is Reach.REACHED for v in same_leader_views)
    if unreachable > reached and 2 * unreachable > proxies:
        return Replace(
            reason=f"unreachable for {unreachable}, reached by {reached}"
        )
    if not reached and _is_lost_to_all(own, serving, serving_proxies):
        return Replace(reason=f"unreachable for all {serving_proxies} serving")
    return HandOver() if leaving and reached else Keep()


def _is_lost_to_all(
    own: View, serving: collections.abc.Sequence[View], serving_proxies: int
) -> bool:
    lost = sum(
        view.leader == own.leader and view.reach is Reach.UNREACHABLE
        for view in serving
    )
    return (
        own.reach is Reach.UNREACHABLE
        and lost == serving_proxies >= MIN_UNANIMOUS_PROXIES
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An endpoint that may be promoted.

    Attributes:
        endpoint: The id of the endpoint.
        received: The last position in its log.
        leaving: True if the endpoint is leaving too.
        deposed: True if its log ends in a term in which it led, so that it may
            hold commits that were rolled back.
    """

    endpoint: str
    received: statements.LogPosition
    leaving: bool
    deposed: bool = False


def choose_successor(
    candidates: collections.abc.Iterable[Candidate], *, synchronous: bool
) -> Candidate | None:
    """Returns the candidate to promote, None if there is none.

    A leaving endpoint may end at any time and would have to be replaced again,
    so it is chosen only if no other can be. One that was deposed is chosen
    last: its position cannot be compared with the others. Among the others, the
    one whose promotion loses the fewest writes is chosen: what the log of the
    new primary lacks is lost. If commits are acknowledged only once a replica
    has them, none may be lost, and the logs decide first.

    Args:
        candidates: The endpoints that have reported their logs.
        synchronous: Whether replicas confirm commits.
    """
    if synchronous:
        return max(
            candidates,
            key=lambda s: (s.received, not s.leaving, s.endpoint),
            default=None,
        )
    return max(
        candidates,
        key=lambda s: (not s.deposed, not s.leaving, s.received, s.endpoint),
        default=None,
    )
