"""Loads on a group of three endpoints in three regions, simulated.

Each proxy judges by its own answers. Service times are drawn with a fixed seed;
an endpoint runs as many statements at once as it has slots and queues the rest.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random

import pytest

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.process import capacities as capacities_lib
from bronzehold.process import capacity as capacity_lib
from bronzehold.process import pool as pool_lib
from bronzehold.process import request_queue
from bronzehold.process import timeline as timeline_lib
from bronzehold.request import comparison
from bronzehold.request import placement

SLOTS = 4
ENDPOINTS = ("primary", "replica1", "replica2")
MEAN_BY_KIND_S = {"short": 0.006, "middle": 0.018, "long": 0.030}
NEAR_S = 0.001
FAR_S = 0.04
TARGET_S = 0.253


@dataclasses.dataclass
class Server:
    """One endpoint: `slow` and `failed` are functions of time."""

    slow: object = lambda _now, _busy: 1.0
    failed: object = lambda _now: 0.0
    busy: int = 0
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class Read:
    """One read, with the endpoints that it has tried."""

    kind: str
    arrived: float
    tried: frozenset
    sent_at: float = 0.0


class ModelPool:
    """What a proxy's pool does, without threads."""

    def __init__(self):
        self.capacity = capacity_lib.Capacity(slots=SLOTS)
        self.limits = pool_lib.Limits(connections=15, slots=SLOTS + 2)
        self.running = 0
        self.waiters = collections.deque()
        self.service_s = pool_lib.INITIAL_SERVICE_S
        self.measured_at = -10.0

    def measurement(self):
        return self.capacity.measurement()

    def adjust_capacity(self, adjust):
        adjust(self.capacity)

    def load(self):
        size = min(self.capacity.size(), self.limits.slots)
        full = self.running >= size
        wait_s = (len(self.waiters) + 1) * self.service_s / size if full else 0
        return pool_lib.Load(
            running=self.running,
            waiting=len(self.waiters),
            open=self.running,
            limits=self.limits,
            service_s=self.service_s,
            measured=clock.now() - self.measured_at
            < request_queue.MEASUREMENT_TTL_S,
            wait_s=wait_s,
        )


