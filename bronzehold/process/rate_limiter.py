"""Limits the operations of each workspace over all proxies.

Each region has an equal part of a limit. In a region, one proxy holds the token
bucket of a workspace: the first of the live ones by rendezvous hashing, its
limiter. The others ask it for a token for each operation. They ask the second
if the first does not answer, and have a small allowance if that fails too.
Which shares these have is in version/rate_shares.py. What this proxy holds is
in workspace_shares.py; token_grants.py answers the requests of other proxies.
"""

import collections.abc
import math
import os

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import routes
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import limiter_order
from bronzehold.process import region_loans
from bronzehold.process import serving as serving_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_grants
from bronzehold.process import token_loans
from bronzehold.process import token_messages as messages
from bronzehold.process import workspace_share
from bronzehold.process import workspace_shares
from bronzehold.version import members as members_lib
from bronzehold.version import rate_shares

# A limiter that does not answer within this time is passed over. It is well
# below the most urgent latency target, 253 ms, so that the second can be asked.
ASK_TIMEOUT_S = 0.15
# Number of proxies in the order of a workspace that are asked.
MAX_ASKED = 2
# Above this rate of a workspace at this proxy, a request asks for the tokens of
# BATCH_S, at most MAX_BATCH.
BATCH_ABOVE_PER_S = 20.0
BATCH_S = 0.1
MAX_BATCH = 32
# Tokens that were granted in advance expire, so that what one window granted is
# not used in a later one.
RESERVE_S = 0.25
# A token is refunded within this time after its grant. Tokens that come back
# again and again while endpoints refuse would otherwise add up, and all run
# when the endpoints accept again.
MAX_REFUND_AGE_S = 0.5
# A refusal is remembered until its time, and at most this long: the limit may
# be raised, or another proxy become the limiter.
MAX_REFUSAL_S = 1.0
# The same for a refusal of a proxy that is not the limiter.
MAX_STANDBY_REFUSAL_S = 0.25
PROCESS_ID_BYTES = 4


