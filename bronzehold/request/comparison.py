"""Compares the endpoints of a group to find those that are slow or failing.

The decisions are pure functions of snapshots. An endpoint is judged against the
best of its siblings, so endpoints that are all slow or all fail are treated as
before: a group is never emptied.
"""

import collections.abc
import dataclasses
import enum

# An endpoint counts as slow from this multiple of its best sibling's slowness,
# until it is below the second one. Durations spread by as much as their mean;
# the bound is then passed by chance about once in 10^7 responses.
SLOW_RATIO = 2.5
RECOVERED_RATIO = 1.5
# Time that a slow endpoint adds to a statement before it is worth leaving it;
# a statement that crosses regions loses more.
MIN_ADDED_S = 0.02
# An endpoint counts as failing from this excess of its failed share over that
# of its best sibling, until it is below the second one. A statement that fails
# costs its caller another attempt.
FAILING_EXCESS = 0.2
WORKING_EXCESS = 0.1
# Number of responses or outcomes that a decision needs.
MIN_RESPONSES = 5
# A sibling without a measurement for this long counts as usual again, and an
# endpoint that is known as slow without one for the second time is forgotten.
KEEP_S = 30.0
FORGET_S = 120.0
# An endpoint stays marked for this long at least. The time doubles with each
# mark that follows the previous one within FLAP_S, up to the maximum.
MIN_MARKED_S = 1.0
MAX_MARKED_S = 16.0
FLAP_S = 30.0
# Usual durations without the network's part that are this many times those of a
# sibling show that they were learned in a slow time. Less is the spread of
# means over some twenty responses.
LEARNED_SLOW_RATIO = 1.5
# At most this part of a sibling's usual duration is taken for the network's.
MAX_NETWORK_PART = 0.5
# A marked endpoint gets one read of this many, so less than a tenth of the
# traffic, and not more often than in this interval.
READS_PER_TRIAL = 12
MIN_TRIAL_INTERVAL_S = 0.25


class Cause(enum.Enum):
    """The reason why an endpoint is marked."""

    SLOW = "slow"
    FAILING = "failing"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """What is known of one endpoint.

    Attributes:
        slowness: Recent durations relative to the usual ones; 1 is usual.
        responses: Number of responses that it rests on.
        failed_share: Fraction of the recent statements that failed.
        outcomes: Number of statements that it rests on.
        service_s: Usual duration without the network's part, in seconds.
        round_trip_s: Least round trip seen lately, in seconds. It may hold a
            service time, so the network takes no longer.
        probed_s: Least round trip of a status command, 0 if there was none.
        usual_s: Usual durations by kind of statement, in seconds, with the
            network's part.
        measured_at: Time of the last outcome.
    """

    slowness: float
    responses: int
    failed_share: float
    outcomes: int
    service_s: float
    round_trip_s: float
    probed_s: float
    usual_s: collections.abc.Mapping[str, float]
    measured_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """The state of an endpoint that is slow or failing, or was lately.

    Attributes:
        cause: The reason; None once it has recovered.
        since: Time of the mark.
        until: Time of the recovery; 0 while it is marked.
        hold_s: Minimum time for which it is marked.
        ratio: Slowness relative to the best sibling, at the last decision.
        failed_share: Failed share at the last decision.
        best_failed_share: Failed share of the best sibling.
        measured_at: Time of the last outcome at the last decision.
    """

    cause: Cause | None
    since: float
    until: float = 0.0
    hold_s: float = MIN_MARKED_S
    ratio: float = 1.0
    failed_share: float = 0.0
    best_failed_share: float = 0.0
    measured_at: float = 0.0


def assess(
    observations: collections.abc.Mapping[str, Observation],
    marks: collections.abc.Mapping[str, Mark],
    now: float,
) -> dict[str, Mark]:
    """Returns the marks of the endpoints of a group.

    Args:
        observations: The endpoints that accept work, by id.
        marks: The marks of the previous call.
        now: The time.

    Returns:
        The marks by id; none for an endpoint that was never marked or whose
        mark is forgotten.
    """
    slowness = {name: _slowness(name, observations) for name in observations}
    found = {}
    for name, own in observations.items():
        others = [key for key in observations if key != name]
        if not others or now - own.measured_at > FORGET_S:
            continue
        best_slowness = min(
            _as_reference(observations[key], slowness[key], now)
            for key in others
        )
        best_failed = min(
            _failed_share(observations[key], now) for key in others
        )
        inputs = {
            "ratio": slowness[name] / max(1.0, best_slowness),
            "failed_share": own.failed_share,
            "best_failed_share": best_failed,
            "measured_at": own.measured_at,
        }
        mark = _assess_one(own, inputs, marks.get(name), now)
        if mark is not None:
            found[name] = mark
    return found


