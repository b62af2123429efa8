"""The numbers of fencing tokens in a store that may return from a copy.

A number is issued once: it must be higher than all numbers of earlier eras,
also than those whose records were lost, and within an era no two changes of a
record may lead to the same number.

The era is in the upper bits. Below it is the revision of the record that the
new one replaces. A record is replaced by compare-and-swap on this revision, and
revisions only increase within an era, so the numbers do too. This does not
depend on what the replaced record contains: it may be wrong after a swap that
was based on an earlier era.
"""

# 40 bits hold the revisions of some years at thousands of changes a second.
ERA_SHIFT = 40
# The largest integer that every JSON decoder reads exactly. It leaves 13 bits
# for the era.
MAX_NUMBER = (1 << 53) - 1


def first_number(era: int) -> int:
    """Returns a number that no number of an earlier era reaches."""
    return era << ERA_SHIFT


def next_number(*, era: int, revision: int, known: int) -> int | None:
    """Returns the number for a record that replaces another one.

    Args:
        era: The era of the read, 0 for a store without eras.
        revision: The revision of the record that is replaced, 0 for none.
        known: The highest number known.

    Returns:
        The number, None if the era has no number left.
    """
    if not era:
        return known + 1
    number = max(first_number(era) + revision, known) + 1
    if number > MAX_NUMBER or number >= first_number(era + 1):
        return None
    return number
