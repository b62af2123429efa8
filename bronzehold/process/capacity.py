"""What one proxy learns of one endpoint from the answers that it gets.

Several proxies share an endpoint, and none sees more than a part of its
traffic. Each learns, by kind of statement, how long an answer usually takes.
The slowness of the endpoint is the recent mean of durations divided by the
usual one of their kind, both without the network's part; 1 is usual.

The limit on statements in flight follows the slowness (additive increase,
multiplicative decrease): a slowness above a bound means a queue at the
endpoint, and a refusal means a full one. If answers stay slow although fewer
are in flight, the queue is not of this proxy's making or the endpoint is slow
by itself, so the limit returns to this proxy's share of the endpoint's slots.
"""

import dataclasses
import math

from bronzehold.core import clock

# The limit is cut when the slowness exceeds this: the endpoint has a queue.
CUT_SLOWNESS = 2.0
CUT_FACTOR = 0.5
# Minimum time between two cuts: the statements that are in flight at a cut must
# be answered before the next one, because the cut does not affect them.
MIN_CUT_INTERVAL_S = 0.1
# Growth of the limit per round, which is as many responses as its size.
GROWTH_PER_ROUND = 0.1
# After this many responses since the last cut, the slowness shows its effect:
# a queue that the cut has removed would have left about a third of it.
SETTLE_RESPONSES = 20
# The cuts had no effect if the slowness is still this fraction of its peak.
NO_EFFECT_FRACTION = 0.75
# After this time the effect of fewer statements in flight is tested again.
EFFECT_TTL_S = 10.0
# Weight of a response in the slowness. An endpoint that becomes 7 times slower
# passes the bounds after six responses; with exponential durations, 0.1 passed
# them by chance once in some thousand.
SLOWNESS_WEIGHT = 0.05
# Weight while the endpoint counts as slow and gets only few statements, so that
# its recovery shows within about ten of them.
SLOW_ENDPOINT_WEIGHT = 0.2
SERVICE_WEIGHT = 0.1
FAILURE_WEIGHT = 0.1
# Limits what a single response adds to the slowness to less than 0.8.
MAX_RATIO = 16.0
# Responses of a kind before its usual duration is used. It has a spread of a
# fifth by then, so it is improved at any load for some more.
WARM_UP_RESPONSES = 20
STEADY_RESPONSES = 60
# Weight of a later response. Ratios are limited, so that a slow phase moves the
# usual duration slowly.
BASELINE_WEIGHT = 0.02
MAX_BASELINE_RATIO = 4.0
# Relative growth of the usual duration with each response while the endpoint
# has a queue, so that it follows an endpoint that became slower permanently.
BASELINE_GROWTH = 0.001
# Below this slowness the usual duration is too high and follows at any load.
FASTER_SLOWNESS = 0.7
# At most this part of a duration is taken for the network's. With nearly
# constant durations the least one holds the service time as well.
MAX_NETWORK_PART = 0.5
# The least duration is that of the last one to two periods of this length.
LEAST_PERIOD_S = 30.0
# Replicas are seldom probed, and the way to them seldom changes.
PROBED_PERIOD_S = 600.0
# Further kinds share one entry, which bounds the memory.
MAX_KINDS = 16
OTHER_KINDS = "other"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """A snapshot of what was learned of an endpoint.

    Attributes:
        size: Maximum number of statements in flight.
        slots: Configured slots of the endpoint.
        service_s: Usual duration of the recent mix of statements without the
            network's part, in seconds; 0 if it is not known.
        slowness: Recent durations relative to the usual ones.
        responses: Number of responses that the slowness rests on.
        failed_share: Fraction of the recent statements that failed or were
            refused.
        outcomes: Number of statements that failed_share rests on.
        round_trip_s: Least round trip seen lately, in seconds. It may hold a
            service time, so the network takes no longer.
        probed_s: Least round trip of a status command, 0 if there was none.
        usual_s: Usual duration by kind of statement, in seconds.
        measured_at: Time of the last outcome, in seconds of clock.now().
    """

    size: int
    slots: int
    service_s: float
    slowness: float
    responses: int
    failed_share: float
    outcomes: int
    round_trip_s: float
    probed_s: float
    usual_s: dict[str, float]
    measured_at: float


