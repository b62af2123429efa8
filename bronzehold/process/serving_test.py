import pytest

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.process import serving as serving_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import members as members_lib

LIMITS = routes.ServiceLimits(name="s", connections=8, synchronous=False)
ZONES = ("a", "b")
SILENCE_S = 3.0


def _member(number):
    return members_lib.Member(
        name=f"p{number}",
        zone=ZONES[number % len(ZONES)],
        address=f"10.0.0.{number}:1",
    )


def _fleet(size):
    """Returns what each proxy of a fleet knows, by the name of the proxy."""
    members = [_member(n) for n in range(size)]
    fleet = {}
    for own in members:
        serving = serving_lib.Serving(
            own=own,
            everyone=lambda: size,
            silence_s=lambda: SILENCE_S,
            timeline=timeline_lib.Timeline(proxy=own.name, zone=own.zone),
        )
        serving.set_peers([m for m in members if m != own])
        fleet[own.name] = serving
    return fleet


@pytest.fixture(name="at")
def _at(monkeypatch):
    at = [100.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    return at


def test_small_fleet_forwards_nothing():
    for serving in _fleet(2).values():
        assert serving.serves(LIMITS)
        assert serving.targets(LIMITS) == []
        assert serving.share_count(LIMITS) == 2


def test_statements_are_forwarded_to_the_serving_proxy_of_the_own_zone():
    fleet = _fleet(10)
    names = next(iter(fleet.values())).names(LIMITS)
    assert len(names) == len(ZONES)
    for name, serving in fleet.items():
        if name in names:
            assert serving.targets(LIMITS) == []
            continue
        targets = serving.targets(LIMITS)
        assert targets[0].name in names
        assert {t.zone for t in targets} == {_member(int(name[1:])).zone}


def test_share_leaves_room_for_connections_of_a_lost_proxy():
    for serving in _fleet(10).values():
        assert serving.share_count(LIMITS) == len(ZONES) + 1


def test_suspect_gets_nothing_until_it_is_heard_again(at):
    """Answers the pattern of a serving proxy that has died or is frozen.

    Its silence is noticed late in a large fleet, since each peer is heard only
    now and then; the statements of its zone must go elsewhere at once.
    """
    serving = next(s for s in _fleet(10).values() if not s.serves(LIMITS))
    first, second = serving.targets(LIMITS)
    serving.suspect(first.name, "no answer")
    assert serving.targets(LIMITS)[0] == second
    serving.note_heard(first.name)
    assert first not in serving.targets(LIMITS), "a digest sent before that"
    at[0] += serving_lib.MIN_SUSPECT_S + 0.1
    assert first not in serving.targets(LIMITS)
    serving.note_heard(first.name)
    assert serving.targets(LIMITS)[0] == first


def test_suspect_that_stays_silent_is_tried_in_the_end(at):
    serving = next(s for s in _fleet(10).values() if not s.serves(LIMITS))
    first = serving.targets(LIMITS)[0]
    serving.suspect(first.name, "no answer")
    at[0] += serving_lib.MAX_SUSPECT_S
    assert serving.targets(LIMITS)[0] == first


def test_without_another_proxy_in_the_zone_this_one_serves():
    serving = _fleet(10)["p1"]
    serving.set_peers([_member(n) for n in range(0, 10, 2)])
    assert serving.serves(LIMITS)


def test_all_proxies_of_the_zone_suspected_means_serving_here():
    serving = next(s for s in _fleet(10).values() if not s.serves(LIMITS))
    while serving.targets(LIMITS):
        serving.suspect(serving.targets(LIMITS)[0].name, "no answer")
    assert serving.suspect_count() == 10 // len(ZONES) - 1


def test_registered_proxies_count_as_live_after_the_start(at):
    """Answers the pattern of a fleet that starts at once.

    Until the first digests, each proxy took itself for the only one. It opened
    connections to all endpoints, which those of the serving set then lacked.
    """
    members = [_member(n) for n in range(10)]
    names = _fleet(10)["p0"].names(LIMITS)
    own = next(m for m in members if m.name not in names)
    serving = serving_lib.Serving(
        own=own,
        everyone=lambda: 1,
        silence_s=lambda: SILENCE_S,
        timeline=timeline_lib.Timeline(proxy=own.name, zone=own.zone),
    )
    assert serving.serves(LIMITS)
    serving.set_registered(members)
    assert not serving.serves(LIMITS)
    assert serving.targets(LIMITS)[0].name in names
    at[0] += SILENCE_S
    assert serving.serves(LIMITS), "none of them has sent a digest"


def test_registered_proxy_that_stops_or_has_gone_silent_is_not_expected():
    members = [_member(n) for n in range(3)]
    serving = serving_lib.Serving(
        own=members[0],
        everyone=lambda: 1,
        silence_s=lambda: SILENCE_S,
        timeline=timeline_lib.Timeline(proxy="p0", zone="a"),
    )
    limits = routes.ServiceLimits(name="s", connections=64, synchronous=False)
    serving.set_registered(members)
    assert serving.names(limits) == {"p0", "p1", "p2"}
    serving.set_peers([], frozenset({"p1"}))
    assert serving.names(limits) == {"p0", "p2"}


def _region_view(serving):
    return serving.region_view(frozenset({"a"}))


def _hear(serving, numbers):
    for number in numbers:
        serving.note_heard(f"p{number}")


def _in_contact(at):
    """Returns what p0 knows after its start, with p2 to p8 in its region."""
    serving = _fleet(10)["p0"]
    for _ in range(8):
        at[0] += 0.25
        _hear(serving, range(1, 10))
    return serving


def test_region_view_holds_the_proxies_of_its_zones(at):
    view = _region_view(_in_contact(at))
    assert view.known == ("p0", "p2", "p4", "p6", "p8")
    assert {m.name for m in view.present} == set(view.known)
    assert view.fleet_size == 10
    assert view.in_contact


def test_contact_needs_more_than_half_of_the_region(at):
    """Guards against two limiters: each half of a region has its own."""
    serving = _in_contact(at)
    for _ in range(10):
        at[0] += 0.25
        _hear(serving, (1, 2, 3, 5, 7, 9))
    view = _region_view(serving)
    assert not view.in_contact
    assert {m.name for m in view.present} == {"p0", "p2"}


def test_proxy_that_was_suspended_has_no_contact_at_once(at):
    """Guards against a limiter that resumes with the view from before.

    Datagrams that waited for it arrive at once. The others may have another
    limiter until they have heard it.
    """
    serving = _in_contact(at)
    at[0] += 60.0
    assert not _region_view(serving).in_contact
    _hear(serving, range(1, 10))
    view = _region_view(serving)
    assert not view.in_contact
    assert view.contact_since == at[0]
    for _ in range(4):
        at[0] += 0.25
        _hear(serving, range(1, 10))
    assert _region_view(serving).in_contact


def test_cut_off_proxy_loses_contact_before_the_others_replace_it(at):
    serving, other = _in_contact(at), _in_contact(at)
    while _region_view(serving).in_contact:
        at[0] += 0.05
        _hear(other, range(1, 8))
    assert any(m.name == "p8" for m in _region_view(other).present)
