"""Splits the rate limit of a workspace among the proxies.

The functions are pure. The shares add up to the limit as long as each region
has one limiter; what the other proxies may let through at the same time, and
what a new limiter starts with, comes out of the slack of the limit.
"""

import dataclasses
import math

# Parts of the slack. A new limiter that knows nothing of the one before starts
# with two parts, and a bucket holds two besides half a second of its rate.
SLACK_PARTS = 12
# Part of the absolute slack by which the regions' parts of a limit together
# exceed it, so that small parts need not be rounded down.
ROUNDING_PART = 0.25
# In an overloaded network each proxy of a region may act as a standby in turn,
# and each as one that reaches no limiter. Both together stay within the slack.
STANDBY_PARTS = 24
ALLOWANCE_PART = 0.25
# All proxies together are back no sooner than this after they have ended.
MIN_RESTART_S = 0.5
# A share below one token would never let an operation through.
MIN_CAPACITY = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """How much the operations in a window may exceed a limit.

    Attributes:
        window_s: Length of the window in seconds.
        overage: Part of the limit by which it may be exceeded.
        slack: Number of operations by which it may be exceeded in addition.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """The part of a limit that one token bucket holds.

    Attributes:
        rate_per_s: Tokens that are added in a second.
        capacity: Highest number of tokens.
        initial: Tokens of a new bucket.
        in_window: Highest number of operations in a window.
    """

    rate_per_s: float
    capacity: float
    initial: float
    in_window: float = math.inf


def slack(tolerance: Tolerance, rate_per_s: float, burst: float) -> float:
    """Returns the operations in a window by which a limit may be exceeded."""
    in_window = rate_per_s * tolerance.window_s + burst
    return tolerance.overage * in_window + tolerance.slack


def most_in_window(
    tolerance: Tolerance, rate_per_s: float, burst: float
) -> float:
    """Returns the highest number of operations that a window may have."""
    in_window = rate_per_s * tolerance.window_s + burst
    return in_window + slack(tolerance, rate_per_s, burst)


def limiter_share(
    tolerance: Tolerance, rate_per_s: float, burst: float, regions: int
) -> Share:
    """Returns the share of the proxy that holds a region's part of a limit.

    A workspace may use its limit in every window, so the rate is that of the
    window with the burst. What is granted at once is bounded further: after a
    restart of all proxies nobody knows what was granted before, and the new
    limiters begin with the rate at once.

    Args:
        tolerance: How far the limit may be exceeded.
        rate_per_s: Rate of the limit.
        burst: Burst of the limit.
        regions: Number of regions, each with an equal part.
    """
    in_window = (rate_per_s * tolerance.window_s + burst) / regions
    rate_in_window_per_s = in_window / tolerance.window_s
    initial = _handover(tolerance, rate_per_s, burst)
    return Share(
        rate_per_s=rate_in_window_per_s,
        capacity=2 * initial + rate_in_window_per_s * MIN_RESTART_S,
        initial=2 * initial,
        in_window=max(
            MIN_CAPACITY,
            in_window + tolerance.slack * ROUNDING_PART / regions,
        ),
    )


def standby_share(
    tolerance: Tolerance, rate_per_s: float, burst: float, proxies: int
) -> Share:
    """Returns the share of a proxy that is asked but is not the limiter.

    In a small fleet, half of the rate divided by the proxies would exceed the
    slack, so what a window adds is at most two parts of it.

    Args:
        tolerance: How far the limit may be exceeded.
        rate_per_s: Rate of the limit.
        burst: Burst of the limit.
        proxies: Number of proxies of all regions.
    """
    initial = max(
        MIN_CAPACITY, slack(tolerance, rate_per_s, burst) / STANDBY_PARTS
    )
    parts_per_s = 2 * initial / tolerance.window_s
    return Share(
        rate_per_s=min(rate_per_s / (2 * proxies), parts_per_s),
        capacity=initial,
        initial=initial,
    )


def own_allowance(
    tolerance: Tolerance,
    rate_per_s: float,
    burst: float,
    *,
    proxies: int,
    regions: int,
    rank: int,
) -> int:
    """Returns the operations in a window of a proxy that reaches no limiter.

    All proxies together have a quarter of the slack. If that is less than one
    operation for each, only the first ones of each region have one.

    Args:
        tolerance: How far the limit may be exceeded.
        rate_per_s: Rate of the limit.
        burst: Burst of the limit.
        proxies: Number of proxies of all regions.
        regions: Number of regions.
        rank: Place of the proxy in its region's order, 0 for the first.
    """
    total = int(slack(tolerance, rate_per_s, burst) * ALLOWANCE_PART)
    each, left = divmod(total, proxies)
    return each + (rank < left // regions)


def _handover(tolerance: Tolerance, rate_per_s: float, burst: float) -> float:
    parts = slack(tolerance, rate_per_s, burst) / SLACK_PARTS
    return max(MIN_CAPACITY, parts)
