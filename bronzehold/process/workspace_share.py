"""The part of one workspace's limit that this proxy holds.

It is not safe for use from several threads.
"""

import enum
import math

from bronzehold.core import routes
from bronzehold.process import token_bucket
from bronzehold.version import rate_shares

# Above this rate of a workspace at this proxy, a request asks for the tokens of
# BATCH_S, at most MAX_BATCH.
BATCH_ABOVE_PER_S = 20.0
BATCH_S = 0.1
MAX_BATCH = 32
# A refusal is remembered until its time, and at most this long: the limit may
# be raised, or another proxy become the limiter.
MAX_REFUSAL_S = 1.0
# The same for a refusal of a proxy that is not the limiter.
MAX_STANDBY_REFUSAL_S = 0.25
# The longest time that a refused caller is told to wait.
MAX_RETRY_AFTER_S = 60.0


class Role(enum.Enum):
    """The role of a proxy for a workspace in its region."""

    LIMITER = "limiter"
    STANDBY = "standby"
    NONE = "none"


class WorkspaceShare:
    """The tokens and refusals of one workspace in this proxy.

    Attributes:
        limit: The workspace's limit.
        used_at: Time of its last operation.
        role: The role that its bucket belongs to.
        bucket: Its bucket, None if there is none.
        allowance: Operations that ran without a token.
        reserve: Tokens that were granted in advance.
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
        self.bucket: token_bucket.TokenBucket | None = None
        # The tokens that the last bucket left, and when it was dropped.
        self._left_tokens = math.inf
        self._left_at = -math.inf
        self.allowance = token_bucket.WindowCount(window_s=tolerance.window_s)
        self.reserve = token_bucket.Reserve()
        self.meter = token_bucket.RateMeter()
        self.is_asking_batch = False
        self.refused_until = -math.inf
        self.turn_at = -math.inf

    def change_limit(self, limit: routes.Workspace) -> None:
        """Puts another limit in force; the bucket follows when it is used."""
        self.limit = limit
        self.refused_until = -math.inf
        self.reserve.clear()

    def batch_size(self, now: float) -> int:
        """Returns the number of tokens to ask another proxy for."""
        rate_per_s = self.meter.rate_per_s(now)
        if rate_per_s <= BATCH_ABOVE_PER_S or self.is_asking_batch:
            return 1
        return min(MAX_BATCH, math.ceil(rate_per_s * BATCH_S))

    def refuse(
        self, retry_after_s: float, now: float, *, by_limiter: bool
    ) -> None:
        """Refuses operations until the turn of the next one.

        Args:
            retry_after_s: Time until there is a token.
            now: The time.
            by_limiter: Whether the limiter has refused.
        """
        longest_s = MAX_REFUSAL_S
        if not by_limiter:
            longest_s = MAX_STANDBY_REFUSAL_S
            if self.limit.rate_per_s:
                # A limiter is found within seconds, and its share is larger.
                interval_s = self._regions / self.limit.rate_per_s
                retry_after_s = min(retry_after_s, interval_s)
        self.turn_at = now + min(retry_after_s, MAX_RETRY_AFTER_S)
        self.refused_until = min(self.turn_at, now + longest_s)

    def set_role(
        self, role: Role, *, proxies: int, contact_since: float, now: float
    ) -> tuple[token_bucket.TokenBucket, bool]:
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
        bucket = token_bucket.TokenBucket(share=share, now=now, tokens=tokens)
        self.role = role
        self.bucket = bucket
        return bucket, True

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
