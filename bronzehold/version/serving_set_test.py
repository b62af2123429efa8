import pytest

from bronzehold.version import members as members_lib
from bronzehold.version import serving_set

ZONES = 6
FLEETS = [(4, 16), (30, 46), (78, 58), (300, 58), (775, 58)]
LARGE_FLEETS = FLEETS[1:]
SERVICES = [f"s{n}" for n in range(40)]


def _member(number):
    return members_lib.Member(
        name=f"p{number}",
        zone=f"z{number % ZONES}",
        address=f"10.0.0.{number}:1",
    )


def _fleet(size):
    return [_member(n) for n in range(size)]


def _sets(members, connections):
    return {
        service: serving_set.serving_set(service, members, connections)
        for service in SERVICES
    }


def test_every_proxy_of_a_small_fleet_serves():
    members = _fleet(4)
    assert serving_set.serving_set("s", members, 16) == {
        member.name for member in members
    }


@pytest.mark.parametrize(("size", "connections"), LARGE_FLEETS)
def test_every_zone_of_a_large_fleet_has_a_serving_proxy(size, connections):
    members = _fleet(size)
    zones = {member.name: member.zone for member in members}
    for names in _sets(members, connections).values():
        assert {zones[name] for name in names} == set(zones.values())


@pytest.mark.parametrize(("size", "connections"), FLEETS)
def test_share_of_connections_does_not_shrink_as_the_fleet_grows(
    size, connections
):
    """Answers the pattern of a share below one connection.

    78 proxies that share 58 connections opened one for nearly each statement.
    """
    for names in _sets(_fleet(size), connections).values():
        assert connections // len(names) >= serving_set.MIN_SHARE_CONNECTIONS


@pytest.mark.parametrize(("size", "connections"), LARGE_FLEETS)
def test_sets_are_spread_over_the_fleet(size, connections):
    members = _fleet(size)
    counts = dict.fromkeys((m.name for m in members), 0)
    for names in _sets(members, connections).values():
        for name in names:
            counts[name] += 1
    mean = sum(counts.values()) / size
    assert max(counts.values()) <= 3 * mean + 3


@pytest.mark.parametrize(("size", "connections"), LARGE_FLEETS)
def test_proxy_that_goes_moves_only_its_own_services(size, connections):
    members = _fleet(size)
    before = _sets(members, connections)
    gone = members[size // 2].name
    after = _sets([m for m in members if m.name != gone], connections)
    for service in SERVICES:
        assert before[service] - {gone} <= after[service]
        assert len(after[service]) == len(before[service])


@pytest.mark.parametrize(("size", "connections"), LARGE_FLEETS)
def test_proxy_that_comes_takes_over_a_few_services(size, connections):
    members = _fleet(size)
    before = _sets(members, connections)
    after = _sets([*members, _member(size)], connections)
    for service in SERVICES:
        assert len(before[service] - after[service]) <= 1


def test_order_of_the_members_does_not_matter():
    members = _fleet(78)
    assert serving_set.serving_set("s", members, 58) == serving_set.serving_set(
        "s", members[::-1], 58
    )