class Model:
    """Three proxies, one in each region, with Poisson arrivals of reads."""

    def __init__(self, monkeypatch, *, learned=True, rate_per_s=40.0, seed=7):
        self.now = 0.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.learned = learned
        self.rate_per_s = rate_per_s
        self.random = random.Random(seed)
        self.servers = {name: Server() for name in ENDPOINTS}
        self.leader = "primary"
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.pools = [{n: ModelPool() for n in ENDPOINTS} for _ in range(3)]
        self.capacities = [
            capacities_lib.Capacities(group="g", timeline=self.timeline)
            for _ in range(3)
        ]
        self.sent = []  # (time, proxy, endpoint)
        self.served = []  # (arrival, seconds, or None if refused or failed)
        self._events = []
        self._order = itertools.count()
        for proxy in range(3):
            self._at(0.0, lambda proxy=proxy: self._arrive(proxy))

    def _at(self, delay_s, action):
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._order), action)
        )

    def run(self, until):
        while self._events and self._events[0][0] < until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def _arrive(self, proxy):
        self._at(
            self.random.expovariate(self.rate_per_s),
            lambda: self._arrive(proxy),
        )
        kind = self.random.choice(list(MEAN_BY_KIND_S))
        self._place(proxy, kind, self.now, frozenset())

    def _place(self, proxy, kind, arrived, excluded):
        pools, capacities = self.pools[proxy], self.capacities[proxy]
        if self.learned:
            capacities.update(pools, leader=self.leader)
        candidates = []
        for region, name in enumerate(ENDPOINTS):
            load, cause = pools[name].load(), capacities.cause(name)
            candidate = placement.Candidate(
                endpoint=name,
                same_zone=region == proxy,
                same_region=region == proxy,
                is_primary=name == self.leader,
                failing=False,
                recent_duration_s=load.service_s if load.measured else 0.0,
                expected_wait_s=load.wait_s,
                connections_exhausted=False,
                lag_s=0.0,
                slow=cause is comparison.Cause.SLOW,
                unreliable=cause is comparison.Cause.FAILING,
            )
            if cause is not None and placement.may_try(candidate):
                trial = capacities.try_trial(
                    name, pools[name].measurement(), target_s=TARGET_S
                )
                candidate = dataclasses.replace(candidate, trial=trial)
            candidates.append(candidate)
        order = [c.endpoint for c in placement.order(candidates)]
        for target in order:
            pool = pools[target]
            if target not in excluded and pool.load().wait_s <= TARGET_S / 2:
                break
        else:
            self.served.append((arrived, None))
            return
        pool.waiters.append(
            Read(kind=kind, arrived=arrived, tried=excluded | {target})
        )
        self._dispatch(proxy, target)

    def _dispatch(self, proxy, name):
        pool = self.pools[proxy][name]
        size = min(pool.capacity.size(), pool.limits.slots)
        distance_s = NEAR_S if ENDPOINTS[proxy] == name else FAR_S
        while pool.waiters and pool.running < size:
            read = pool.waiters.popleft()
            read.sent_at = self.now
            pool.running += 1
            self.sent.append((self.now, proxy, name))
            answer = functools.partial(self._answered, proxy, name, read)
            self._at(
                distance_s / 2,
                functools.partial(
                    self._queue, name, read.kind, distance_s / 2, answer
                ),
            )

    def _queue(self, name, kind, return_s, answer):
        server = self.servers[name]
        server.queue.append((kind, return_s, answer))
        self._serve(name)

    def _serve(self, name):
        server = self.servers[name]
        while server.queue and server.busy < SLOTS:
            kind, return_s, answer = server.queue.popleft()
            failed = self.random.random() < server.failed(self.now)
            server.busy += 1
            mean_s = MEAN_BY_KIND_S[kind] * server.slow(self.now, server.busy)
            took_s = 0.001 if failed else self.random.expovariate(1 / mean_s)

            def finish(return_s=return_s, answer=answer, failed=failed):
                server.busy -= 1
                self._at(return_s, lambda: answer(failed=failed))
                self._serve(name)

            self._at(took_s, finish)

    def _answered(self, proxy, name, read, *, failed):
        pool = self.pools[proxy][name]
        pool.running -= 1
        if failed:
            pool.capacity.record_failure()
            self._place(proxy, read.kind, read.arrived, read.tried)
        else:
            duration_s = self.now - read.sent_at
            pool.capacity.record_response(
                read.kind,
                duration_s,
                in_flight=pool.running + 1,
                max_size=pool.limits.slots,
                has_waiters=bool(pool.waiters),
            )
            pool.measured_at = self.now
            pool.service_s += 0.1 * (duration_s - pool.service_s)
            self.served.append((read.arrived, self.now - read.arrived))
        self._dispatch(proxy, name)

    def share_sent(self, name, since, until, proxy=None):
        """Returns an endpoint's fraction of the statements sent."""
        names = [
            n
            for at, p, n in self.sent
            if since <= at < until and proxy in (None, p)
        ]
        return names.count(name) / max(1, len(names))

    def share_on_time(self, since, until, target_s=TARGET_S):
        """Returns the fraction of the reads that were served in time."""
        took = [s for at, s in self.served if since <= at < until]
        return sum(s is not None and s <= target_s for s in took) / len(took)

    def events(self, kind, endpoint=None):
        return [
            e.event
            for e in self.timeline.entries_after(0)
            if isinstance(e.event, kind)
            and endpoint in (None, e.event.endpoint)
        ]


@pytest.fixture(name="make")
def _make(monkeypatch):
    return lambda **fields: Model(monkeypatch, **fields)


def _slow_from(start, factor=7.0, end=1e9):
    return lambda now, _busy: factor if start <= now < end else 1.0


def _falls_under_a_tenth(model, name, start, proxy):
    """Returns the seconds until an endpoint has a tenth of the next second."""
    return next(
        tenths / 10
        for tenths in range(200)
        if model.share_sent(
            name, start + tenths / 10, start + tenths / 10 + 1, proxy
        )
        < 0.1
    )


@pytest.mark.parametrize("seed", range(3))
def test_one_of_three_is_seven_times_slower(make, seed):
    """Names the load: the nearest replica is 7 times slower from 30 s on.

    With short reads only, its reads took 42 ms, less than the distance to
    another region, so a proxy that judged by latency alone left more than half
    of them there.
    """
    model = make(seed=seed)
    replica = model.servers["replica1"]
    replica.slow = _slow_from(30)
    model.run(60)
    assert model.share_sent("replica1", 10, 30, proxy=1) > 0.9
    assert _falls_under_a_tenth(model, "replica1", 30, proxy=1) <= 2.0
    assert model.share_sent("replica1", 33, 60) < 0.1
    assert model.share_on_time(32, 60) > 0.98
    (first, *_) = model.events(endpoint_events.EndpointSlow)
    assert first.endpoint == "replica1"
    assert first.cause == "slow"