def _assess_one(
    own: Observation,
    inputs: dict[str, float],
    mark: Mark | None,
    now: float,
) -> Mark | None:
    ratio = inputs["ratio"]
    excess = own.failed_share - inputs["best_failed_share"]
    if mark is not None and mark.cause is not None:
        held = now - mark.since >= mark.hold_s
        works = excess < WORKING_EXCESS and ratio < RECOVERED_RATIO
        if held and works:
            return dataclasses.replace(mark, cause=None, until=now, **inputs)
        return dataclasses.replace(mark, **inputs)
    added_s = (ratio - 1.0) * own.service_s
    cause = None
    if excess >= FAILING_EXCESS and own.outcomes >= MIN_RESPONSES:
        cause = Cause.FAILING
    elif (
        ratio >= SLOW_RATIO
        and own.responses >= MIN_RESPONSES
        and added_s >= MIN_ADDED_S
    ):
        cause = Cause.SLOW
    if cause is None or now - own.measured_at > KEEP_S:
        return mark
    hold_s = MIN_MARKED_S
    if mark is not None and now - mark.until < FLAP_S:
        hold_s = min(MAX_MARKED_S, 2 * mark.hold_s)
    return Mark(cause=cause, since=now, hold_s=hold_s, **inputs)


def _slowness(
    name: str, observations: collections.abc.Mapping[str, Observation]
) -> float:
    """Returns an endpoint's slowness by the usual durations of the group.

    An endpoint without traffic before a slow time has learned its usual
    durations in it. Those of a sibling for the same kinds show that.
    """
    own = observations[name]
    ratios = [
        (usual_s - own.round_trip_s) / _service_s(sibling, kind)
        for key, sibling in observations.items()
        if key != name
        for kind, usual_s in own.usual_s.items()
        if kind in sibling.usual_s
    ]
    factor = max(ratios, default=1.0)
    return own.slowness * (factor if factor >= LEARNED_SLOW_RATIO else 1.0)


def _service_s(sibling: Observation, kind: str) -> float:
    """Returns a sibling's usual service time, rather too high than too low.

    With nearly constant durations, the least one would be taken for the network
    and leave a service time far below that of an endpoint with a probe.
    """
    usual_s = sibling.usual_s[kind]
    return usual_s - min(sibling.probed_s, MAX_NETWORK_PART * usual_s)


def _as_reference(sibling: Observation, slowness: float, now: float) -> float:
    """Returns a sibling's slowness, 1 if it is unknown.

    One that fails or refuses statements is no reference, however quick its
    answers are.
    """
    if sibling.failed_share >= FAILING_EXCESS:
        return max(slowness, SLOW_RATIO)
    is_old = now - sibling.measured_at > KEEP_S
    if is_old or sibling.responses < MIN_RESPONSES:
        return 1.0
    return slowness


def _failed_share(sibling: Observation, now: float) -> float:
    if now - sibling.measured_at > KEEP_S:
        return 0.0
    return sibling.failed_share


class Trials:
    """Chooses the reads by which a marked endpoint's recovery is noticed."""

    def __init__(self):
        self._reads: dict[str, int] = {}
        self._tried_at: dict[str, float] = {}

    def take(self, endpoint: str, now: float) -> bool:
        """Returns whether this read goes to a marked endpoint.

        Args:
            endpoint: Id of the endpoint.
            now: The time.
        """
        reads = self._reads.get(endpoint, 0) + 1
        self._reads[endpoint] = reads
        if reads < READS_PER_TRIAL:
            return False
        if now - self._tried_at.get(endpoint, now - 1) < MIN_TRIAL_INTERVAL_S:
            return False
        self._reads[endpoint] = 0
        self._tried_at[endpoint] = now
        return True

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that is no longer marked."""
        self._reads.pop(endpoint, None)
        self._tried_at.pop(endpoint, None)
