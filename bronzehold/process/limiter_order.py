"""The order in which the proxies of a region are limiters of a workspace.

All proxies compute the same order from the same live proxies: rendezvous
hashing over the workspace's name. It is not safe for use from several threads.
"""

import collections.abc
import dataclasses
import math

from bronzehold.core import rendezvous
from bronzehold.process import serving as serving_lib
from bronzehold.version import members as members_lib

# A limiter that did not answer is not asked for this long, so that few
# operations wait for one that is frozen or cut off.
SKIP_S = 1.0
# A proxy that is stopping, or where no process accepts connections, is no
# limiter for at least this long, and until it is heard again: the last digests
# of a process arrive after its end, and the first ones of a new process before
# it accepts connections.
ENDED_S = 0.3
# Age up to which a view of the region is used again. In a region of 100
# proxies, computing one takes about as long as asking a limiter.
VIEW_AGE_S = 0.05


@dataclasses.dataclass(kw_only=True, slots=True)
class _Order:
    """The order for one workspace, valid until the region changes."""

    ranked: list[members_lib.Member]
    candidates: list[members_lib.Member]


class LimiterOrder:
    """The limiters of this proxy's region, as this proxy sees them.

    Args:
        own: This proxy.
        zones: Availability zones of the region.
        serving: Knows the live proxies.
        stopping: Returns whether this proxy is stopping.
        has_seeds: Whether the settings name instances of other proxies.
    """

    def __init__(
        self,
        *,
        own: members_lib.Member,
        zones: frozenset[str],
        serving: serving_lib.Serving,
        stopping: collections.abc.Callable[[], bool],
        has_seeds: bool,
    ):
        self._own = own
        self._zones = zones
        self._serving = serving
        self._stopping = stopping
        self._has_seeds = has_seeds
        self._view: serving_lib.RegionView | None = None
        self._view_at = -math.inf
        # Whether this proxy leaves its tasks to the others of the region.
        self._is_leaving = False
        self._orders: dict[str, _Order] = {}
        self._skip_until: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}

    def view(self, now: float) -> serving_lib.RegionView:
        """Returns the proxies of the region."""
        old = self._view
        if old is not None and 0 <= now - self._view_at < VIEW_AGE_S:
            return old
        view = self._serving.region_view(self._zones)
        self._view = view
        self._view_at = now
        for name in [
            n for n in self._ended_at if n not in view.known or self._is_back(n)
        ]:
            del self._ended_at[name]
            self._orders.clear()
        is_leaving = self._stopping() and len(view.known) > 1
        if (
            old is None
            or old.present != view.present
            or self._is_leaving != is_leaving
        ):
            self._orders.clear()
        self._is_leaving = is_leaving
        return view

    def _is_back(self, name: str) -> bool:
        heard_at = self._serving.heard_at(name)
        return (
            heard_at is not None and heard_at > self._ended_at[name] + ENDED_S
        )

    def candidates(
        self, workspace: str, now: float
    ) -> list[members_lib.Member]:
        """Returns the proxies that may be limiters, the first one first."""
        return self._order(workspace, now).candidates

    def earlier(
        self, workspace: str, name: str, now: float
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns the names before a proxy, and which of them have ended."""
        names = [m.name for m in self._order(workspace, now).ranked]
        before = names[: names.index(name)] if name in names else names
        return tuple(before), tuple(n for n in before if n in self._ended_at)

    def rank(self, workspace: str, now: float) -> int:
        """Returns this proxy's place among all known ones of the region."""
        known = rendezvous.order(_key(workspace), self.view(now).known)
        return known.index(self._own.name)

    def may_act(self, now: float) -> bool:
        """Returns whether this proxy may act for its region.

        Without contact to the others it may not. One that stops leaves it to
        the others, if there are any. One that has just started and knows no
        others may be one of many that start together.
        """
        view = self.view(now)
        is_first_known = self.may_be_unaware(now) and len(view.known) == 1
        return view.in_contact and not is_first_known and not self._is_leaving

    def may_be_unaware(self, now: float) -> bool:
        """Returns whether there may be proxies that this one does not know."""
        return self._has_seeds and self.view(now).is_starting

    def is_limiter(self, workspace: str, now: float) -> bool:
        """Returns whether this proxy is the limiter of a workspace."""
        candidates = self.candidates(workspace, now)
        return (
            bool(candidates)
            and candidates[0].name == self._own.name
            and self.may_act(now)
        )

    def skip(self, name: str, now: float) -> None:
        """Records that a proxy did not answer."""
        self._skip_until[name] = now + SKIP_S

    def is_skipped(self, name: str, now: float) -> bool:
        """Returns whether a proxy has failed to answer lately."""
        return now < self._skip_until.get(name, -math.inf)

    def mark_ended(self, name: str, now: float) -> None:
        """Records that a proxy is no limiter, since it has ended or stops."""
        if name != self._own.name:
            if name not in self._ended_at:
                self._orders.clear()
            self._ended_at[name] = now

    def retain(self, workspaces: collections.abc.Container[str]) -> None:
        """Drops what is kept of other workspaces and of unknown proxies."""
        for name in [n for n in self._orders if n not in workspaces]:
            del self._orders[name]
        known = () if self._view is None else self._view.known
        for name in [n for n in self._skip_until if n not in known]:
            del self._skip_until[name]

    def _order(self, workspace: str, now: float) -> _Order:
        view = self.view(now)
        order = self._orders.get(workspace)
        if order is None:
            ranked = rank(workspace, view.present)
            candidates = [
                m
                for m in ranked
                if m.name not in self._ended_at
                and not (self._is_leaving and m.name == self._own.name)
            ]
            order = _Order(ranked=ranked, candidates=candidates)
            self._orders[workspace] = order
        return order


def rank(
    workspace: str, members: collections.abc.Iterable[members_lib.Member]
) -> list[members_lib.Member]:
    """Orders the proxies of a region as limiters of a workspace."""
    return members_lib.rank(_key(workspace), members)


def _key(workspace: str) -> str:
    return f"limit {workspace}"
