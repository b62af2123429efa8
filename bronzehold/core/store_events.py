"""The events of the platform's key-value store.

The names of these classes and of their fields are part of the log format, see
events.py.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformAway:
    """The platform's key-value service does not answer."""

    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformBack:
    """The platform's key-value service answers again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreEraChanged:
    """The store has returned from an older copy, or its era is now known.

    Attributes:
        old: The highest era seen before, 0 for none.
        new: The era.
        forgotten: What this process knew of older eras and does not use again.
    """

    old: int
    new: int
    forgotten: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreAnswerDiscarded:
    """A call to the store was not sent, or its answer was not used.

    Attributes:
        call: The call.
        answered: The era of the answer, or the highest era seen if the call was
            not sent.
        expected: The era that the call was based on.
    """

    call: str
    answered: int
    expected: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreEntryDiscarded:
    """An entry in the store is older than one already acted on.

    Attributes:
        key: Key of the entry.
        era: Era in which it was read.
        found: Version that the store holds.
        known: Version in force here.
    """

    key: str
    era: int
    found: str
    known: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenRecordRestored:
    """A holder has written the record of its fencing token again.

    Attributes:
        group: Name of the group.
        token: The fencing token.
        found: The fencing token of the record that was replaced, 0 for none.
        era: Era of the store.
    """

    group: str
    token: int
    found: int
    era: int
