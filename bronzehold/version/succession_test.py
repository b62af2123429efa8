import pytest

from bronzehold.core import statements
from bronzehold.version import succession

UNREACHABLE = succession.Reach.UNREACHABLE
REACHED = succession.Reach.REACHED
UNKNOWN = succession.Reach.UNKNOWN


def _view(reach, leader="a", term=3):
    return succession.View(leader=leader, term=term, reach=reach)


def _decide(own, others=(), **fields):
    defaults = {
        "proxies": 1 + len(others),
        "leaving": False,
        "leaderless_s": 0.0,
        "leaderless_timeout_s": 1.0,
    }
    return succession.decide(own, others, **{**defaults, **fields})


@pytest.mark.parametrize(
    "reaches",
    [
        [REACHED, REACHED, REACHED, REACHED],
        [UNREACHABLE, REACHED, REACHED, REACHED],
        # Exactly half of the proxies reach it, and half do not.
        [UNREACHABLE, UNREACHABLE, REACHED, REACHED],
        # Proxies that have not tried to reach it count on neither side.
        [UNREACHABLE, UNREACHABLE, UNKNOWN, UNKNOWN],
        [UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN],
    ],
)
def test_primary_is_kept_without_an_unreachable_majority(reaches):
    own, *others = [_view(r) for r in reaches]
    assert _decide(own, others) == succession.Keep()


def test_primary_unreachable_for_most_proxies_is_replaced():
    own, *others = [
        _view(r) for r in (REACHED, UNREACHABLE, UNREACHABLE, UNREACHABLE)
    ]
    assert isinstance(_decide(own, others), succession.Replace)


def test_primary_lost_to_all_serving_proxies_of_a_large_fleet_is_replaced():
    """Answers the pattern of a lost primary that every proxy has to probe."""
    lost = [_view(UNREACHABLE)] * 6
    large = {"proxies": 78, "serving": lost, "serving_proxies": 6}
    decision = _decide(_view(UNREACHABLE), lost, **large)
    assert isinstance(decision, succession.Replace)
    assert _decide(_view(UNKNOWN), lost, **large) == succession.Keep()
    reached = [*lost, _view(REACHED)]
    assert _decide(_view(UNREACHABLE), reached, **large) == succession.Keep(), (
        "another proxy reaches it"
    )
    for serving in (lost[:5], [*lost[:5], _view(UNKNOWN)]):
        fields = {**large, "serving": serving}
        assert _decide(_view(UNREACHABLE), serving, **fields) == (
            succession.Keep()
        ), "a serving proxy is silent or has not tried"
    fields = {**large, "serving": lost[:2], "serving_proxies": 2}
    assert _decide(_view(UNREACHABLE), lost[:2], **fields) == succession.Keep()


def test_silent_proxies_count_towards_the_required_majority():
    # Two of four proxies reach neither the primary nor the other two, which may
    # be on the primary's side of a partition.
    decision = _decide(_view(UNREACHABLE), [_view(UNREACHABLE)], proxies=4)
    assert decision == succession.Keep()
    decision = _decide(_view(UNREACHABLE), [_view(UNREACHABLE)], proxies=3)
    assert isinstance(decision, succession.Replace)


def test_primary_is_kept_if_a_peer_reports_a_later_term():
    others = [_view(REACHED, leader="b", term=4)]
    assert _decide(_view(UNREACHABLE), others) == succession.Keep()


def test_leaving_primary_is_handed_over_only_while_reachable():
    assert _decide(_view(REACHED), leaving=True) == succession.HandOver()
    decision = _decide(_view(UNREACHABLE), leaving=True)
    assert isinstance(decision, succession.Replace)


@pytest.mark.parametrize(
    ("own", "others"),
    [
        (REACHED, [UNREACHABLE, UNKNOWN, UNKNOWN]),
        (UNREACHABLE, [REACHED, REACHED, UNKNOWN]),
    ],
)
def test_leaving_primary_is_handed_over_though_one_proxy_is_cut_off(
    own, others
):
    """Guards against DRAIN: the others went on using it until it ended."""
    views = [_view(reach) for reach in others]
    assert _decide(_view(own), views, leaving=True) == succession.HandOver()
    assert _decide(_view(own), views) == succession.Keep()


def test_leaving_primary_that_nobody_reaches_is_no_planned_change():
    views = [_view(UNKNOWN)] * 3
    assert _decide(_view(UNREACHABLE), views, leaving=True) == succession.Keep()


def test_endpoint_is_promoted_only_after_the_leaderless_timeout():
    no_leader = _view(UNKNOWN, leader="")
    assert _decide(no_leader, leaderless_s=0.5) == succession.Keep()
    decision = _decide(no_leader, leaderless_s=1.5)
    assert isinstance(decision, succession.Replace)
    peers = [_view(REACHED)]
    assert _decide(no_leader, peers, leaderless_s=1.5) == succession.Keep()


def _candidate(name, term, number, *, leaving=False, deposed=False):
    return succession.Candidate(
        endpoint=name,
        received=statements.LogPosition(term=term, number=number),
        leaving=leaving,
        deposed=deposed,
    )


@pytest.mark.parametrize("synchronous", [False, True])
def test_successor_has_the_highest_position_by_term_then_number(synchronous):
    chosen = succession.choose_successor(
        [_candidate("a", 2, 900), _candidate("b", 3, 5), _candidate("c", 3, 4)],
        synchronous=synchronous,
    )
    assert chosen.endpoint == "b"
    assert succession.choose_successor([], synchronous=synchronous) is None


@pytest.mark.parametrize("synchronous", [False, True])
def test_endpoint_that_stays_is_preferred_among_equal_logs(synchronous):
    chosen = succession.choose_successor(
        [_candidate("z", 3, 5, leaving=True), _candidate("a", 3, 5)],
        synchronous=synchronous,
    )
    assert chosen.endpoint == "a"


@pytest.mark.parametrize(("synchronous", "chosen"), [(False, "a"), (True, "z")])
def test_leaving_endpoint_leads_again_only_for_confirmed_commits(
    synchronous, chosen
):
    """Guards against DRAIN: requests reached one that had left for long.

    It was promoted as the others had received nothing for a while.
    """
    candidates = [_candidate("z", 3, 9, leaving=True), _candidate("a", 3, 5)]
    successor = succession.choose_successor(candidates, synchronous=synchronous)
    assert successor.endpoint == chosen


def test_deposed_endpoint_leads_again_only_if_it_is_the_only_one():
    """Guards against STALE: commits that were rolled back came back in force.

    The log of the deposed primary had a higher position in the old term than
    that of its successor, and lacked all commits since.
    """
    deposed = _candidate("z", 3, 191, deposed=True)
    others = [_candidate("a", 3, 163), _candidate("b", 3, 160, leaving=True)]
    assert succession.choose_successor([deposed], synchronous=False) == deposed
    for other in others:
        chosen = succession.choose_successor(
            [deposed, other], synchronous=False
        )
        assert chosen == other


def test_leaving_endpoint_is_chosen_if_it_is_the_only_one():
    only = _candidate("z", 3, 9, leaving=True)
    assert succession.choose_successor([only], synchronous=False) == only


def test_reports_about_the_previous_primary_do_not_count():
    # The peers still report the previous primary; news of the new one has not
    # reached them yet.
    others = [_view(UNREACHABLE, leader="old", term=2) for _ in range(3)]
    own = _view(REACHED, leader="new", term=3)
    assert _decide(own, others) == succession.Keep()
