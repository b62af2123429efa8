import zlib

import pytest

from bronzehold.process import gossip as gossip_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import gossip_pb2 as pb

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


@pytest.fixture(name="gossip")
def _gossip():
    timeline = timeline_lib.Timeline(proxy="me", zone="z")
    gossip = gossip_lib.Gossip(
        name="me",
        incarnation="i",
        address=("127.0.0.1", 0),
        seeds=[],
        zone="z",
        timeline=timeline,
        tasks=tasks_lib.Tasks(timeline=timeline),
    )
    gossip.on_peers_changed = lambda: None
    gossip.on_digest = lambda _: None
    yield gossip
    gossip.close()


def _hear(gossip, *, incarnation, stamp_us):
    digest = pb.Digest(
        proxy="p", address="h:1", incarnation=incarnation, stamp_us=stamp_us
    )
    gossip._receive(digest, 0.0)
    return gossip._received["p"].digest


def test_peer_that_starts_again_with_a_lower_clock_is_heard(gossip):
    """Guards against RECOVER: a machine that lost power was not heard again.

    Its clock started anew, so that all of its digests counted as old ones.
    """
    _hear(gossip, incarnation="1", stamp_us=9_000_000)
    heard = _hear(gossip, incarnation="2", stamp_us=5)
    assert heard.incarnation == "2"


@pytest.mark.parametrize(
    ("incarnation", "stamp_us"), [("2", 40), ("1", 9_000_000)]
)
def test_late_digest_does_not_replace_a_newer_one(
    gossip, incarnation, stamp_us
):
    _hear(gossip, incarnation="1", stamp_us=9_000_000)
    _hear(gossip, incarnation="2", stamp_us=50)
    heard = _hear(gossip, incarnation=incarnation, stamp_us=stamp_us)
    assert (heard.incarnation, heard.stamp_us) == ("2", 50)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "127.0.0.1:x", "a..b:80", "no port", "\0:80"]
)
def test_peer_at_an_odd_address_does_not_end_the_round(gossip, address):
    """Guards against CONFIG and LOST: an odd port ended every round."""
    sent = []
    gossip.fill_digest = lambda digest, at: sent.append(at)
    gossip.needs_entries = lambda: False
    gossip.set_members({"odd": address, "you": "127.0.0.1:9"})
    gossip._send_round(to_all=True)
    assert len(sent) == 2


@pytest.mark.parametrize(
    "data", [b"", b"odd", zlib.compress(b"\xff"), zlib.compress(bytes(1 << 28))]
)
def test_odd_entries_of_a_peer_are_dropped(data):
    assert gossip_lib.unpack_entries(data) == []


def test_entries_arrive_as_they_were_sent():
    entries = [("a", b"1"), ("b", bytes(1 << 20))]
    packed = gossip_lib.pack_entries(entries)
    assert gossip_lib.unpack_entries(packed) == entries
