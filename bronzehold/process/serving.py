"""What this proxy knows of who serves which service and watches the store.

It keeps the live proxies and those that failed to take a forwarded statement,
and answers for each service whether this proxy serves it and otherwise where
its statements are forwarded to.
"""

import collections.abc
import dataclasses
import itertools
import math
import threading
import types

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import request_events
from bronzehold.core import routes
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import members as members_lib
from bronzehold.version import serving_set
from bronzehold.version import watchers as watchers_lib

# A proxy that failed to take a statement gets none for at least this long, and
# until it is heard again.
MIN_SUSPECT_S = 1.0
# A suspect that is not heard again is tried after this time.
MAX_SUSPECT_S = 15.0
# Number of proxies that a statement is offered to before this proxy serves it.
MAX_TARGETS = 2
# Time within which the proxies of a fleet that starts at once are ready.
STARTING_S = 1.0
_NO_REGIONS: collections.abc.Mapping[str, str] = types.MappingProxyType({})
# Parts of the silence timeout, which is four rounds of digests to all peers. A
# proxy that is cut off must notice before the others count it as absent, so
# they differ by a round. The lower bounds keep the contact through a lost
# datagram in small fleets, where a round takes 0.25 s.
CONTACT_PART = 0.4
MIN_CONTACT_S = 0.75
ABSENT_PART = 0.65
MIN_ABSENT_S = 1.0
# The same after a start of all of the region: two rounds of digests.
START_SETTLE_S = 0.5
# A proxy that has just started has no contact to its region yet, while others
# hear it already. It is not present in the region before this time, unless all
# of the region have just started.
SETTLED_UPTIME_S = 2.0
# The others have heard a proxy that comes back after this part, one round.
SETTLE_PART = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegionView:
    """The proxies of a region as this proxy sees them.

    Attributes:
        present: This proxy and those that are live, without the stopping ones
            and those that have just started.
        known: Names of all that are live or registered, in alphabetical order.
        in_contact: Whether more than half of the known ones, this proxy
            included, have been heard for long enough that they have heard this
            one too.
        contact_since: The time since which this proxy has heard more than half
            of them without a gap, in seconds of clock.now().
        fleet_size: Number of known proxies of all regions.
        is_starting: Whether this proxy has just started, so that others that
            start along with it may not be known yet.
    """

    present: tuple[members_lib.Member, ...]
    known: tuple[str, ...]
    in_contact: bool
    contact_since: float
    fleet_size: int
    is_starting: bool