def test_equal_endpoints_are_left_as_they_are(make):
    """Guards the ordinary case: no marks, no smaller limit, the near replica.

    Durations are exponential, and one endpoint is far from each proxy.
    """
    model = make(rate_per_s=30.0)
    sizes = []
    for second in range(10, 120):
        model.run(second)
        sizes += [
            model.pools[1]["replica1"].capacity.size(),
            model.pools[2]["replica2"].capacity.size(),
        ]
    assert min(sizes) >= SLOTS / 2
    assert sum(sizes) / len(sizes) > SLOTS * 0.98
    assert not model.events(endpoint_events.EndpointSlow)
    for proxy, near in ((1, "replica1"), (2, "replica2")):
        assert model.share_sent(near, 10, 120, proxy=proxy) > 0.97
    assert model.share_on_time(10, 120) > 0.999


def test_all_endpoints_are_slow(make):
    """Names the load: all three become 7 times slower at 30 s.

    A group whose endpoints are all slow keeps its reads where they were, with
    fewer in flight, and none is left out.
    """
    model = make(rate_per_s=10.0)
    for server in model.servers.values():
        server.slow = _slow_from(30)
    model.run(60)
    sizes = [
        pools[near].capacity.size()
        for pools, near in (
            (model.pools[1], "replica1"),
            (model.pools[2], "replica2"),
        )
    ]
    assert min(sizes) >= 1
    assert max(sizes) < SLOTS
    assert model.share_sent("replica1", 40, 60) > 0.2
    assert model.share_sent("replica2", 40, 60) > 0.2
    assert model.share_on_time(40, 60, target_s=1.203) > 0.9


def test_endpoint_slows_down_long_before_it_is_full(make):
    """Names the load: from its third statement on, a replica takes 5 times."""
    model = make(rate_per_s=30.0)
    model.servers["replica1"].slow = lambda _now, busy: 5.0 if busy > 2 else 1.0
    model.run(60)
    sizes = []
    for second in range(61, 90):
        model.run(second)
        sizes.append(model.pools[1]["replica1"].capacity.size())
    assert sum(sizes) / len(sizes) < SLOTS
    assert model.share_on_time(20, 90) > 0.99


def test_flapping_endpoint_gets_few_reads(make):
    """Names the load: a replica is 7 times slower for 3 s of every 6 s.

    Each time that it is found slow again, it stays marked for longer, so it
    does not get all reads in each of its good phases.
    """
    model = make()
    model.servers["replica1"].slow = lambda now, _busy: (
        7.0 if now >= 30 and int(now / 3) % 2 == 0 else 1.0
    )
    model.run(90)
    assert model.share_on_time(33, 90) > 0.98
    assert len(model.events(endpoint_events.EndpointSlow, "replica1")) < 20
    assert model.share_sent("replica1", 60, 90) < 0.2


def test_endpoint_that_refuses_quickly_does_not_look_fast(make):
    """Names the load: a replica refuses nearly all, within 1 ms, from 30 s."""
    model = make()
    model.servers["replica1"].failed = lambda now: 0.97 if now >= 30 else 0.0
    model.run(60)
    assert _falls_under_a_tenth(model, "replica1", 30, proxy=1) <= 2.0
    assert model.share_sent("replica1", 33, 60) < 0.1
    assert model.share_on_time(33, 60) > 0.99


def test_endpoint_that_fails_some_statements_is_not_preferred(make):
    """Names the load: a replica fails 0.46 of its statements from 30 s on."""
    model = make(rate_per_s=20.0)
    model.servers["replica1"].failed = lambda now: 0.46 if now >= 30 else 0.0
    model.run(60)
    assert _falls_under_a_tenth(model, "replica1", 30, proxy=1) <= 2.0
    assert model.share_sent("replica1", 33, 60) < 0.1
    first = model.events(endpoint_events.EndpointSlow)[0]
    assert (first.endpoint, first.cause) == ("replica1", "failing")


def test_recovery_is_noticed_by_the_trials(make):
    """Names the load: a replica is 7 times slower from 30 s to 50 s."""
    model = make()
    model.servers["replica1"].slow = _slow_from(30, end=50)
    model.run(80)
    assert model.share_sent("replica1", 33, 50, proxy=1) < 0.1
    assert model.share_sent("replica1", 60, 80, proxy=1) > 0.9
    assert model.events(endpoint_events.EndpointRecovered, "replica1")


def test_new_primary_does_not_inherit_its_history(make):
    """Names the load: the slow replica is promoted at 40 s.

    What it was as a replica under reads says nothing of it as the primary.
    """
    model = make()
    model.servers["replica1"].slow = _slow_from(30, end=40)
    model.run(40)
    learned = model.pools[1]["replica1"].measurement()
    assert learned.slowness > 1.5
    model.leader = "replica1"
    model.run(40.5)
    for proxy in range(3):
        measured = model.pools[proxy]["replica1"].measurement()
        assert measured.slowness < 1.5
        assert measured.size >= SLOTS
        assert model.capacities[proxy].cause("replica1") is None
    recovered = model.events(endpoint_events.EndpointRecovered, "replica1")
    assert any(e.why == "role changed" for e in recovered)
