"""The events of the endpoints that the platform lists.

The names of these classes and of their fields are part of the log format, see
events.py.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointListed:
    """An endpoint has registered itself or has changed its listing."""

    group: str
    endpoint: str
    zone: str
    leaving: bool
    leads: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointGone:
    """An endpoint is no longer listed."""

    group: str
    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointFails:
    """An endpoint does not answer, or refuses a connection.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        leads: Whether it is the primary, as far as this proxy knows.
        refused: Whether it refused a connection.
        silent_ms: Time in ms since its last answer.
    """

    group: str
    endpoint: str
    leads: bool
    refused: bool
    silent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointAnswers:
    """An endpoint that failed answers again.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        after_ms: Time in ms since it began to fail.
    """

    group: str
    endpoint: str
    after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointSlow:
    """An endpoint is slow, or fails more statements, than its siblings.

    Reads that may run elsewhere leave it, except for a few.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        cause: "slow" or "failing".
        leads: Whether it is the primary, as far as this proxy knows.
        ratio: Its slowness relative to its best sibling.
        service_ms: Usual duration of its statements in ms, without the
            network's part.
        failed_share: Fraction of its recent statements that failed.
        best_failed_share: The same of its best sibling.
        capacity: Limit on statements in flight.
        responses: Number of statements that the decision rests on.
        measured_ms: Age of the last of them in ms.
        from_peers: Whether it rests on the reports of peers.
    """

    group: str
    endpoint: str
    cause: str
    leads: bool
    ratio: float
    service_ms: float
    failed_share: float
    best_failed_share: float
    capacity: int
    responses: int
    measured_ms: int
    from_peers: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRecovered:
    """An endpoint that was slow or failing is like its siblings again.

    Attributes:
        group: Name of the group.
        endpoint: Id of the endpoint.
        after_ms: Time in ms since the EndpointSlow event.
        ratio: Its slowness relative to its best sibling.
        failed_share: Fraction of its recent statements that failed.
        measured_ms: Age of its last statement in ms.
        why: "measured", "not measured" if no statement has run there for long,
            "role changed", or "gone".
    """

    group: str
    endpoint: str
    after_ms: int
    ratio: float
    failed_share: float
    measured_ms: int
    why: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListingRefused:
    """A listing in the store is invalid and was ignored.

    Attributes:
        key: Key of the listing.
        why: Problems found in it.
    """

    key: str
    why: str
