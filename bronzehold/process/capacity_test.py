import random

import pytest

from bronzehold.core import clock
from bronzehold.process import capacity as capacity_lib

SLOTS = 4
MAX_SIZE = 6
FAST_S = 0.02
SLOW_S = 0.1


class Endpoint:
    """An endpoint's capacity and a clock that each response moves on."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.capacity = capacity_lib.Capacity(slots=SLOTS)

    def respond(self, count, duration_s, *, kind="r/Read", **fields):
        fields = {
            "in_flight": SLOTS,
            "max_size": MAX_SIZE,
            "has_waiters": True,
        } | (fields)
        for _ in range(count):
            self.now += 0.01
            took_s = duration_s() if callable(duration_s) else duration_s
            self.capacity.record_response(kind, took_s, **fields)
        return self.capacity.measurement()


@pytest.fixture(name="endpoint")
def _endpoint(monkeypatch):
    return Endpoint(monkeypatch)


def test_high_latency_shrinks_the_limit(endpoint):
    assert endpoint.respond(200, FAST_S).size == MAX_SIZE
    assert endpoint.respond(60, SLOW_S).size == 1


def test_limit_grows_above_the_slots_only_if_requests_wait(endpoint):
    assert endpoint.respond(300, FAST_S, has_waiters=False).size == SLOTS
    assert endpoint.respond(200, FAST_S).size == MAX_SIZE


def test_cut_wears_off_without_a_queue(endpoint):
    """Guards against a limit that one burst leaves low until requests wait."""
    endpoint.respond(100, FAST_S)
    assert endpoint.respond(60, SLOW_S).size == 1
    assert endpoint.respond(400, FAST_S, has_waiters=False).size == SLOTS


def test_refusals_within_the_minimum_interval_cut_the_limit_once(endpoint):
    for _ in range(5):
        endpoint.capacity.record_queue_full()
    assert endpoint.capacity.size() == SLOTS * capacity_lib.CUT_FACTOR
    endpoint.now += 1.0
    endpoint.capacity.record_queue_full()
    assert endpoint.capacity.size() == SLOTS * capacity_lib.CUT_FACTOR**2


def test_limit_stays_at_least_one(endpoint):
    for _ in range(20):
        endpoint.now += 1.0
        endpoint.capacity.record_queue_full()
    assert endpoint.capacity.size() == 1


def test_single_slow_response_does_not_cut_the_limit(endpoint):
    endpoint.respond(150, FAST_S)
    assert endpoint.respond(1, 8 * FAST_S).size == MAX_SIZE


def test_kinds_are_compared_with_themselves(endpoint):
    """Guards against a mix that changes from short to long statements.

    Kinds take 6 and 30 ms; one average over both rose above twice its lowest
    value with the mix and cut the limit.
    """
    for _ in range(30):
        endpoint.respond(1, 0.006, kind="a/Read")
        endpoint.respond(1, 0.030, kind="b/Read")
    endpoint.respond(100, 0.006, kind="a/Read")
    measured = endpoint.respond(100, 0.030, kind="b/Read")
    assert measured.slowness == pytest.approx(1.0, abs=0.05)
    assert measured.size == MAX_SIZE


def test_spread_durations_are_not_a_queue(endpoint):
    """Names the load: exponential durations, half or all slots in use.

    An average against its lowest value ever was cut by chance.
    """
    draw = random.Random(5)
    for in_flight, at_least in ((SLOTS // 2, SLOTS), (SLOTS, 0.95 * SLOTS)):
        sizes = [
            endpoint.respond(
                20,
                lambda: draw.expovariate(1 / 0.018),
                in_flight=in_flight,
                has_waiters=False,
            ).size
            for _ in range(200)
        ]
        assert sum(sizes) / len(sizes) >= at_least


def test_network_is_left_out(endpoint):
    """A far endpoint that becomes 7 times slower looks 2.9 times slower.

    At most half of a duration counts as the network's, so less than 7 is seen.
    """
    endpoint.capacity.record_round_trip(0.04)
    endpoint.respond(100, 0.04 + 0.018)
    measured = endpoint.respond(60, 0.04 + 7 * 0.018)
    assert measured.slowness > 3.5


def test_limit_returns_to_the_share_of_the_slots_without_an_effect(endpoint):
    """Names the load: all endpoints are slow by themselves, without a queue.

    Fewer statements in flight are not answered sooner, and one at a time leaves
    three slots of four unused.
    """
    endpoint.capacity.set_fair_size(3.0)
    endpoint.respond(100, FAST_S)
    sizes = [endpoint.respond(1, SLOW_S).size for _ in range(200)]
    assert min(sizes) == 1
    assert sizes[-1] == 3
    assert max(sizes[60:]) == 3


def test_cuts_that_end_a_queue_hold(endpoint):
    """Names the load: from the third statement in flight on, 5 times slower."""
    endpoint.capacity.set_fair_size(4.0)
    endpoint.respond(100, FAST_S)
    sizes = []
    for _ in range(600):
        size = endpoint.capacity.size()
        slow = FAST_S * 5 if size > 2 else FAST_S
        sizes.append(endpoint.respond(1, slow, in_flight=size).size)
    assert sum(sizes[200:]) / len(sizes[200:]) < 3


def test_refusals_and_failures_are_no_durations(endpoint):
    """An endpoint that refuses within 1 ms must not look fast."""
    endpoint.respond(100, FAST_S)
    for _ in range(10):
        endpoint.capacity.record_failure()
    measured = endpoint.capacity.measurement()
    assert measured.slowness == pytest.approx(1.0)
    assert measured.failed_share > 0.5


def test_usual_durations_stay_while_the_endpoint_is_marked(endpoint):
    """Guards against a recovery that is only a habit of slowness."""
    endpoint.respond(100, FAST_S)
    endpoint.capacity.set_slow(is_slow=True)
    measured = endpoint.respond(3000, SLOW_S)
    assert measured.slowness > 4
    assert endpoint.respond(15, FAST_S).slowness < 1.5


def test_change_of_role_forgets_the_history(endpoint):
    endpoint.respond(100, FAST_S)
    endpoint.respond(60, SLOW_S)
    endpoint.capacity.reset()
    measured = endpoint.capacity.measurement()
    assert measured.size == SLOTS
    assert measured.responses == 0
    assert not measured.usual_s


def test_number_of_kinds_is_bounded(endpoint):
    for number in range(100):
        endpoint.respond(30, FAST_S, kind=f"{number}/Read")
    assert (
        len(endpoint.capacity.measurement().usual_s)
        <= capacity_lib.MAX_KINDS + 1
    )
