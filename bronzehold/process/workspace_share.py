"""The part of one workspace's limit that this proxy holds.

It is not safe for use from several threads.
"""

import enum
import math
import threading

from bronzehold.core import routes
from bronzehold.process import token_bucket
from bronzehold.process import token_messages as messages
from bronzehold.process import window_budget
from bronzehold.version import rate_shares


class Role(enum.Enum):
    """The role of a proxy for a workspace in its region."""

    LIMITER = "limiter"
    STANDBY = "standby"
    NONE = "none"


Bucket = token_bucket.TokenBucket | window_budget.WindowBudget


class WorkspaceShare:
    """The tokens and refusals of one workspace in this proxy.

    Attributes:
        limit: The workspace's limit.
        used_at: Time of its last operation.
        role: The role that its bucket belongs to.
        bucket: Its bucket, None if there is none.
        allowance: Operations that ran without a token.
        reserve: Tokens that were granted in advance.
        borrowed: Tokens of other regions.
        demand: Rate of the operations that this proxy was asked for as the
            limiter.
        loan_lock: Held while tokens are borrowed.
        meter: Rate of the operations that were let through.
        is_asking_batch: Whether a request for several tokens is under way.
        refused_until: Until when operations are refused without asking.
        turn_at: When the next one may be let through.
    """

    def __init__(
        self,
        *,
        limit: routes.Workspace,
        tolerance: rate_shares.Tolerance,
        regions: int,
        now: float,
    ):
        self._tolerance = tolerance
        self._regions = regions
        self.limit = limit
        self.used_at = now
        self.role = Role.NONE
        self.bucket: Bucket | None = None
        # What this process has granted as the limiter, and the last report of
        # a limiter with the time of its arrival.
        self._last_budget: window_budget.WindowBudget | None = None
        self.usage = messages.NO_USAGE
        self.usage_at = -math.inf
        # The tokens that the last bucket left, and when it was dropped.
        self._left_tokens = math.inf
        self._left_at = -math.inf
        self.allowance = token_bucket.WindowCount(window_s=tolerance.window_s)
        self.reserve = token_bucket.Reserve()
        self.borrowed = token_bucket.Reserve()
        self.demand = token_bucket.RateMeter()
        self.loan_lock = threading.Lock()
        self.meter = token_bucket.RateMeter()
        self.is_asking_batch = False
        self.refused_until = -math.inf
        self.turn_at = -math.inf

    def change_limit(self, limit: routes.Workspace) -> None:
        """Puts another limit in force; the bucket follows when it is used."""
        self.limit = limit
        self.refused_until = -math.inf
        self.reserve.clear()

    def limiter_interval_s(self) -> float:
        """Returns the time in which a limiter gets a token."""
        if not self.limit.rate_per_s:
            return math.inf
        return self._regions / self.limit.rate_per_s

    def set_role(
        self, role: Role, *, proxies: int, contact_since: float, now: float
    ) -> tuple[Bucket, bool]:
        """Returns the bucket of a role and whether it is a new one.

        A limiter that was suspended or out of contact has a new one, since
        another proxy may have spent meanwhile what the old one has gained.

        Args:
            role: The present role.
            proxies: Number of proxies of all regions.
            contact_since: Time since which this proxy has contact to its
                region without a gap.
            now: The time.
        """
        share = self._share(role, proxies)
        bucket = self.bucket
        if bucket is not None and self.role is role:
            is_outdated = (
                role is Role.LIMITER and bucket.started_at < contact_since
            )
            if not is_outdated:
                if share != bucket.share:
                    bucket.change_share(share, now)
                return bucket, False
        self.drop_bucket(now)
        # A proxy whose role changes back and forth gets the tokens of a new
        # bucket once in a window.
        is_recent = now - self._left_at < self._tolerance.window_s
        tokens = self._left_tokens if is_recent else math.inf
        if role is Role.LIMITER:
            bucket = self._new_budget(share, tokens, now)
        else:
            bucket = token_bucket.TokenBucket(
                share=share, now=now, tokens=tokens
            )
        self.role = role
        self.bucket = bucket
        return bucket, True

    def _new_budget(
        self, share: rate_shares.Share, initial: float, now: float
    ) -> window_budget.WindowBudget:
        budget = window_budget.WindowBudget(
            share=share,
            window_s=self._tolerance.window_s,
            now=now,
            initial=initial,
        )
        if self._last_budget is not None:
            budget.carry_over(self._last_budget)
        if self.usage.limiter:
            budget.apply_report(self.usage, now - self.usage_at, now)
        self._last_budget = budget
        return budget

    def note_usage(self, usage: messages.Usage, now: float) -> None:
        """Keeps the report of a limiter for the next one."""
        if usage.limiter:
            self.usage = usage
            self.usage_at = now

    def drop_bucket(self, now: float) -> None:
        """Drops the bucket, so that a full one is not found again later."""
        if self.bucket is not None:
            initial = self.bucket.share.initial
            self._left_tokens = min(initial, self.bucket.tokens(now))
            self._left_at = now
            self.bucket = None
            self.role = Role.NONE

    def _share(self, role: Role, proxies: int) -> rate_shares.Share:
        rate_per_s, burst = self.limit.rate_per_s, self.limit.burst
        if role is Role.LIMITER:
            return rate_shares.limiter_share(
                self._tolerance, rate_per_s, burst, self._regions
            )
        return rate_shares.standby_share(
            self._tolerance, rate_per_s, burst, proxies
        )

    def take_borrowed(self, count: int, now: float) -> int:
        """Takes tokens of other regions; returns how many there were."""
        taken = 0
        while taken < count and self.borrowed.take(now) is not None:
            taken += 1
        return taken

    def take_allowance(self, *, proxies: int, rank: int, now: float) -> bool:
        """Counts an operation that no limiter could be asked for.

        Args:
            proxies: Number of proxies of all regions.
            rank: Place of this proxy among those of its region.
            now: The time.
        """
        most = rate_shares.own_allowance(
            self._tolerance,
            self.limit.rate_per_s,
            self.limit.burst,
            proxies=proxies,
            regions=self._regions,
            rank=rank,
        )
        return self.allowance.take(most, now)
