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


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuccessorChosen:
    """All replicas of a group were paused and compared, and one was chosen.

    Attributes:
        group: Name of the group, whose commits a replica confirms.
        primary: Id of the endpoint that was chosen.
        positions: The log position of each endpoint, as "ID=POSITION".
    """

    group: str
    primary: str
    positions: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class WritesHeld:
    """This proxy starts no writes of a group while its primary changes.

    Attributes:
        group: Name of the group.
        attempt: Name of the change: the process that makes it and its token.
        until_decided: Whether writes wait until the outcome is known; else the
            hold expires by itself.
    """

    group: str
    attempt: str
    until_decided: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class WritesReleased:
    """This proxy starts writes of a group again.

    Attributes:
        group: Name of the group.
        why: The reason; a hold that expires is not logged.
    """

    group: str
    why: str
