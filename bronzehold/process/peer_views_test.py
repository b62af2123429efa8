from bronzehold.process import peer_views
from bronzehold.proto import peer_pb2 as pb


def _heartbeat(**view):
    return pb.Heartbeat(groups=[pb.GroupView(**view)])


LOST = _heartbeat(group="g", primary="e1", primary_gone=True)
WELL = _heartbeat(group="g", primary="e1")
OTHER_GROUP = _heartbeat(group="h", primary="e1", primary_gone=True)
UNKNOWN_PRIMARY = _heartbeat(group="g", primary="", primary_gone=True)
OTHER_PRIMARY = _heartbeat(group="g", primary="e2", primary_gone=True)
SILENT_ON_GROUPS = pb.Heartbeat()


def test_votes_are_of_peers_that_report_this_primary_or_know_none():
    heartbeats = [LOST, WELL, OTHER_GROUP, UNKNOWN_PRIMARY, OTHER_PRIMARY]
    heartbeats.append(SILENT_ON_GROUPS)
    assert peer_views.primary_lost_votes(heartbeats, "g", "e1") == 2


def test_all_drained_needs_every_peer_to_hold_for_the_attempt():
    drained = _heartbeat(group="g", handover="p/1", drained=True)
    busy = _heartbeat(group="g", handover="p/1")
    other = _heartbeat(group="g", handover="p/2", drained=True)
    assert peer_views.all_drained([], "g", "p/1")
    assert peer_views.all_drained([drained, drained], "g", "p/1")
    for one in (busy, other, SILENT_ON_GROUPS):
        assert not peer_views.all_drained([drained, one], "g", "p/1")


def test_all_reached_term_needs_every_peer():
    new, old = _heartbeat(group="g", term=3), _heartbeat(group="g", term=2)
    assert peer_views.all_reached_term([new, new], "g", 3)
    assert peer_views.all_reached_term([new, old], "g", 2)
    for one in (old, SILENT_ON_GROUPS, _heartbeat(group="h", term=3)):
        assert not peer_views.all_reached_term([new, one], "g", 3)
