"""Tokens that limiters of different regions lend each other.

Each region has an equal part of a limit, but the callers of a workspace are
spread unevenly. A limiter that has run out of tokens asks those of the other
regions for unused ones. A lent token is taken from one bucket and
expires soon, so that all regions together stay within the limit.
"""

import collections.abc
import math

from bronzehold.core import clock
from bronzehold.process import serving as serving_lib
from bronzehold.process import token_messages as messages
from bronzehold.process import workspace_share
from bronzehold.version import members as members_lib

# A limiter in another region answers within a round trip between regions. While
# limiters are asked, an operation waits, so this is the time for all of them.
ASK_TIMEOUT_S = 0.06
# A region that has lent nothing is asked again after this time.
RETRY_S = 0.25
# Tokens for the demand of this time are borrowed at once, and they expire after
# it.
LOAN_S = 0.25
MAX_LOAN = 32
# The part of its capacity that a lender keeps for the callers of its region.
KEPT_PART = 0.5


class Borrower:
    """Asks the limiters of other regions; safe to use from any thread.

    Args:
        own: This proxy.
        regions: Region of each availability zone.
        serving: Knows the live proxies.
        ask: Asks another proxy for tokens within a time in seconds; raises
            token_messages.NoAnswerError.
        rank: Orders the proxies of a region as limiters of a workspace.
    """

    def __init__(
        self,
        *,
        own: members_lib.Member,
        regions: collections.abc.Mapping[str, str],
        serving: serving_lib.Serving,
        ask: messages.Ask,
        rank: collections.abc.Callable[
            [str, collections.abc.Iterable[members_lib.Member]],
            list[members_lib.Member],
        ],
    ):
        others = set(regions.values()) - {regions[own.zone]}
        self._zones = {
            name: frozenset(
                z for z, region in regions.items() if region == name
            )
            for name in sorted(others)
        }
        self._serving = serving
        self._ask = ask
        self._rank = rank
        # When a region may be asked again, by workspace and region.
        self._retry_at: dict[tuple[str, str], float] = {}

    def borrow(
        self, request: messages.TokenRequest, now: float
    ) -> messages.TokenReply:
        """Asks the other regions in turn until one lends.

        Args:
            request: The request, with the number of tokens wanted.
            now: The time, in seconds of clock.now().
        """
        until = now + ASK_TIMEOUT_S
        for region, zones in self._zones.items():
            key = (request.workspace, region)
            if now < self._retry_at.get(key, -math.inf):
                continue
            timeout_s = until - clock.now()
            if timeout_s <= 0:
                break
            ranked = self._rank(request.workspace, self._serving.live(zones))
            granted = self._ask_first(ranked, request, timeout_s)
            if granted:
                return messages.TokenReply(granted=granted)
            self._retry_at[key] = now + RETRY_S
        return messages.TokenReply()

    def _ask_first(
        self,
        ranked: list[members_lib.Member],
        request: messages.TokenRequest,
        timeout_s: float,
    ) -> int:
        if not ranked:
            return 0
        try:
            return self._ask(ranked[0], request, timeout_s).granted
        except messages.NoAnswerError:
            return 0

    def retain(self, workspaces: collections.abc.Container[str]) -> None:
        """Drops what is kept of all other workspaces."""
        # Other threads add entries meanwhile.
        for key in list(self._retry_at):
            if key[0] in workspaces:
                continue
            self._retry_at.pop(key, None)


def wanted(demand_per_s: float) -> int:
    """Returns the number of tokens to borrow at a demand."""
    return max(1, min(MAX_LOAN, math.ceil(demand_per_s * LOAN_S)))


def lend(bucket: workspace_share.Bucket, count: int, now: float) -> int:
    """Takes unused tokens of a region from its bucket.

    Args:
        bucket: The bucket of the region's limiter.
        count: The number wanted.
        now: The time, in seconds of clock.now().

    Returns:
        The number taken.
    """
    kept = bucket.share.capacity * KEPT_PART
    spare = int(bucket.tokens(now) - kept)
    return bucket.take(min(count, spare), now) if spare > 0 else 0
