import pytest

from bronzehold.process import listing_order
from tests import helpers


def _listing(**fields):
    return helpers.listing("e1", **{"started_ms": 5, "sequence": 9, **fields})


LEAVING = _listing(leaving=True)


@pytest.mark.parametrize(
    "found",
    [
        _listing(sequence=8),
        _listing(started_ms=4, sequence=30),
    ],
)
def test_listing_from_before_is_not_used(found):
    """Guards against work for an endpoint as it was some seconds ago."""
    assert listing_order.latest(LEAVING, found) is None


def test_endpoint_that_leaves_is_not_ready_again_in_its_incarnation():
    """Guards against work for an endpoint that may end at any moment."""
    found = _listing(sequence=10, slots=7)
    latest = listing_order.latest(LEAVING, found)
    assert latest.leaving
    assert latest.slots == 7
    restarted = _listing(started_ms=6, sequence=1)
    assert not listing_order.latest(LEAVING, restarted).leaving


def test_listing_that_is_written_again_is_used():
    found = _listing(sequence=9, leads=True)
    assert listing_order.latest(_listing(), found) == found


def test_removed_endpoint_does_not_come_back_with_the_copy():
    """Guards against work for an endpoint that has ended."""
    found = _listing()
    removed = _listing()
    assert not listing_order.latest(None, found, removed=removed, is_copy=True)
    # The endpoint was slow to write, and is still running.
    assert listing_order.latest(None, found, removed=removed) == found
    later = _listing(sequence=10)
    assert listing_order.latest(None, later, removed=removed, is_copy=True)
    assert listing_order.latest(None, later, removed=LEAVING).leaving


def test_listings_without_a_start_time_are_used_as_they_are():
    found = _listing(started_ms=0, sequence=1)
    assert listing_order.latest(LEAVING, found) == found


def test_sequence_number_alone_is_no_change_of_a_listing():
    """Guards against an event for each writing of each endpoint."""
    assert _listing(sequence=1) == _listing(sequence=2)
