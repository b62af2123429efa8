"""A fleet of rate limiters for tests, without network, threads or wall clock.

The limiters call each other directly and share a clock that the test sets.
"""

import collections
import dataclasses

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import rate_limiter
from bronzehold.process import serving as serving_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_messages as messages
from bronzehold.version import members as members_lib
from bronzehold.version import rate_shares

TOLERANCE = rate_shares.Tolerance()
ZONES = ("za", "zb", "zc")
REGIONS = {zone: f"region {zone}" for zone in ZONES}
STEP_S = 0.05
ROUND_S = 0.25
FANOUT = 6
LEASE_S = 3.0

SMALL = routes.Workspace(name="w", rate_per_s=1.0, burst=1.0)
LARGE = routes.Workspace(name="w", rate_per_s=132.0, burst=132.0)
# The rate alone decides, and the burst alone.
STEADY = routes.Workspace(name="w", rate_per_s=60.0, burst=1.0)
BURSTY = routes.Workspace(name="w", rate_per_s=2.0, burst=400.0)
# The demand of the letter's large workspace: 6 times its rate.
EXCESS = 6.0


def table(*limits, version=1):
    return dataclasses.replace(
        routes.EMPTY_TABLE,
        version=version,
        workspaces={limit.name: limit for limit in limits},
    )


def most_in_window(spent_at):
    """Returns the highest number of operations in any window."""
    times = sorted(spent_at)
    most = start = 0
    for end, at in enumerate(times):
        while times[start] <= at - TOLERANCE.window_s:
            start += 1
        most = max(most, end + 1 - start)
    return most


class Proxy:
    """One proxy with its view of the fleet."""

    def __init__(self, fleet, number, limits):
        self.fleet = fleet
        self.member = members_lib.Member(
            name=f"p{number}",
            zone=ZONES[number % len(ZONES)],
            address=f"10.0.0.{number}:1",
        )
        self.table = limits
        # The partition that it belongs to, whether its process or its machine
        # runs, and digests that arrived while it was frozen.
        self.part = 0
        self.runs = False
        self.has_power = True
        self.frozen = False
        self.stopping = False
        self.queued = []
        self.gone_at = 0.0
        self.start()

    def start(self):
        self.runs = self.has_power = True
        self.stopping = False
        self.started_at = clock.now()
        self.heard = {}
        self.live = None
        self.next_peer = 0
        timeline = timeline_lib.Timeline(proxy=self.member.name, zone="")
        self.serving = serving_lib.Serving(
            own=self.member,
            everyone=lambda: len(self.fleet.proxies),
            silence_s=self.fleet.silence_s,
            timeline=timeline,
        )
        self.limiter = rate_limiter.RateLimiter(
            own=self.member,
            regions=REGIONS,
            serving=self.serving,
            table=lambda: self.table,
            ask=self.ask,
            stopping=lambda: self.stopping,
            timeline=timeline,
            tolerance=TOLERANCE,
            has_seeds=self.fleet.size > 1,
        )

    def stop(self, *, power=True):
        self.runs = False
        self.has_power = power
        self.gone_at = clock.now()

    def ask(self, member, request, timeout_s):
        assert timeout_s <= rate_limiter.ASK_TIMEOUT_S
        other = self.fleet.proxies[member.name]
        if self.part == other.part and not other.runs and other.has_power:
            raise messages.NoAnswerError("refused", ended=True)
        if not self.fleet.is_joined(self, other):
            raise messages.NoAnswerError("no answer")
        return other.limiter.grant(request)

    def hear(self, name):
        self.heard[name] = clock.now()
        uptime_s = clock.now() - self.fleet.proxies[name].started_at
        self.serving.note_heard(name, uptime_s)

    def update_peers(self):
        live = {
            name
            for name, at in self.heard.items()
            if clock.now() - at < self.fleet.silence_s()
            and not self.fleet.proxies[name].stopping
        }
        if live != self.live:
            self.live = live
            self.serving.set_peers(
                [self.fleet.proxies[name].member for name in live],
                frozenset(self.heard),
            )

    def send_digests(self):
        others = sorted(self.fleet.proxies.keys() - {self.member.name})
        start, self.next_peer = self.next_peer, self.next_peer + FANOUT
        for n in range(start, start + min(FANOUT, len(others))):
            other = self.fleet.proxies[others[n % len(others)]]
            if other.runs and other.part == self.part:
                if other.frozen:
                    other.queued.append(self.member.name)
                else:
                    other.hear(self.member.name)


class Fleet:
    """Proxies in three regions, and when they let operations through."""

    def __init__(self, at, limit, *, size=25):
        self.at = at
        self.size = size
        self.proxies = {}
        self.spent_at = []
        self.refused_count = 0
        self._owed = collections.Counter()
        limits = table(limit)
        for number in range(size):
            proxy = Proxy(self, number, limits)
            self.proxies[proxy.member.name] = proxy
        self.run(5.0)

    def silence_s(self):
        rounds = -(-(self.size - 1) // FANOUT)
        return max(1.0, 4 * rounds * ROUND_S)

    def is_joined(self, one, other):
        return (
            one.part == other.part
            and other.runs
            and not other.frozen
            and not one.frozen
        )

    def running(self):
        return [p for p in self.proxies.values() if p.runs and not p.frozen]

    def order(self, zone=ZONES[0]):
        """Returns the proxies of a region in the order of limiters."""
        members = [
            p.member for p in self.proxies.values() if p.member.zone == zone
        ]
        ranked = members_lib.rank("limit w", members)
        return [self.proxies[m.name] for m in ranked]

    def registered(self):
        now = clock.now()
        return [
            p.member
            for p in self.proxies.values()
            if p.runs or now - p.gone_at < LEASE_S
        ]

    def run(self, seconds, demand_per_s=0.0):
        """Lets time pass with a demand, spread over the running proxies."""
        for _ in range(round(seconds / STEP_S)):
            self.at[0] += STEP_S
            step = round(self.at[0] / STEP_S)
            if step % round(ROUND_S / STEP_S) == 0:
                self._exchange_digests()
            running = self.running()
            for proxy in running:
                self._owed[proxy] += demand_per_s * STEP_S / len(running)
                while self._owed[proxy] >= 1:
                    self._owed[proxy] -= 1
                    self.attempt(proxy)

    def _exchange_digests(self):
        for proxy in self.running():
            queued, proxy.queued = proxy.queued, []
            for name in queued:
                proxy.hear(name)
            if proxy.part == 0:
                proxy.serving.set_registered(self.registered())
            proxy.send_digests()
        for proxy in self.running():
            proxy.update_peers()
            proxy.limiter.sweep()

    def attempt(self, proxy):
        decision = proxy.limiter.try_spend("w", clock.now() + 1.0)
        match decision:
            case decisions.Spent():
                self.spent_at.append(clock.now())
            case decisions.Limited(retry_after_s=retry_after_s):
                assert retry_after_s > 0
                self.refused_count += 1
        return decision

    def assert_limited(self, limit):
        allowed = rate_shares.most_in_window(
            TOLERANCE, limit.rate_per_s, limit.burst
        )
        most = most_in_window(self.spent_at)
        assert most <= allowed
        return most


def excess(limit):
    """Returns a demand that uses up any limit."""
    return EXCESS * max(limit.rate_per_s, 20.0) + limit.burst
