"""Chooses which proxies serve a service.

In a small fleet every proxy serves every service. In a large one its share of
an endpoint's connections would be too small to keep any open, so each service
has a serving set: in each availability zone the first proxies by rendezvous
hashing. The others forward statements to a proxy of the set in their own zone.

The functions are pure. Proxies that know different members may compute
different sets for a while; a forwarded statement is served by whoever gets it.
"""

import collections.abc

from bronzehold.version import members as members_lib

# All proxies serve a service as long as each has this many connections to an
# endpoint.
MIN_SHARE_CONNECTIONS = 4
# A proxy of a smaller set should have this many connections to an endpoint, so
# that they stay in use and a short queue is not held up by one transaction.
SET_SHARE_CONNECTIONS = 8


def serving_set(
    service: str,
    members: collections.abc.Collection[members_lib.Member],
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
    zone_count = len({member.zone for member in members})
    in_each_zone = max(
        1, max_connections // (SET_SHARE_CONNECTIONS * zone_count)
    )
    return members_lib.first_in_each_zone(_key(service), members, in_each_zone)


def rank(
    service: str, members: collections.abc.Iterable[members_lib.Member]
) -> list[members_lib.Member]:
    """Orders proxies for a service, the same on every proxy."""
    return members_lib.rank(_key(service), members)


def rank_homes(
    service: str,
    workspace: str,
    members: collections.abc.Iterable[members_lib.Member],
) -> list[members_lib.Member]:
    """Orders proxies for the statements of one workspace to a service."""
    return members_lib.rank(f"home {service} {workspace}", members)


def _key(service: str) -> str:
    return f"serve {service}"
