"""Lends and borrows tokens between this proxy and limiters of other regions.

The amounts and whom a borrower asks are in token_loans.py.
"""

import collections.abc

from bronzehold.core import clock
from bronzehold.process import token_loans
from bronzehold.process import token_messages as messages
from bronzehold.process import workspace_share
from bronzehold.process import workspace_shares


class RegionLoans:
    """The loans of this proxy; borrow is safe to use from any thread.

    Args:
        shares: The shares of the workspaces.
        borrower: Asks the limiters of other regions.
    """

    def __init__(
        self,
        *,
        shares: workspace_shares.WorkspaceShares,
        borrower: token_loans.Borrower,
    ):
        self._shares = shares
        self._borrower = borrower

    def lend(
        self, share: workspace_share.WorkspaceShare, count: int, now: float
    ) -> messages.TokenReply:
        """Lends tokens to another region; called with the lock held.

        Args:
            share: The share of the workspace.
            count: Number of tokens wanted.
            now: The time, in seconds of clock.now().
        """
        if not self._shares.order.is_limiter(share.limit.name, now):
            return messages.TokenReply()
        granted = token_loans.lend(self._shares.bucket(share, now), count, now)
        self._shares.counts["lent"] += granted
        return messages.TokenReply(granted=granted)

    def borrow(
        self,
        share: workspace_share.WorkspaceShare,
        count: int,
        refusal: messages.TokenReply,
    ) -> messages.TokenReply:
        """Borrows tokens for operations that the own bucket refused.

        Args:
            share: The share of the workspace.
            count: Number of operations.
            refusal: The reply if no other region has tokens to spare.
        """
        if share.role is not workspace_share.Role.LIMITER:
            return refusal
        if not share.loan_lock.acquire(timeout=token_loans.ASK_TIMEOUT_S):
            return refusal
        try:
            with self._shares.locked():
                now = clock.now()
                taken = share.take_borrowed(count, now)
                wanted = token_loans.wanted(share.demand.rate_per_s(now))
            if taken:
                return messages.TokenReply(granted=taken)
            request = messages.TokenRequest(
                workspace=share.limit.name,
                version=self._shares.version(),
                count=max(count, wanted),
                borrows=True,
            )
            reply = self._borrower.borrow(request, clock.now())
            if not reply.granted:
                return refusal
            now = clock.now()
            with self._shares.locked():
                self._shares.counts["borrowed"] += reply.granted
                share.borrowed.add(
                    reply.granted,
                    granted_at=now,
                    expires_at=now + token_loans.LOAN_S,
                )
                taken = share.take_borrowed(count, now)
                return messages.TokenReply(granted=taken)
        finally:
            share.loan_lock.release()

    def retain(self, workspaces: collections.abc.Container[str]) -> None:
        """Drops what is kept of all other workspaces."""
        self._borrower.retain(workspaces)