class RateLimiter:
    """The limits of all workspaces in one proxy; safe to use from any thread.

    Args:
        own: This proxy.
        regions: Region of each availability zone.
        serving: Knows the live proxies.
        table: Returns the configuration in force.
        ask: Asks another proxy for tokens within a time in seconds; raises
            token_messages.NoAnswerError.
        stopping: Returns whether this proxy is stopping.
        timeline: The event log of the process.
        tolerance: How far a limit may be exceeded.
        has_seeds: Whether the settings name instances of other proxies.
    """

    def __init__(
        self,
        *,
        own: members_lib.Member,
        regions: collections.abc.Mapping[str, str],
        serving: serving_lib.Serving,
        table: collections.abc.Callable[[], routes.Table],
        ask: messages.Ask,
        stopping: collections.abc.Callable[[], bool],
        timeline: timeline_lib.Timeline,
        tolerance: rate_shares.Tolerance,
        has_seeds: bool,
    ):
        self._own = own
        process_id = f"{own.name}/{os.urandom(PROCESS_ID_BYTES).hex()}"
        region = regions[own.zone]
        self._ask = ask
        self._order = limiter_order.LimiterOrder(
            own=own,
            zones=frozenset(z for z, r in regions.items() if r == region),
            serving=serving,
            stopping=stopping,
            has_seeds=has_seeds,
        )
        self._shares = workspace_shares.WorkspaceShares(
            process_id=process_id,
            order=self._order,
            table=table,
            timeline=timeline,
            tolerance=tolerance,
            region_count=len(set(regions.values())),
        )
        self._loans = region_loans.RegionLoans(
            shares=self._shares,
            borrower=token_loans.Borrower(
                own=own,
                regions=regions,
                serving=serving,
                ask=ask,
                rank=limiter_order.rank,
            ),
        )
        self._grants = token_grants.TokenGrants(
            process_id=process_id,
            shares=self._shares,
            loans=self._loans,
            stopping=stopping,
        )

    # Operations of this proxy's callers.

    def try_spend(
        self, workspace: str, deadline: float
    ) -> decisions.Spent | decisions.Limited:
        """Decides whether an operation may run now.

        Args:
            workspace: Name of the workspace. One that the configuration does
                not have is not limited.
            deadline: Deadline of the operation, in seconds of clock.now().
        """
        now = clock.now()
        with self._shares.locked():
            share = self._shares.get_or_add(workspace, now)
            if share is None:
                return decisions.Spent(
                    workspace=workspace,
                    granted_at=now,
                    origin=decisions.Origin.NO_LIMIT,
                )
            if not share.limit.rate_per_s and not share.limit.burst:
                share.turn_at = now + workspace_shares.MAX_RETRY_AFTER_S
                return self._limited(share, now)
            granted_at = share.reserve.take(now)
            if granted_at is not None:
                return self._spent(
                    share, now, decisions.Origin.PEER, granted_at
                )
            if now < share.refused_until:
                return self._limited(share, now)
            candidates = self._order.candidates(workspace, now)[:MAX_ASKED]
        for place, member in enumerate(candidates):
            if member.name == self._own.name:
                decision = self._spend_here(share)
            else:
                decision = self._spend_at(
                    share, member, deadline, is_first=place == 0
                )
            if decision is not None:
                return decision
        return self._spend_allowance(share)

    def refund(self, spent: decisions.Spent) -> None:
        """Returns the token of an operation that has reached no endpoint."""
        now = clock.now()
        until = spent.granted_at + MAX_REFUND_AGE_S
        if until <= now:
            return
        with self._shares.locked():
            share = self._shares.find(spent.workspace)
            if share is None:
                return
            match spent.origin:
                case decisions.Origin.BUCKET if share.bucket is not None:
                    share.bucket.put_back(now)
                case decisions.Origin.PEER:
                    share.reserve.add(
                        1, granted_at=spent.granted_at, expires_at=until
                    )
                case decisions.Origin.ALLOWANCE:
                    share.allowance.put_back()
                case _:
                    return
            share.refused_until = -math.inf
            self._shares.counts["refunded"] += 1

    def _spend_here(
        self, share: workspace_share.WorkspaceShare
    ) -> decisions.Spent | decisions.Limited | None:
        """Spends from this proxy's own bucket; returns None if it may not.

        Without contact to its region it does not act for it, and its callers
        have the smaller allowance.
        """
        now = clock.now()
        with self._shares.locked():
            if not self._order.may_act(now):
                return None
            reply = self._shares.take(share, 1, now)
            if reply.granted:
                return self._spent(share, now, decisions.Origin.BUCKET)
        reply = self._loans.borrow(share, 1, reply)
        now = clock.now()
        with self._shares.locked():
            if reply.granted:
                return self._spent(share, now, decisions.Origin.PEER)
            is_limiter = share.role is workspace_share.Role.LIMITER
            return self._refuse(share, reply, now, by_limiter=is_limiter)

    def _spend_at(
        self,
        share: workspace_share.WorkspaceShare,
        member: members_lib.Member,
        deadline: float,
        *,
        is_first: bool,
    ) -> decisions.Spent | decisions.Limited | None:
        """Asks another proxy; returns None if it does not decide."""
        now = clock.now()
        timeout_s = min(ASK_TIMEOUT_S, deadline - now)
        with self._shares.locked():
            if self._order.is_skipped(member.name, now) or timeout_s <= 0:
                return None
            request = self._request(share, member, now)
            is_batch = request.count > 1
            share.is_asking_batch |= is_batch
        why = "it cannot decide"
        try:
            reply = self._ask(member, request, timeout_s)
        except messages.NoAnswerError as exc:
            reply = messages.TokenReply(is_leaving=exc.ended)
            why = str(exc)
        now = clock.now()
        with self._shares.locked():
            share.note_usage(reply.usage, now)
            share.is_asking_batch &= not is_batch
            self._shares.counts["asked"] += 1
            if reply.granted:
                share.reserve.add(
                    reply.granted - 1,
                    granted_at=now,
                    expires_at=now + RESERVE_S,
                )
                return self._spent(share, now, decisions.Origin.PEER)
            if reply.is_decision:
                return self._refuse(share, reply, now, by_limiter=is_first)
            self._shares.counts["unanswered"] += 1
            self._order.skip(member.name, now)
            if reply.is_leaving:
                self._order.mark_ended(member.name, now)
            self._shares.add_event(
                events.LimiterUnanswered(
                    workspace=request.workspace,
                    peer=member.name,
                    ended=reply.is_leaving,
                    why=why,
                    asked=request.count,
                )
            )
            return None

    def _request(
        self,
        share: workspace_share.WorkspaceShare,
        member: members_lib.Member,
        now: float,
    ) -> messages.TokenRequest:
        name = share.limit.name
        skipped, ended = self._order.earlier(name, member.name, now)
        rate_per_s = share.meter.rate_per_s(now)
        count = 1
        if rate_per_s > BATCH_ABOVE_PER_S and not share.is_asking_batch:
            count = min(MAX_BATCH, math.ceil(rate_per_s * BATCH_S))
        return messages.TokenRequest(
            workspace=name,
            version=self._shares.version(),
            count=count,
            usage=share.usage,
            usage_age_s=now - share.usage_at if share.usage.limiter else 0.0,
            skipped=skipped,
            ended=ended,
        )

    def _spend_allowance(
        self, share: workspace_share.WorkspaceShare
    ) -> decisions.Spent | decisions.Limited:
        now = clock.now()
        with self._shares.locked():
            # Its part is not known while others may be starting too.
            has_spent = not self._order.may_be_unaware(
                now
            ) and share.take_allowance(
                proxies=self._order.view(now).fleet_size,
                rank=self._order.rank(share.limit.name, now),
                now=now,
            )
            if has_spent:
                self._shares.counts["allowance"] += 1
                return self._spent(share, now, decisions.Origin.ALLOWANCE)
            reply = messages.TokenReply(
                retry_after_s=share.allowance.wait_s(now)
            )
            return self._refuse(share, reply, now, by_limiter=False)

    def _spent(
        self,
        share: workspace_share.WorkspaceShare,
        now: float,
        origin: decisions.Origin,
        granted_at: float | None = None,
    ) -> decisions.Spent:
        share.meter.add(now)
        self._shares.counts["spent"] += 1
        return decisions.Spent(
            workspace=share.limit.name,
            granted_at=now if granted_at is None else granted_at,
            origin=origin,
        )

    def _refuse(
        self,
        share: workspace_share.WorkspaceShare,
        reply: messages.TokenReply,
        now: float,
        *,
        by_limiter: bool,
    ) -> decisions.Limited:
        """Refuses an operation and those that follow until its turn."""
        longest_s = MAX_REFUSAL_S if by_limiter else MAX_STANDBY_REFUSAL_S
        retry_after_s = reply.retry_after_s
        if not by_limiter:
            # A limiter is found within seconds, and its share is larger.
            retry_after_s = min(retry_after_s, share.limiter_interval_s())
        share.turn_at = now + min(
            retry_after_s, workspace_shares.MAX_RETRY_AFTER_S
        )
        share.refused_until = min(share.turn_at, now + longest_s)
        return self._limited(share, now)

    def _limited(
        self, share: workspace_share.WorkspaceShare, now: float
    ) -> decisions.Limited:
        self._shares.counts["refused"] += 1
        return decisions.Limited(retry_after_s=max(0.0, share.turn_at - now))

    # Requests of other proxies.

    def grant(self, request: messages.TokenRequest) -> messages.TokenReply:
        """Answers another proxy at once; decides nothing while stopping."""
        return self._grants.grant(request)

    # Maintenance.

    def sweep(self) -> None:
        """Starts and drops the buckets of the workspaces by this proxy's role.

        Called several times in a window: the bucket of a workspace fills from
        when this proxy becomes its limiter and not from its first operation,
        and a proxy that was out of contact notices that without operations.
        """
        now = clock.now()
        limits = self._shares.limits()
        with self._shares.locked():
            self._loans.retain(limits.keys())
            self._shares.sweep(limits, now)

    def gauges(self) -> dict[str, float]:
        """Returns counters and sizes for the metrics, by name."""
        return self._shares.gauges()
