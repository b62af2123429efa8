"""The shares of all workspaces in this proxy, with its roles for them.

A share has the bucket of the role that this proxy has for the workspace. What
operations and requests of other proxies take from it is decided in
rate_limiter.py and token_grants.py.
"""

import collections
import collections.abc
import contextlib
import threading

from bronzehold.core import events
from bronzehold.core import routes
from bronzehold.process import limiter_order
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_messages as messages
from bronzehold.process import window_budget
from bronzehold.process import workspace_share
from bronzehold.version import rate_shares

# The longest time that a refused caller is told to wait.
MAX_RETRY_AFTER_S = 60.0
# What is kept of a workspace without operations is dropped after this time.
IDLE_S = 60.0


class WorkspaceShares:
    """The shares of the workspaces, guarded by one lock.

    The attributes and all methods other than version, limits, locked and gauges
    are used with the lock held.

    Attributes:
        order: The order of the limiters of this proxy's region.
        counts: Counters for the metrics, by name.

    Args:
        process_id: Text that tells this process from all others.
        order: The order of the limiters of this proxy's region.
        table: Returns the configuration in force.
        timeline: The event log of the process.
        tolerance: How far a limit may be exceeded.
        region_count: Number of regions.
    """

    def __init__(
        self,
        *,
        process_id: str,
        order: limiter_order.LimiterOrder,
        table: collections.abc.Callable[[], routes.Table],
        timeline: timeline_lib.Timeline,
        tolerance: rate_shares.Tolerance,
        region_count: int,
    ):
        self._process_id = process_id
        self.order = order
        self._table = table
        self._timeline = timeline
        self._tolerance = tolerance
        self._region_count = region_count
        self._lock = threading.Lock()
        self._shares: dict[str, workspace_share.WorkspaceShare] = {}
        self.counts = collections.Counter[str]()
        self._events: list[events.Event] = []

    def version(self) -> int:
        """Returns the version of the configuration in force."""
        return self._table().version

    def limits(self) -> dict[str, routes.Workspace]:
        """Returns the limited workspaces of the configuration, by name."""
        return {
            name: limit
            for name, limit in (self._table().workspaces or {}).items()
            if limit.rate_per_s is not None
        }

    @contextlib.contextmanager
    def locked(self) -> collections.abc.Iterator[None]:
        """Holds the lock and records the events after its release."""
        with self._lock:
            yield
            new_events, self._events = self._events, []
        for event in new_events:
            self._timeline.add_frequent(event)

    def add_event(self, event: events.Event) -> None:
        """Adds an event, recorded after the release of the lock."""
        self._events.append(event)

    def find(self, name: str) -> workspace_share.WorkspaceShare | None:
        """Returns the share of a workspace, None if there is none."""
        return self._shares.get(name)

    def limit(self, name: str) -> routes.Workspace | None:
        """Returns the limit of a workspace, None if it is unknown."""
        workspaces = self._table().workspaces
        return None if workspaces is None else workspaces.get(name)

    def get_or_add(
        self, name: str, now: float
    ) -> workspace_share.WorkspaceShare | None:
        """Returns the share of a workspace for use, None if it has no limit."""
        limit = self.limit(name)
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

    def take(
        self, share: workspace_share.WorkspaceShare, count: int, now: float
    ) -> messages.TokenReply:
        """Takes tokens from the bucket, those of other regions first.

        Args:
            share: The share of the workspace.
            count: Number of tokens.
            now: The time, in seconds of clock.now().
        """
        bucket = self.bucket(share, now)
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

    def bucket(
        self, share: workspace_share.WorkspaceShare, now: float
    ) -> workspace_share.Bucket:
        """Returns the bucket of this proxy's present role."""
        is_limiter = self.order.is_limiter(share.limit.name, now)
        view = self.order.view(now)
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
        view = self.order.view(now)
        candidates = self.order.candidates(share.limit.name, now)
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

    def sweep(
        self, limits: collections.abc.Mapping[str, routes.Workspace], now: float
    ) -> None:
        """Starts and drops the buckets of the workspaces by this proxy's role.

        Args:
            limits: The limited workspaces, by name.
            now: The time, in seconds of clock.now().
        """
        for name in self._shares.keys() - limits.keys():
            del self._shares[name]
        self.order.retain(limits.keys())
        for limit in limits.values():
            self._sweep_workspace(limit, now)

    def _sweep_workspace(self, limit: routes.Workspace, now: float) -> None:
        name = limit.name
        share = self._shares.get(name)
        if share is not None and share.limit != limit:
            share.change_limit(limit)
        if self.order.is_limiter(name, now):
            self.bucket(share or self._add_share(limit, now), now)
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
                    for name, count in self.counts.items()
                },
            }
