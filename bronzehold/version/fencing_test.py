import pytest

from bronzehold.version import fencing


def test_numbers_without_eras_count_up_by_one():
    assert fencing.next_number(era=0, revision=900, known=0) == 1
    assert fencing.next_number(era=0, revision=900, known=7) == 8


def test_number_of_an_era_is_above_all_of_earlier_ones():
    """Guards against a number that was issued in the lost seconds."""
    last = fencing.next_number(era=1, revision=(1 << 40) - 2, known=0)
    assert last is not None
    assert fencing.next_number(era=2, revision=0, known=0) > last


def test_number_is_above_the_one_of_an_overwritten_record():
    """Guards against two holders after a swap that crossed a return.

    It replaced a record of the new era by an older one, at a later revision.
    """
    overwritten = fencing.next_number(era=2, revision=50, known=7)
    assert fencing.next_number(era=2, revision=52, known=8) > overwritten


def test_number_is_above_the_known_one():
    known = fencing.first_number(2) + 900
    assert fencing.next_number(era=2, revision=5, known=known) == known + 1


@pytest.mark.parametrize(
    "fields",
    [
        {"era": 1 << 13, "revision": 0, "known": 0},
        {"era": 1, "revision": 1 << 40, "known": 0},
        {"era": 1, "revision": 0, "known": fencing.first_number(2) - 1},
    ],
)
def test_number_that_would_reach_the_next_era_is_not_issued(fields):
    """Guards against numbers that JSON decoders round, or two eras share."""
    assert fencing.next_number(**fields) is None
