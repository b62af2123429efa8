import hypothesis
from hypothesis import strategies
import pytest

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.core import routes
from bronzehold.process import capacities as capacities_lib
from bronzehold.process import capacity as capacity_lib
from bronzehold.process import capacity_reports
from bronzehold.process import pool as pool_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import gossip_pb2 as pb
from tests import helpers

NAMES = ("a", "b", "c")
SLOTS = 4


class Proxy:
    """A proxy's service with three endpoints, or more."""

    limits = routes.ServiceLimits(name="s", connections=16, synchronous=False)

    def __init__(self, names=NAMES):
        self.is_serving = True
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.capacities = capacities_lib.Capacities(
            group="s", timeline=self.timeline
        )
        self._pools = {
            name: pool_lib.Pool(
                endpoint=helpers.endpoint(name),
                dial=lambda _: None,
                limits=pool_lib.Limits(connections=16, slots=SLOTS + 2),
                queue_timeout_s=1.0,
                capacity=capacity_lib.Capacity(slots=SLOTS),
            )
            for name in names
        }

    def serves(self):
        return self.is_serving

    def pools(self):
        return self._pools

    def pool(self, name):
        return self._pools.get(name)

    def respond(self, name, count, duration_s):
        for _ in range(count):
            self._pools[name].start_statement()
            self._pools[name].end_statement(duration_s, kind="r/Read")

    def update(self, leader="a"):
        self.capacities.update(self._pools, leader=leader)

    def digest(self, name="p"):
        digest = pb.Digest(proxy=name)
        capacity_reports.fill(digest, [self])
        return digest


@pytest.fixture(name="at")
def _at(monkeypatch):
    at = [100.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    return at


def test_nothing_is_told_of_endpoints_with_all_slots_and_no_queue(at):
    """Guards against datagrams that grow with the number of endpoints."""
    proxy = Proxy()
    for name in NAMES:
        proxy.respond(name, 100, 0.02)
    at[0] += 1
    proxy.update()
    assert not proxy.digest().capacities


def test_slow_endpoint_is_told_with_its_age(at):
    proxy = Proxy()
    proxy.respond("b", 100, 0.02)
    proxy.respond("b", 60, 0.2)
    at[0] += 1.5
    proxy.update()
    (entry,) = proxy.digest().capacities
    assert entry.endpoint == "b"
    assert entry.age_ms == 1500
    assert entry.queue_us > entry.service_us
    proxy.is_serving = False
    assert not proxy.digest().capacities, "it does not serve the service"
    proxy.is_serving = True
    at[0] += capacities_lib.OWN_TTL_S
    assert not proxy.digest().capacities, "the measurement is old"


def test_at_most_a_dozen_entries_the_worst_first(at):
    del at
    names = [f"e{number}" for number in range(30)]
    proxy = Proxy(names)
    for number, name in enumerate(names):
        for _ in range(number + 1):
            proxy.pool(name).record_failure()
    entries = proxy.digest().capacities
    assert len(entries) == capacity_reports.MAX_ENTRIES
    assert entries[0].endpoint == "e29"
    assert len(proxy.digest().SerializeToString()) < 600


def test_proxy_without_traffic_relies_on_several_peers(at):
    """One peer alone may be slow itself; its report marks no endpoint."""
    teller = Proxy()
    teller.respond("b", 100, 0.02)
    teller.respond("b", 60, 0.2)
    teller.update()
    hearer = Proxy()
    hearer.update()
    capacity_reports.apply(teller.digest("p1"), [hearer])
    at[0] += 0.2
    hearer.update()
    assert hearer.capacities.cause("b") is None
    capacity_reports.apply(teller.digest("p2"), [hearer])
    at[0] += 0.2
    hearer.update()
    assert hearer.capacities.cause("b") is not None
    (event,) = [e.event for e in hearer.timeline.entries_after(0)]
    assert isinstance(event, endpoint_events.EndpointSlow)
    assert event.from_peers


def test_own_measurement_counts_more_than_reports(at):
    """Guards against peers that are slow themselves."""
    teller = Proxy()
    teller.respond("b", 100, 0.02)
    teller.respond("b", 60, 0.2)
    teller.update()
    hearer = Proxy()
    hearer.respond("b", 100, 0.02)
    for peer in ("p1", "p2", "p3"):
        capacity_reports.apply(teller.digest(peer), [hearer])
    at[0] += 0.2
    hearer.update()
    assert hearer.capacities.cause("b") is None


@pytest.mark.parametrize(("peer_demand", "size"), [(0, 4), (30, 2), (90, 1)])
def test_share_of_the_slots_follows_the_share_of_the_demand(
    at, peer_demand, size
):
    """A slow endpoint's slots are divided between those that need them.

    This proxy has three statements in flight; a peer's demand is in tenths.
    """
    proxy = Proxy()
    pool = proxy.pool("b")
    digest = pb.Digest(proxy="p1")
    digest.capacities.append(
        pb.Capacity(endpoint="b", service_us=20000, demand_tenths=peer_demand)
    )
    for number in range(250):
        at[0] += 0.05
        for _ in range(3):
            pool.start_statement()
        capacity_reports.apply(digest, [proxy])
        proxy.update()
        duration_s = 0.02 if number < 100 else 0.2
        pool.end_statement(duration_s, kind="k")
        for _ in range(2):
            pool.end_statement(None)
    assert pool.measurement().size == size


_NUMBERS = strategies.integers(min_value=-(1 << 63), max_value=(1 << 63) - 1)
_SMALL = strategies.integers(min_value=-(1 << 31), max_value=(1 << 31) - 1)


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    entries=strategies.lists(
        strategies.builds(
            pb.Capacity,
            endpoint=strategies.sampled_from((*NAMES, "", "unknown")),
            capacity_tenths=_SMALL,
            service_us=_NUMBERS,
            queue_us=_NUMBERS,
            age_ms=_NUMBERS,
            failed_thousandths=_SMALL,
            demand_tenths=_SMALL,
        ),
        max_size=20,
    )
)
def test_entries_with_any_values_are_handled_without_an_error(at, entries):
    """An error would end the task that receives, and peers would go silent."""
    proxy = Proxy()
    for peer in ("p1", "p2"):
        digest = pb.Digest(proxy=peer, capacities=entries)
        capacity_reports.apply(digest, [proxy])
    at[0] += 1
    proxy.update()
    assert proxy.digest().SerializeToString()
    for pool in proxy.pools().values():
        assert 1 <= pool.measurement().size <= SLOTS + 2
