"""Chooses which proxies serve a service.

In a small fleet every proxy serves every service. In a large one its share of
an endpoint's connections would be too small to keep any open, so each service
has a serving set: in each availability zone the first proxies by rendezvous
hashing. The others forward statements to a proxy of the set in their own zone.

The functions are pure. Proxies that know different members may compute
different sets for a while; a forwarded statement is served by whoever gets it.
"""

import collections
import collections.abc
import dataclasses

import xxhash

# All proxies serve a service as long as each has this many connections to an
# endpoint.
MIN_SHARE_CONNECTIONS = 4
# A proxy of a smaller set should have this many connections to an endpoint, so
# that they stay in use and a short queue is not held up by one transaction.
SET_SHARE_CONNECTIONS = 8


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


def serving_set(
    service: str,
    members: collections.abc.Collection[Member],
    max_connections: int,
) -> frozenset[str]:
    """Returns the names of the proxies that serve a service.

    Args:
        service: Name of the service.
        members: The live proxies.
        max_connections: Limit on the connections to each of its endpoints,
            from all proxies together.
    """
    if len(members) * MIN_SHARE_CONNECTIONS <= max_connections:
        return frozenset(member.name for member in members)
    by_zone = collections.defaultdict(list)
    for member in members:
        by_zone[member.zone].append(member)
    in_each_zone = max(
        1, max_connections // (SET_SHARE_CONNECTIONS * len(by_zone))
    )
    return frozenset(
        member.name
        for in_zone in by_zone.values()
        for member in rank(service, in_zone)[:in_each_zone]
    )


def rank(
    service: str, members: collections.abc.Iterable[Member]
) -> list[Member]:
    """Orders proxies for a service, the same on every proxy."""
    return sorted(members, key=lambda m: _weight(service, m), reverse=True)


def _weight(service: str, member: Member) -> tuple[int, str]:
    text = f"serve {service}\0{member.name}"
    return xxhash.xxh3_64_intdigest(text.encode()), member.name
