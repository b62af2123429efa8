"""Limits the operations of each workspace over all proxies.

Each region has an equal part of a limit. In a region, one proxy holds the token
bucket of a workspace: the first of the live ones by rendezvous hashing, its
limiter. The others ask it for a token for each operation. They ask the second
if the first does not answer, and have a small allowance if that fails too.
Which shares these have is in version/rate_shares.py.
"""

import collections
import collections.abc
import contextlib
import math
import os
import threading

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import routes
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import limiter_order
from bronzehold.process import serving as serving_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_loans
from bronzehold.process import token_messages as messages
from bronzehold.process import window_budget
from bronzehold.process import workspace_share
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
# The longest time that a refused caller is told to wait.
MAX_RETRY_AFTER_S = 60.0
# What is kept of a workspace without operations is dropped after this time.
IDLE_S = 60.0
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
        self._process_id = f"{own.name}/{os.urandom(PROCESS_ID_BYTES).hex()}"
        region = regions[own.zone]
        self._region_count = len(set(regions.values()))
        self._table = table
        self._ask = ask
        self._stopping = stopping
        self._timeline = timeline
        self._tolerance = tolerance
        self._lock = threading.Lock()
        self._order = limiter_order.LimiterOrder(
            own=own,
            zones=frozenset(z for z, r in regions.items() if r == region),
            serving=serving,
            stopping=stopping,
            has_seeds=has_seeds,
        )
        self._borrower = token_loans.Borrower(
            own=own,
            regions=regions,
            serving=serving,
            ask=ask,
            rank=limiter_order.rank,
        )
        self._shares: dict[str, workspace_share.WorkspaceShare] = {}
        self._counts = collections.Counter[str]()
        self._events: list[events.Event] = []

    @contextlib.contextmanager
    def _locked(self) -> collections.abc.Iterator[None]:
        """Holds the lock and records the events after its release."""
        with self._lock:
            yield
            new_events, self._events = self._events, []
        for event in new_events:
            self._timeline.add_frequent(event)

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
        with self._locked():
            share = self._share(workspace, now)
            if share is None:
                return decisions.Spent(
                    workspace=workspace,
                    granted_at=now,
                    origin=decisions.Origin.NO_LIMIT,
                )
            if not share.limit.rate_per_s and not share.limit.burst:
                share.turn_at = now + MAX_RETRY_AFTER_S
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
        with self._locked():
            share = self._shares.get(spent.workspace)
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
            self._counts["refunded"] += 1

    def _spend_here(
        self, share: workspace_share.WorkspaceShare
    ) -> decisions.Spent | decisions.Limited | None:
        """Spends from this proxy's own bucket; returns None if it may not.

        Without contact to its region it does not act for it, and its callers
        have the smaller allowance.
        """
        now = clock.now()
        with self._locked():
            if not self._order.may_act(now):
                return None
            reply = self._take(share, 1, now)
            if reply.granted:
                return self._spent(share, now, decisions.Origin.BUCKET)
        reply = self._borrow(share, 1, reply)
        now = clock.now()
        with self._locked():
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
        with self._locked():
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
        with self._locked():
            share.note_usage(reply.usage, now)
            share.is_asking_batch &= not is_batch
            self._counts["asked"] += 1
            if reply.granted:
                share.reserve.add(
                    reply.granted - 1,
                    granted_at=now,
                    expires_at=now + RESERVE_S,
                )
                return self._spent(share, now, decisions.Origin.PEER)
            if reply.is_decision:
                return self._refuse(share, reply, now, by_limiter=is_first)
            self._counts["unanswered"] += 1
            self._order.skip(member.name, now)
            if reply.is_leaving:
                self._order.mark_ended(member.name, now)
            self._events.append(
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
            version=self._table().version,
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
        with self._locked():
            # Its part is not known while others may be starting too.
            has_spent = not self._order.may_be_unaware(
                now
            ) and share.take_allowance(
                proxies=self._order.view(now).fleet_size,
                rank=self._order.rank(share.limit.name, now),
                now=now,
            )
            if has_spent:
                self._counts["allowance"] += 1
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
        self._counts["spent"] += 1
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
        share.turn_at = now + min(retry_after_s, MAX_RETRY_AFTER_S)
        share.refused_until = min(share.turn_at, now + longest_s)
        return self._limited(share, now)

    def _limited(
        self, share: workspace_share.WorkspaceShare, now: float
    ) -> decisions.Limited:
        self._counts["refused"] += 1
        return decisions.Limited(retry_after_s=max(0.0, share.turn_at - now))

    # Requests of other proxies.

    def grant(self, request: messages.TokenRequest) -> messages.TokenReply:
        """Answers another proxy at once; decides nothing while stopping."""
        now = clock.now()
        with self._locked():
            limit = self._limit(request.workspace)
            if limit is None or self._stopping():
                return messages.TokenReply(is_leaving=self._stopping())
            share = self._share(request.workspace, now)
            if share is None:
                return messages.TokenReply(granted=request.count)
            if request.borrows:
                return self._lend(share, request.count, now)
            for name in request.ended:
                self._order.mark_ended(name, now)
            self._apply_usage(share, request, now)
            reply = self._take(share, request.count, now)
            self._counts["granted"] += reply.granted
        if reply.granted:
            return reply
        return self._borrow(share, request.count, reply)

    def _apply_usage(
        self,
        share: workspace_share.WorkspaceShare,
        request: messages.TokenRequest,
        now: float,
    ) -> None:
        """Counts what the limiter before this one has granted."""
        is_other = request.usage.limiter not in ("", self._process_id)
        match self._bucket(share, now):
            case window_budget.WindowBudget() as budget if is_other:
                budget.apply_report(request.usage, request.usage_age_s, now)

    # Tokens of other regions.

    def _lend(
        self, share: workspace_share.WorkspaceShare, count: int, now: float
    ) -> messages.TokenReply:
        if not self._order.is_limiter(share.limit.name, now):
            return messages.TokenReply()
        granted = token_loans.lend(self._bucket(share, now), count, now)
        self._counts["lent"] += granted
        return messages.TokenReply(granted=granted)

    def _borrow(
        self,
        share: workspace_share.WorkspaceShare,
        count: int,
        refusal: messages.TokenReply,
    ) -> messages.TokenReply:
        """Borrows tokens for operations that the own bucket refused.

        Args:
            share: The share of the workspace.
            count: Number of operations.
            refusal: The reply if no other region has unused tokens.
        """
        if share.role is not workspace_share.Role.LIMITER:
            return refusal
        if not share.loan_lock.acquire(timeout=token_loans.ASK_TIMEOUT_S):
            return refusal
        try:
            with self._locked():
                now = clock.now()
                taken = share.take_borrowed(count, now)
                wanted = token_loans.wanted(share.demand.rate_per_s(now))
            if taken:
                return messages.TokenReply(granted=taken)
            request = messages.TokenRequest(
                workspace=share.limit.name,
                version=self._table().version,
                count=max(count, wanted),
                borrows=True,
            )
            reply = self._borrower.borrow(request, clock.now())
            if not reply.granted:
                return refusal
            now = clock.now()
            with self._locked():
                self._counts["borrowed"] += reply.granted
                share.borrowed.add(
                    reply.granted,
                    granted_at=now,
                    expires_at=now + token_loans.LOAN_S,
                )
                taken = share.take_borrowed(count, now)
                return messages.TokenReply(granted=taken)
        finally:
            share.loan_lock.release()

    # What follows is called with the lock held.

    def _take(
        self, share: workspace_share.WorkspaceShare, count: int, now: float
    ) -> messages.TokenReply:
        bucket = self._bucket(share, now)
        for _ in range(count):
            share.demand.add(now)
        granted = share.take_borrowed(count, now) or bucket.take(
            max(1, count), now
        )
        if granted:
            return messages.TokenReply(
                granted=granted, usage=self._usage(bucket, now)
            )
        wait_s = min(bucket.wait_s(now), MAX_RETRY_AFTER_S)
        return messages.TokenReply(
            retry_after_s=wait_s, usage=self._usage(bucket, now)
        )

    def _usage(
        self, bucket: workspace_share.Bucket, now: float
    ) -> messages.Usage:
        match bucket:
            case window_budget.WindowBudget():
                return bucket.usage(self._process_id, now)
            case _:
                return messages.NO_USAGE

    def _bucket(
        self, share: workspace_share.WorkspaceShare, now: float
    ) -> workspace_share.Bucket:
        is_limiter = self._order.is_limiter(share.limit.name, now)
        view = self._order.view(now)
        bucket, is_new = share.set_role(
            workspace_share.Role.LIMITER
            if is_limiter
            else workspace_share.Role.STANDBY,
            proxies=view.fleet_size,
            contact_since=view.contact_since,
            now=now,
        )
        if is_new:
            self._note_role(share, bucket.tokens(now), now)
        return bucket

    def _note_role(
        self,
        share: workspace_share.WorkspaceShare,
        tokens: float,
        now: float,
    ) -> None:
        view = self._order.view(now)
        candidates = self._order.candidates(share.limit.name, now)
        self._events.append(
            events.LimiterRoleChanged(
                workspace=share.limit.name,
                role=share.role.value,
                tokens=round(tokens, 3),
                first=candidates[0].name if candidates else "",
                present=len(view.present),
                known=len(view.known),
                in_contact=view.in_contact,
                version=self._table().version,
            )
        )

    def _limit(self, name: str) -> routes.Workspace | None:
        workspaces = self._table().workspaces
        return None if workspaces is None else workspaces.get(name)

    def _share(
        self, name: str, now: float
    ) -> workspace_share.WorkspaceShare | None:
        """Returns the share of a workspace, None if it has no limit."""
        limit = self._limit(name)
        if limit is None or limit.rate_per_s is None:
            self._shares.pop(name, None)
            return None
        share = self._shares.get(name) or self._add_share(limit, now)
        if share.limit != limit:
            share.change_limit(limit)
        share.used_at = now
        return share

    def _add_share(
        self, limit: routes.Workspace, now: float
    ) -> workspace_share.WorkspaceShare:
        share = workspace_share.WorkspaceShare(
            limit=limit,
            tolerance=self._tolerance,
            regions=self._region_count,
            now=now,
        )
        self._shares[limit.name] = share
        return share

    # Maintenance.

    def sweep(self) -> None:
        """Starts and drops the buckets of the workspaces by this proxy's role.

        Called several times in a window: the bucket of a workspace fills from
        when this proxy becomes its limiter and not from its first operation,
        and a proxy that was out of contact notices that without operations.
        """
        now = clock.now()
        limits = {
            name: limit
            for name, limit in (self._table().workspaces or {}).items()
            if limit.rate_per_s is not None
        }
        with self._locked():
            for name in self._shares.keys() - limits.keys():
                del self._shares[name]
            self._order.retain(limits.keys())
            self._borrower.retain(limits.keys())
            for limit in limits.values():
                self._sweep_workspace(limit, now)

    def _sweep_workspace(self, limit: routes.Workspace, now: float) -> None:
        name = limit.name
        share = self._shares.get(name)
        if share is not None and share.limit != limit:
            share.change_limit(limit)
        if self._order.is_limiter(name, now):
            self._bucket(share or self._add_share(limit, now), now)
        elif share is None:
            return
        elif now - share.used_at > IDLE_S:
            del self._shares[name]
        elif share.role is workspace_share.Role.LIMITER:
            share.drop_bucket(now)
            self._note_role(share, 0.0, now)

    def gauges(self) -> dict[str, float]:
        """Returns counters and sizes for the metrics, by name."""
        with self._lock:
            roles = collections.Counter(s.role for s in self._shares.values())
            return {
                "limiter_buckets": float(roles[workspace_share.Role.LIMITER]),
                "limiter_standby_buckets": float(
                    roles[workspace_share.Role.STANDBY]
                ),
                **{
                    f"limiter_{name}": float(count)
                    for name, count in self._counts.items()
                },
            }
