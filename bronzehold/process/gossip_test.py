import pytest

from bronzehold.process import gossip as gossip_lib

NEW_S = 0.2
OLD_S = 100.0


@pytest.mark.parametrize(
    ("uptime_s", "peer_uptimes_s", "has_restarted"),
    [
        (NEW_S, [NEW_S] * 5, True),
        (NEW_S, [], True),
        (NEW_S, [NEW_S] * 3 + [OLD_S] * 2, True),
        (NEW_S, [NEW_S] * 2 + [OLD_S] * 3, False),
        (NEW_S, [OLD_S] * 5, False),
        (OLD_S, [NEW_S] * 5, False),
    ],
)
def test_restart_of_the_fleet_is_told_from_that_of_one_proxy(
    uptime_s, peer_uptimes_s, has_restarted
):
    assert (
        gossip_lib.has_fleet_restarted(uptime_s, peer_uptimes_s)
        is has_restarted
    )