class Serving:
    """The serving sets as this proxy sees them; safe to use from any thread.

    Args:
        own: This proxy.
        everyone: Returns the number of proxies that may hold connections when
            all serve.
        silence_s: Returns the time without a digest after which a peer counts
            as silent, in seconds.
        timeline: The event log of the process.
        regions: The region of each availability zone.
    """

    def __init__(
        self,
        *,
        own: members_lib.Member,
        everyone: collections.abc.Callable[[], int],
        silence_s: collections.abc.Callable[[], float],
        timeline: timeline_lib.Timeline,
        regions: collections.abc.Mapping[str, str] = _NO_REGIONS,
    ):
        self._own = own
        self._regions = regions
        self._everyone = everyone
        self._timeline = timeline
        self._lock = threading.Lock()
        self._live: dict[str, members_lib.Member] = {}
        self._heard: frozenset[str] = frozenset()
        self._expected: dict[str, members_lib.Member] = {}
        self._started_at = clock.now()
        self._silence_s = silence_s
        # This proxy, the live ones and the expected ones.
        self._members: dict[str, members_lib.Member] = {own.name: own}
        self._sets: dict[tuple[str, int], frozenset[str]] = {}
        self._watchers: frozenset[str] | None = None
        self._announced: dict[str, frozenset[str]] = {}
        self._suspected_at: dict[str, float] = {}
        self._registered: dict[str, members_lib.Member] = {}
        self._heard_at: dict[str, float] = {}
        self._peer_started_at: dict[str, float] = {}
        self._last_heard_at = -math.inf
        # A new process sends digests from its start on.
        self._contact_since = self._started_at
        self._had_contact = False

    def set_peers(
        self,
        peers: collections.abc.Iterable[members_lib.Member],
        heard: frozenset[str] = frozenset(),
    ) -> None:
        """Replaces the known peers.

        Args:
            peers: The live peers that are not stopping.
            heard: Names of all peers that have sent a digest. Of these, only
                the ones in peers count as live.
        """
        with self._lock:
            self._live = {peer.name: peer for peer in peers}
            self._heard = heard
            self._update_members()

    def set_registered(
        self, registered: collections.abc.Iterable[members_lib.Member]
    ) -> None:
        """Sets the registered proxies.

        They count as live after the start, until those that live must have sent
        a digest. Otherwise each proxy of a fleet that starts would serve
        everything at first, and use up the connections of the endpoints.
        """
        with self._lock:
            self._expected = {
                member.name: member for member in registered if member.zone
            }
            self._registered = self._expected
            self._update_members()

    def may_be_starting(self) -> bool:
        """Returns whether other proxies may be starting along with this one."""
        return clock.now() - self._started_at < STARTING_S

    def _expects_registered(self) -> bool:
        return clock.now() - self._started_at < self._silence_s()

    def _update_members(self) -> None:
        if not self._expects_registered():
            self._expected = {}
        expected = {
            name: member
            for name, member in self._expected.items()
            if name not in self._heard
        }
        members = {**expected, **self._live, self._own.name: self._own}
        if members == self._members:
            return
        self._members = members
        self._sets.clear()
        self._watchers = None
        for name in self._suspected_at.keys() - members.keys():
            del self._suspected_at[name]

    def _forget_expected(self) -> None:
        if self._expected and not self._expects_registered():
            self._update_members()

    def names(self, limits: routes.ServiceLimits) -> frozenset[str]:
        """Returns the proxies that serve a service."""
        key = (limits.name, limits.connections)
        with self._lock:
            self._forget_expected()
            found = self._sets.get(key)
            if found is not None:
                return found
            found = serving_set.serving_set(
                limits.name, self._members.values(), limits.connections
            )
            self._sets[key] = found
            is_everyone = len(found) == len(self._members)
            changed = self._announced.get(limits.name) != found
            self._announced[limits.name] = found
        if changed and not is_everyone:
            self._timeline.add_frequent(
                events.ServingSetChanged(
                    group=limits.name, proxies=", ".join(sorted(found))
                )
            )
        return found

    def watches_store(self) -> bool:
        """Returns whether this proxy is one of those that watch the store."""
        with self._lock:
            self._forget_expected()
            if self._watchers is None:
                self._watchers = watchers_lib.watchers(self._members.values())
            return self._own.name in self._watchers

    def serves(self, limits: routes.ServiceLimits) -> bool:
        """Returns whether this proxy serves a service itself."""
        return self._own.name in self.names(limits)

    def share_count(self, limits: routes.ServiceLimits) -> int:
        """Returns the number of proxies that share a service's connections.

        One share more than the set has is left for connections of a proxy that
        was in the set and of proxies that could not forward a statement.
        """
        if self.all_serve(limits):
            return self._everyone()
        return len(self.names(limits)) + 1

    def all_serve(self, limits: routes.ServiceLimits) -> bool:
        """Returns whether all live proxies serve a service."""
        names = self.names(limits)
        with self._lock:
            return len(names) == len(self._members)

    def targets(self, limits: routes.ServiceLimits) -> list[members_lib.Member]:
        """Returns the proxies to forward a service's statements to.

        Returns:
            The proxies in the order in which they are to be tried, all in the
            zone of this proxy; none if this proxy serves the service.
        """
        if self.serves(limits):
            return []
        now = clock.now()
        with self._lock:
            candidates = [
                member
                for member in self._members.values()
                if member.zone == self._own.zone
                and member.name != self._own.name
                and not self._is_suspect(member.name, now)
            ]
        return serving_set.rank(limits.name, candidates)[:MAX_TARGETS]

    def homes(
        self, limits: routes.ServiceLimits, workspace: str, region: str
    ) -> list[members_lib.Member]:
        """Returns the proxies to forward a workspace's statements to.

        A connection to an endpoint belongs to one workspace, so the statements
        of a workspace run on one serving proxy of each region. The next one in
        the order takes its place when it fails.

        Args:
            limits: The limits of the service.
            workspace: The name of the workspace.
            region: The region whose proxies are preferred.

        Returns:
            The proxies in the order in which they are to be tried; none if this
            proxy is the first.
        """
        names = self.names(limits)
        now = clock.now()
        with self._lock:
            serving = [
                member
                for member in self._members.values()
                if member.name in names
            ]
            chosen = (
                self._in_region(serving, region)
                or self._in_region(serving, self._region(self._own.zone))
                or serving
            )
            ranked = serving_set.rank_homes(limits.name, workspace, chosen)
            before_own = itertools.takewhile(
                lambda member: member.name != self._own.name, ranked
            )
            return [
                member
                for member in before_own
                if not self._is_suspect(member.name, now)
            ][:MAX_TARGETS]

    def _region(self, zone: str) -> str:
        return self._regions.get(zone, zone)

    def _in_region(
        self, members: list[members_lib.Member], region: str
    ) -> list[members_lib.Member]:
        return [m for m in members if self._region(m.zone) == region]

    def count(self, limits: routes.ServiceLimits) -> int:
        """Returns the number of proxies that serve a service."""
        return len(self.names(limits))

    def count_in_region(self, limits: routes.ServiceLimits, region: str) -> int:
        """Returns the number of proxies of a region that serve a service."""
        names = self.names(limits)
        with self._lock:
            serving = [m for m in self._members.values() if m.name in names]
            return len(self._in_region(serving, region))

    def _is_suspect(self, name: str, now: float) -> bool:
        suspected_at = self._suspected_at.get(name)
        return suspected_at is not None and now - suspected_at < MAX_SUSPECT_S

    def suspect(self, name: str, reason: str) -> None:
        """Records that a proxy failed to take a statement."""
        with self._lock:
            is_new = name not in self._suspected_at
            self._suspected_at[name] = clock.now()
        if is_new:
            self._timeline.add_frequent(
                request_events.ForwardFailed(peer=name, why=reason)
            )

    def note_heard(self, name: str, uptime_s: float = math.inf) -> None:
        """Records that a digest of a proxy has arrived.

        Args:
            name: The name of the proxy.
            uptime_s: Time since the start of its process.
        """
        now = clock.now()
        with self._lock:
            if self._contact_s() < now - self._last_heard_at < math.inf:
                # This process was suspended or cut off.
                self._contact_since = now
            self._last_heard_at = self._heard_at[name] = now
            self._peer_started_at[name] = now - uptime_s
            suspected_at = self._suspected_at.get(name)
            if suspected_at is not None and now - suspected_at > MIN_SUSPECT_S:
                del self._suspected_at[name]

    def _contact_s(self) -> float:
        return max(MIN_CONTACT_S, CONTACT_PART * self._silence_s())

    def heard_at(self, name: str) -> float | None:
        """Returns when the last digest of a proxy arrived, None if never."""
        return self._heard_at.get(name)

    def live(self, zones: frozenset[str]) -> list[members_lib.Member]:
        """Returns the live proxies in some availability zones."""
        with self._lock:
            return [m for m in self._members.values() if m.zone in zones]

    def _is_settled(self, name: str, now: float) -> bool:
        started_at = (
            self._started_at
            if name == self._own.name
            else self._peer_started_at.get(name, -math.inf)
        )
        return now - started_at >= SETTLED_UPTIME_S

    def region_view(self, zones: frozenset[str]) -> RegionView:
        """Returns the proxies of this proxy's region as of now.

        It goes by the times of the last digests and not by the list of live
        peers, which a process that was suspended still has from before.

        Args:
            zones: The availability zones of the region.
        """
        now = clock.now()
        silence_s = self._silence_s()
        absent_s = max(MIN_ABSENT_S, ABSENT_PART * silence_s)
        contact_s = self._contact_s()
        with self._lock:
            self._forget_expected()
            members = self._members
            everyone = self._registered | members
            known = {n for n, m in everyone.items() if m.zone in zones}
            ages = {
                n: now - self._heard_at[n] for n in known if n in self._heard_at
            }
            ages[self._own.name] = 0.0
            heard_count = sum(ages.get(n, now) < contact_s for n in known)
            is_majority = 2 * heard_count > len(known)
            is_silent = now - self._last_heard_at > contact_s
            is_alone = len(known) == 1
            has_contact = is_alone or (is_majority and not is_silent)
            self._had_contact |= has_contact
            is_starting = self._expects_registered()
            if not has_contact and (self._had_contact or not is_starting):
                self._contact_since = now
            contact_since = self._contact_since
        present = [
            m
            for n, m in members.items()
            if n in known and ages.get(n, 0.0) < absent_s
        ]
        settled_members = [m for m in present if self._is_settled(m.name, now)]
        # If all have just started, there is no other limiter to wait for.
        settle_s = (
            SETTLE_PART * silence_s if settled_members else START_SETTLE_S
        )
        settled = now - contact_since >= settle_s
        return RegionView(
            present=tuple(settled_members or present),
            known=tuple(sorted(known)),
            in_contact=is_alone or (has_contact and settled),
            contact_since=contact_since,
            fleet_size=len(everyone),
            is_starting=is_starting,
        )

    def suspect_count(self) -> int:
        """Returns the number of proxies that get no statements for now."""
        now = clock.now()
        with self._lock:
            return sum(self._is_suspect(n, now) for n in self._suspected_at)
