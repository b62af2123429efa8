"""Asks the limiters of other regions for tokens that they do not need.

Each region has an equal part of a workspace's limit, but its callers may all be
in one region. Tokens that are lent leave one bucket and enter another, so the
sum of the buckets stays what it is, whatever fails on the way.
"""

import collections.abc

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.process import limiter_order
from bronzehold.process import rate_limiter
from bronzehold.process import serving as serving_lib
from bronzehold.process import token_messages as messages
from bronzehold.version import members as members_lib

# Interval between two rounds of requests. A lender gives at most half of its
# capacity in each, so with a burst well below the rate, a longer interval would
# leave most of its rate unused.
INTERVAL_S = 0.25
# Time to wait for the limiter of another region: a connection and a request
# take two round trips, of up to 0.1 s between regions.
TIMEOUT_S = 0.5
# A region that lent nothing is not asked again for the same workspace for this
# long, so that an excess in all regions costs few bytes between them.
PAUSE_S = 2.0


class TokenLoans:
    """The requests of one proxy for tokens of other regions.

    Only the task that calls run uses it.

    Args:
        own: This proxy.
        regions: Region of each availability zone.
        serving: Knows the live proxies.
        table: Returns the configuration in force.
        limiter: The limits of this proxy.
        ask: See RateLimiter.
    """

    def __init__(
        self,
        *,
        own: members_lib.Member,
        regions: collections.abc.Mapping[str, str],
        serving: serving_lib.Serving,
        table: collections.abc.Callable[[], routes.Table],
        limiter: rate_limiter.RateLimiter,
        ask: messages.Ask,
    ):
        self._zones_by_region: dict[str, frozenset[str]] = {
            region: frozenset(z for z, r in regions.items() if r == region)
            for region in sorted(set(regions.values()) - {regions[own.zone]})
        }
        self._serving = serving
        self._table = table
        self._limiter = limiter
        self._ask = ask
        # Until when a region is not asked for a workspace, and a proxy not at
        # all.
        self._pause_until: dict[tuple[str, str], float] = {}

    def run(self, wait: collections.abc.Callable[[float], bool]) -> None:
        """Asks for tokens at intervals.

        Args:
            wait: Waits for a time in seconds; returns whether to end.
        """
        while not wait(INTERVAL_S):
            self.run_once()

    def run_once(self) -> None:
        """Asks for tokens of all workspaces that lack some."""
        now = clock.now()
        for key in [k for k, t in self._pause_until.items() if t <= now]:
            del self._pause_until[key]
        for workspace, missing in self._limiter.shortages():
            self._borrow(workspace, missing)

    def _borrow(self, workspace: str, missing: int) -> None:
        for region, zones in self._zones_by_region.items():
            if missing <= 0:
                return
            present = self._serving.region_view(zones).present
            order = limiter_order.rank(workspace, present)
            if order and not self._is_paused(order[0], workspace, region):
                missing -= self._borrow_from(
                    order[0], workspace, region, missing
                )

    def _is_paused(
        self, lender: members_lib.Member, workspace: str, region: str
    ) -> bool:
        return ("", lender.name) in self._pause_until or (
            workspace,
            region,
        ) in self._pause_until

    def _borrow_from(
        self,
        lender: members_lib.Member,
        workspace: str,
        region: str,
        count: int,
    ) -> int:
        request = messages.TokenRequest(
            workspace=workspace,
            version=self._table().version,
            count=count,
            is_loan=True,
        )
        pause_key = (workspace, region)
        granted = 0
        try:
            granted = self._ask(lender, request, TIMEOUT_S).granted
        except messages.NoAnswerError:
            pause_key = ("", lender.name)
        if granted:
            self._limiter.add_loan(workspace, granted)
        else:
            self._pause_until[pause_key] = clock.now() + PAUSE_S
        return granted
