"""Answers the requests of other proxies for tokens."""

import collections.abc

from bronzehold.core import clock
from bronzehold.process import region_loans
from bronzehold.process import token_messages as messages
from bronzehold.process import window_budget
from bronzehold.process import workspace_share
from bronzehold.process import workspace_shares


class TokenGrants:
    """Grants tokens to other proxies; safe to use from any thread.

    Args:
        process_id: Text that tells this process from all others.
        shares: The shares of the workspaces.
        loans: The loans between regions.
        stopping: Returns whether this proxy is stopping.
    """

    def __init__(
        self,
        *,
        process_id: str,
        shares: workspace_shares.WorkspaceShares,
        loans: region_loans.RegionLoans,
        stopping: collections.abc.Callable[[], bool],
    ):
        self._process_id = process_id
        self._shares = shares
        self._loans = loans
        self._stopping = stopping

    def grant(self, request: messages.TokenRequest) -> messages.TokenReply:
        """Answers another proxy at once; decides nothing while stopping."""
        now = clock.now()
        with self._shares.locked():
            limit = self._shares.limit(request.workspace)
            if limit is None or self._stopping():
                return messages.TokenReply(is_leaving=self._stopping())
            share = self._shares.get_or_add(request.workspace, now)
            if share is None:
                return messages.TokenReply(granted=request.count)
            if request.borrows:
                return self._loans.lend(share, request.count, now)
            for name in request.ended:
                self._shares.order.mark_ended(name, now)
            self._apply_usage(share, request, now)
            reply = self._shares.take(share, request.count, now)
            self._shares.counts["granted"] += reply.granted
        if reply.granted:
            return reply
        return self._loans.borrow(share, request.count, reply)

    def _apply_usage(
        self,
        share: workspace_share.WorkspaceShare,
        request: messages.TokenRequest,
        now: float,
    ) -> None:
        """Counts what the limiter before this one has granted."""
        is_other = request.usage.limiter not in ("", self._process_id)
        match self._shares.bucket(share, now):
            case window_budget.WindowBudget() as budget if is_other:
                budget.apply_report(request.usage, request.usage_age_s, now)
