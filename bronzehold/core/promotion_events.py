"""The events of changes of primary where the platform fences primaries.

The names of these classes and of their fields are part of the log format, see
events.py.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenWon:
    """This proxy has acquired the fencing token of a group.

    Its holder alone may change the primary of the group.

    Attributes:
        group: Name of the group.
        token: Fencing token.
        why: The state of the earlier holder, or the reason for a renewal.
    """

    group: str
    token: int
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenLost:
    """Another proxy has acquired the fencing token of a group."""

    group: str
    token: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromotionOrdered:
    """The platform was ordered to promote an endpoint to primary.

    Attributes:
        group: Name of the group.
        token: Fencing token of the order.
        primary: Id of the endpoint to promote.
        position: Last known log position of the endpoint, "" if it is already
            the primary.
        why: Reason for the order.
        outcome: Type of the outcome; see ports.OrderOutcome.
        error: Error of the call if it was not answered, else "".
    """

    group: str
    token: int
    primary: str
    position: str
    why: str
    outcome: str
    error: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuccessorAwaited:
    """A lost primary is not replaced yet: no endpoint is known to have all.

    Attributes:
        group: Name of the group, whose commits a replica confirms.
        endpoints: The listed endpoints that have not reported their logs.
    """

    group: str
    endpoints: tuple[str, ...]