class _Kind:
    """The usual duration of one kind of statement."""

    __slots__ = ("count", "usual_s")

    def __init__(self):
        self.usual_s = 0.0
        self.count = 0

    def add(self, duration_s: float) -> None:
        self.count += 1
        if self.count > WARM_UP_RESPONSES:
            duration_s = min(duration_s, MAX_BASELINE_RATIO * self.usual_s)
        weight = max(1.0 / self.count, BASELINE_WEIGHT)
        self.usual_s += weight * (duration_s - self.usual_s)


class _LeastRoundTrip:
    """The least round trip of the last one to two periods."""

    __slots__ = ("_current_s", "_period_s", "_previous_s", "_started_at")

    def __init__(self, *, period_s: float):
        self._period_s = period_s
        self._started_at = -math.inf
        self._current_s = math.inf
        self._previous_s = math.inf

    def add(self, duration_s: float, now: float) -> None:
        if now - self._started_at > self._period_s:
            self._started_at = now
            self._previous_s, self._current_s = self._current_s, math.inf
        self._current_s = min(self._current_s, duration_s)

    def seconds(self) -> float:
        """Returns the least round trip, infinity if there was none."""
        return min(self._current_s, self._previous_s)


class Capacity:
    """The learned capacity of one endpoint; the caller must hold a lock."""

    def __init__(self, *, slots: int):
        self._slots = slots
        self._fair_size = 1.0
        self._least = _LeastRoundTrip(period_s=LEAST_PERIOD_S)
        self._least_probed = _LeastRoundTrip(period_s=PROBED_PERIOD_S)
        self._is_slow = False
        self._measured_at = -math.inf
        self.reset()

    def reset(self) -> None:
        """Forgets the history, as after a change of the endpoint's role.

        The least round trip is kept: it belongs to the network.
        """
        self._size = float(self._slots)
        self._kinds: dict[str, _Kind] = {}
        self._service_s = 0.0
        self._slowness = 1.0
        self._responses = 0
        self._failed_share = 0.0
        self._outcomes = 0
        self._is_slow = False
        self._cut_at = -math.inf
        self._since_cut = 0
        self._peak_slowness = 0.0
        self._no_effect_until = -math.inf

    def size(self) -> int:
        """Returns the maximum number of statements in flight."""
        return max(1, int(self._size))

    def set_fair_size(self, size: float) -> None:
        """Sets this proxy's share of the slots, by its share of the demand."""
        self._fair_size = min(float(self._slots), max(1.0, size))

    def set_slow(self, *, is_slow: bool) -> None:
        """Sets whether the endpoint counts as slow among its siblings.

        The usual durations of a slow endpoint do not follow its present ones:
        its recovery is judged by them.
        """
        self._is_slow = is_slow

    def record_round_trip(self, duration_s: float) -> None:
        """Records a round trip without a caller's statement."""
        self._least_probed.add(duration_s, clock.now())

    def record_response(
        self,
        kind: str,
        duration_s: float,
        *,
        in_flight: int,
        max_size: int,
        has_waiters: bool,
    ) -> None:
        """Records a completed statement and adapts the limit.

        Args:
            kind: Kind of the statement; durations are compared within it.
            duration_s: Time from sending it to its answer, in seconds.
            in_flight: Number of statements in flight, this one included.
            max_size: Size up to which the limit may grow.
            has_waiters: Whether requests wait for a slot; the limit grows above
                the configured slots only then.
        """
        now = clock.now()
        self._least.add(duration_s, now)
        self._record_outcome(now, failed=False)
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= MAX_KINDS:
                kind = OTHER_KINDS
            known = self._kinds.setdefault(kind, _Kind())
        if known.count >= WARM_UP_RESPONSES:
            self._record_slowness(known, duration_s)
            self._adapt(
                now,
                in_flight=in_flight,
                max_size=max_size,
                has_waiters=has_waiters,
            )
        elif has_waiters:
            self._grow(float(max_size))
        self._update_usual(known, duration_s, in_flight=in_flight)

    def _record_slowness(self, known: _Kind, duration_s: float) -> None:
        network_s = self._network_s(known.usual_s)
        usual_s = max(known.usual_s - network_s, 1e-6)
        ratio = min(MAX_RATIO, max(0.0, duration_s - network_s) / usual_s)
        self._responses += 1
        weight = SLOW_ENDPOINT_WEIGHT if self._is_slow else SLOWNESS_WEIGHT
        self._slowness += weight * (ratio - self._slowness)
        if not self._service_s:
            self._service_s = usual_s
        self._service_s += SERVICE_WEIGHT * (usual_s - self._service_s)

    def _network_s(self, usual_s: float) -> float:
        return min(self._round_trip_s(), MAX_NETWORK_PART * usual_s)

    def _round_trip_s(self) -> float:
        least_s = min(self._least.seconds(), self._least_probed.seconds())
        return least_s if math.isfinite(least_s) else 0.0

    def _update_usual(
        self, known: _Kind, duration_s: float, *, in_flight: int
    ) -> None:
        if known.count < WARM_UP_RESPONSES:
            known.add(duration_s)
        elif self._is_slow:
            return
        elif self._slowness > CUT_SLOWNESS:
            known.usual_s *= 1 + BASELINE_GROWTH
        elif (
            known.count < STEADY_RESPONSES
            # With more in flight, the duration may hold a wait at the endpoint.
            or 2 * in_flight <= self._slots
            or self._slowness < FASTER_SLOWNESS
        ):
            known.add(duration_s)

    def record_failure(self) -> None:
        """Records a statement that failed or whose answer was lost."""
        self._record_outcome(clock.now(), failed=True)

    def record_queue_full(self) -> None:
        """Records that the endpoint refused a statement: its queue is full."""
        now = clock.now()
        self._record_outcome(now, failed=True)
        self._cut(now)

    def _record_outcome(self, now: float, *, failed: bool) -> None:
        self._measured_at = now
        self._outcomes += 1
        self._failed_share += FAILURE_WEIGHT * (failed - self._failed_share)

    def _adapt(
        self, now: float, *, in_flight: int, max_size: int, has_waiters: bool
    ) -> None:
        self._since_cut += 1
        if self._slowness <= CUT_SLOWNESS:
            self._peak_slowness = 0.0
            # A cut below the configured slots is undone in any case; more than
            # them are only tried for requests that wait.
            self._grow(float(max_size if has_waiters else self._slots))
            return
        self._peak_slowness = max(self._peak_slowness, self._slowness)
        if 2 * in_flight <= self._size:
            # The limit is not in use, so a lower one would change nothing.
            return
        if now < self._no_effect_until:
            self._grow(self._fair_size)
            return
        if (
            self._size <= 1
            and self._since_cut >= SETTLE_RESPONSES
            and self._slowness > NO_EFFECT_FRACTION * self._peak_slowness
        ):
            self._no_effect_until = now + EFFECT_TTL_S
            self._peak_slowness = 0.0
            return
        self._cut(now)

    def _grow(self, max_size: float) -> None:
        if self._size < max_size:
            self._size = min(
                max_size, self._size + GROWTH_PER_ROUND / self._size
            )

    def _cut(self, now: float) -> None:
        if now - self._cut_at < MIN_CUT_INTERVAL_S or self._size <= 1:
            return
        self._cut_at = now
        self._since_cut = 0
        self._size = max(1.0, self._size * CUT_FACTOR)

    def measurement(self) -> Measurement:
        """Returns a snapshot."""
        probed_s = self._least_probed.seconds()
        return Measurement(
            size=self.size(),
            slots=self._slots,
            service_s=self._service_s,
            slowness=self._slowness,
            responses=self._responses,
            failed_share=self._failed_share,
            outcomes=self._outcomes,
            round_trip_s=self._round_trip_s(),
            probed_s=probed_s if math.isfinite(probed_s) else 0.0,
            usual_s={
                name: kind.usual_s
                for name, kind in self._kinds.items()
                if kind.count >= WARM_UP_RESPONSES
            },
            measured_at=self._measured_at,
        )
