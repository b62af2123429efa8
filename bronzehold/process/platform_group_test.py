import threading

import pytest

from bronzehold.core import clock
from bronzehold.core import statements
from bronzehold.process import platform_group
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import write_hold
from bronzehold.version import succession
from tests import helpers


class FakeClock:
    """A clock that the test advances."""

    def __init__(self):
        self.at = 1000.0

    def now(self) -> float:
        return self.at


@pytest.fixture(name="time")
def _time(monkeypatch):
    fake_clock = FakeClock()
    monkeypatch.setattr(clock, "now", fake_clock.now)
    return fake_clock


def _group():
    group = platform_group.PlatformGroup(
        name="g", timeline=timeline_lib.Timeline(proxy="p", zone="z")
    )
    group.set_listings({n: helpers.listing(n) for n in "abc"})
    return group


def _status(*, leads, term, number=0):
    return statements.Status(
        leads=leads,
        term=term,
        received=statements.LogPosition(term=term, number=number),
        paused_term=1,
        lag_s=0.0,
        busy_slots=0,
        connections=0,
    )


def _group_with_primary(time):
    group = _group()
    group.note_status("a", _status(leads=True, term=1, number=5), time.at)
    return group


def _hold(group, attempt, until, **fields):
    group.hold_writes(
        write_hold.Hold(attempt=attempt, expires_at=until, **fields)
    )


def test_primary_is_the_leader_of_the_highest_term(time):
    group = _group_with_primary(time)
    assert group.leader() == platform_group.Leader(endpoint="a", term=1)
    group.note_status("b", _status(leads=True, term=2), time.at)
    group.note_status("a", _status(leads=True, term=1), time.at)
    assert group.leader() == platform_group.Leader(endpoint="b", term=2)


def test_answer_of_an_earlier_term_is_no_proof(time):
    group = _group_with_primary(time)
    group.note_status("b", _status(leads=True, term=2, number=3), time.at)
    time.at += 1
    old = statements.LogPosition(term=1, number=9)
    group.note_primary_answer("a", old, time.at)
    assert group.proofs.newest().position.term == 2


def test_refused_write_clears_the_primary(time):
    group = _group_with_primary(time)
    group.note_not_leading("b")
    assert group.leader() is not None
    group.note_not_leading("a")
    assert group.leader() is None


def test_reach_is_unknown_after_silence_without_a_failure(time):
    group = _group_with_primary(time)
    time.at += 60
    assert group.reach("a") is succession.Reach.UNKNOWN
    group.note_failing("a", refused=False)
    assert group.reach("a") is succession.Reach.UNREACHABLE


def test_reset_contacts_clears_the_failures_of_a_suspension(time):
    group = _group_with_primary(time)
    group.note_failing("a", refused=False)
    time.at += 5
    group.reset_contacts()
    assert group.reach("a") is succession.Reach.REACHED


def test_peer_report_counts_only_if_newer_than_the_failure(time):
    group = _group_with_primary(time)
    group.note_failing("a", refused=True)
    time.at += 0.1
    # The peer's report may date from before the primary failed.
    group.note_peer_reached("a")
    assert not group.primary_reached_by_peers()
    time.at += 0.6
    group.note_peer_reached("a")
    assert group.primary_reached_by_peers()
    time.at += 0.6
    assert not group.primary_reached_by_peers()


def test_contact_is_reset_when_an_endpoint_restarts_under_its_id(time):
    group = _group_with_primary(time)
    group.note_failing("b", refused=True)
    assert group.is_failing("b")
    listings = {n: helpers.listing(n) for n in "ac"}
    group.set_listings({**listings, "b": helpers.listing("b", started_ms=7)})
    assert not group.is_failing("b")


def test_hold_of_a_later_token_takes_precedence(time):
    """Guards against LOST: writes ran while a change of primary was ordered.

    The hold of a holder that had been replaced kept that of the next one away,
    and expired before the order of the latter was carried out.
    """
    group = _group_with_primary(time)
    _hold(group, "p1/1/9", time.at + 0.8)
    _hold(group, "p2/1/10", time.at + 2.0)
    _hold(group, "p1/1/9", time.at + 0.8)
    time.at += 1.0
    assert group.hold_attempt() == "p2/1/10"


@pytest.mark.parametrize(
    ("term", "number", "is_deposed"),
    [(3, 191, True), (2, 9, False), (4, 1, False)],
)
def test_log_of_a_replica_that_led_in_its_last_term_is_deposed(
    time, term, number, is_deposed
):
    group = _group()
    group.note_status("a", _status(leads=True, term=3), time.at)
    group.note_status("b", _status(leads=True, term=4), time.at)
    received = statements.LogPosition(term=term, number=number)
    assert group.has_deposed_log("a", received) == is_deposed
    assert not group.has_deposed_log("c", received)


