"""The live proxies, and their order for a task that only some of them have.

Rendezvous hashing gives each key its own order. A proxy that comes or goes
changes the order of no others, so few tasks move.
"""

import collections.abc
import dataclasses

from bronzehold.core import rendezvous


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A live proxy.

    Attributes:
        name: Its name, unique among the proxies.
        zone: Its availability zone.
        address: "host:port" at which it takes forwarded statements.
    """

    name: str
    zone: str
    address: str


def rank(key: str, members: collections.abc.Iterable[Member]) -> list[Member]:
    """Orders proxies for a key, the same on every proxy."""
    return sorted(members, key=lambda m: _weight(key, m), reverse=True)


def first_in_each_zone(
    key: str, members: collections.abc.Iterable[Member], count: int
) -> frozenset[str]:
    """Returns the names of the first proxies of each zone for a key.

    Args:
        key: The key that determines the order.
        members: The live proxies.
        count: The number of proxies of a zone; fewer if it has fewer.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    return frozenset(
        member.name
        for in_zone in by_zone.values()
        for member in rank(key, in_zone)[:count]
    )


def _weight(key: str, member: Member) -> tuple[int, str]:
    return rendezvous.weight(key, member.name), member.name
