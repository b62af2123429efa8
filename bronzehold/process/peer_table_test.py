import time

import pytest

from bronzehold.process import peer_table
from bronzehold.proto import peer_pb2 as pb

SILENCE_TIMEOUT_S = 1.0
# An age at which a peer is silent, but still shares the connections.
SILENT_S = 2.0
# An age at which a peer counts for nothing.
OLD_S = 10.0


@pytest.fixture(name="table")
def _table():
    return peer_table.PeerTable(
        own_name="me", silence_timeout_s=SILENCE_TIMEOUT_S
    )


def _members(*names):
    return {
        name: peer_table.Member(name=name, address=f"{name}:1")
        for name in names
    }


def _record(table, name, *, age_s=0.0, sequence=0):
    heartbeat = pb.Heartbeat(proxy=name, address=f"{name}:1", sequence=sequence)
    return table.record(heartbeat, time.monotonic() - age_s)


def test_own_registration_is_ignored(table):
    assert table.set_members(_members("me", "a", "b")) == ["a:1", "b:1"]
    assert table.voter_count() == 3


def test_live_and_registered_peers_vote_once_each(table):
    table.set_members(_members("me", "a", "b"))
    _record(table, "a")
    _record(table, "c")
    _record(table, "d", age_s=SILENT_S)
    assert set(table.live_peers()) == {"a", "c"}
    assert table.voter_count() == 4


def test_silent_peer_shares_the_connections_for_a_while(table):
    _record(table, "a", age_s=SILENT_S)
    _record(table, "b", age_s=OLD_S)
    assert table.share_count() == 2


def test_share_of_a_lost_registration_is_not_reused_at_once(table):
    table.set_members(_members("me", "a"))
    table.set_members(_members("me"))
    assert table.voter_count() == 1
    assert table.share_count() == 2


def test_older_heartbeat_does_not_replace_a_newer_one(table):
    _record(table, "a", sequence=2)
    recorded = _record(table, "a", age_s=SILENT_S, sequence=1)
    assert recorded.previous.heartbeat.sequence == 2
    assert table.live_peers()["a"].sequence == 2


def test_peer_is_new_at_first_and_after_silence(table):
    assert _record(table, "a", age_s=SILENT_S).is_new
    assert table.take_silent() == ["a"]
    assert table.take_silent() == []
    assert _record(table, "a").is_new
    assert not _record(table, "a").is_new


def test_address_is_known_while_its_peer_is_registered_or_live(table):
    table.set_members(_members("a"))
    _record(table, "b")
    _record(table, "c", age_s=SILENT_S)
    known = [n for n in "abc" if table.is_known(f"{n}:1")]
    assert known == ["a", "b"]