def test_held_writes_wait_until_the_hold_expires(time):
    group = _group_with_primary(time)
    assert group.start_write(time.at) is not None
    _hold(group, "p1/1", time.at + 0.8)
    assert not group.drained()
    assert group.start_write(time.at) is None
    group.end_write()
    assert group.drained()
    # Of two concurrent changes, all proxies choose the one that sorts first.
    _hold(group, "p2/1", time.at + 9)
    assert group.hold_attempt() == "p1/1"
    time.at += 1
    assert not group.hold_attempt()
    assert group.start_write(time.at) is not None


def _hold_for_promotion(time, targets=("b",)):
    group = _group_with_primary(time)
    _hold(group, "p1/1/4", time.at, until_decided=True, targets=targets)
    time.at += 60.0
    return group


def test_hold_lasts_until_the_outcome_is_known(time):
    """Guards against LOST: writes went on while an order was still open."""
    group = _hold_for_promotion(time)
    assert group.hold_attempt() == "p1/1/4"
    assert group.start_write(time.at) is None
    group.release_writes("p1/1/4")
    assert not group.hold_attempt()


@pytest.mark.parametrize(
    ("targets", "leader", "is_released"),
    [
        (("b",), "b", True),
        (("b",), "c", False),
        ((), "b", False),
        (("b", "c"), "b", False),
    ],
)
def test_promotion_of_the_target_decides_a_change(
    time, targets, leader, is_released
):
    """Guards against LOST: another order than the last one was carried out."""
    group = _hold_for_promotion(time, targets)
    group.note_status(leader, _status(leads=True, term=2), time.at)
    assert bool(group.hold_attempt()) != is_released


@pytest.mark.parametrize(
    ("token", "is_released"), [(3, False), (4, False), (5, True)]
)
def test_fence_of_a_later_token_decides_a_change(time, token, is_released):
    group = _hold_for_promotion(time)
    group.release_fenced(token)
    assert bool(group.hold_attempt()) != is_released


def _await_outcome(group, end, term=1):
    """Ends a change while a commit of a term waits; returns what it saw."""
    seen = []
    waiter = threading.Thread(
        target=lambda: seen.append(group.await_outcome(term, clock.now() + 5.0))
    )
    waiter.start()
    end()
    waiter.join(5.0)
    return seen


def test_commit_beside_an_open_order_waits_for_its_outcome():
    """Guards against LOST: a write in flight was acknowledged by a primary.

    A replica that started after the choice of the next one had confirmed it.
    """
    group = _group()
    group.note_status("a", _status(leads=True, term=1), clock.now())
    assert group.await_outcome(1, clock.now())

    def hold():
        _hold(group, "p/1/4", 0.0, until_decided=True, targets=("b",))

    hold()
    assert not group.await_outcome(1, clock.now())
    assert _await_outcome(group, lambda: group.release_fenced(5)) == [True]
    hold()
    leads = _status(leads=True, term=2)
    assert _await_outcome(
        group, lambda: group.note_status("b", leads, clock.now())
    ) == [False]


def test_commit_before_the_order_is_acknowledged_at_once(time):
    """Guards against unknown outcomes of writes that end while others wait."""
    group = _hold_for_promotion(time, ())
    assert group.await_outcome(1, time.at)


def test_hold_until_the_outcome_gives_way_to_its_like_only(time):
    """Guards against LOST: a hold that expires replaced one that does not."""
    group = _hold_for_promotion(time)
    _hold(group, "p2/1/5", time.at + 0.8)
    assert group.hold_attempt() == "p1/1/4"
    _hold(group, "p2/1/5", time.at + 0.8, until_decided=True)
    assert group.hold_attempt() == "p2/1/5"
    _hold(group, "p1/1/4", time.at + 0.8, until_decided=True)
    assert group.hold_attempt() == "p2/1/5"


def test_waiting_write_starts_once_a_primary_is_found():
    group = _group()
    found = []
    waiter = threading.Thread(
        target=lambda: found.append(group.start_write(clock.now() + 5))
    )
    waiter.start()
    group.note_status("c", _status(leads=True, term=4), clock.now())
    waiter.join(5)
    assert found == [platform_group.Leader(endpoint="c", term=4)]


def test_writes_wait_while_the_primary_refuses_connections(time):
    group = _group_with_primary(time)
    group.note_failing("a", refused=True)
    assert group.start_write(time.at) is None
    assert group.wait_leader(time.at) is None
    group.note_answered("a")
    assert group.start_write(time.at) is not None


def test_wait_for_a_primary_ends_with_a_stop():
    """Guards against LOST: a statement that waits longer than the stop."""
    limit = [float("inf")]
    group = platform_group.PlatformGroup(
        name="g",
        timeline=timeline_lib.Timeline(proxy="p", zone="z"),
        limit_deadline=lambda deadline: min(deadline, limit[0]),
    )
    timer = threading.Timer(0.1, lambda: limit.__setitem__(0, clock.now()))
    timer.start()
    started = clock.now()
    assert group.wait_leader(started + 60.0) is None
    assert group.start_write(started + 60.0) is None
    assert clock.now() - started < 2.0
