from bronzehold.core import ports
from bronzehold.process import peer_copies
from bronzehold.process import store_news as news_lib


def _position(revision):
    return ports.Position(era=0, revision=revision)


def _report(revision):
    return news_lib.Report(position=_position(revision), at=1.0)


def test_copies_are_read_for_each_change_a_few_times():
    """Guards against DRAIN, and against copies without end in an outage."""
    copies = peer_copies.PeerCopies()
    known = _position(5)
    assert not copies.are_needed(None, known=known)
    assert not copies.are_needed(_report(5), known=known)
    for revision in (8, 9):
        for _ in range(peer_copies.COPIES_PER_CHANGE):
            assert copies.are_needed(_report(revision), known=known)
            copies.note(_report(revision))
        assert not copies.are_needed(_report(revision), known=known)
    assert not copies.are_needed(_report(8), known=known)


def test_copy_without_a_report_counts_for_no_change():
    copies = peer_copies.PeerCopies()
    copies.note(None)
    assert copies.are_needed(_report(8), known=_position(5))
