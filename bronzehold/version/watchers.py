"""Chooses which proxies watch the platform's store.

Each call to the store is priced and its rate is limited, so in a large fleet
only a few proxies of each availability zone keep a watch open. The others hear
from their peers that something has changed and then read the changes.
"""

import collections.abc

from bronzehold.version import members as members_lib

# Two, so that the loss of one leaves the zone a watcher.
WATCHERS_PER_ZONE = 2


def watchers(
    members: collections.abc.Iterable[members_lib.Member],
) -> frozenset[str]:
    """Returns the names of the proxies that watch the store.

    Args:
        members: The live proxies.
    """
    return members_lib.first_in_each_zone(
        "watch the store", members, WATCHERS_PER_ZONE
    )
