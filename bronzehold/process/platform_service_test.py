import pytest

from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.process import platform_service
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from tests import helpers

ENDPOINT = "e"


class FakeServing:
    """Six of many proxies serve, with a share left for a lost one."""

    is_serving = True
    is_small_fleet = False

    def all_serve(self, limits):
        del limits
        return self.is_small_fleet

    def serves(self, limits):
        del limits
        return self.is_serving

    def share_count(self, limits):
        del limits
        return 7


class Service:
    """A service of one endpoint with 46 connections and 4 slots."""

    def __init__(self):
        self.serving = FakeServing()
        self.has_fleet_restarted = False
        timeline = timeline_lib.Timeline(proxy="me", zone="z")
        tasks = tasks_lib.Tasks(timeline=timeline)
        self.service = platform_service.PlatformService(
            env=platform_service.Environment(
                zone="z",
                regions={"z": "r"},
                timeline=timeline,
                dial=lambda _: None,
                spawn_lasting=lambda *_: tasks,
                serving=self.serving,
                cut_off=lambda: False,
                fleet_restarted=lambda: self.has_fleet_restarted,
                shutdown=shutdown_lib.Shutdown(),
            ),
            limits=routes.ServiceLimits(
                name="s", connections=46, synchronous=False
            ),
        )
        listing = helpers.listing(
            ENDPOINT, service="s", slots=4, leads=True, started_ms=1
        )
        self.service.apply(self.service.limits, {ENDPOINT: listing})

    def limits(self):
        self.service.sweep()
        return self.service.pool(ENDPOINT).load().limits


@pytest.fixture(name="service")
def _service():
    return Service()


def test_proxy_that_does_not_serve_has_one_connection(service):
    assert service.limits().connections == 46 // 7
    service.serving.is_serving = False
    assert service.limits().connections == 1


def test_proxy_that_replaces_another_has_a_share(service, monkeypatch):
    """Answers the pattern of a serving proxy that has died in a large fleet.

    Until its silence is noticed, its zone's statements go to another one, which
    had a single connection to each endpoint for them.
    """
    at = [100.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    service.serving.is_serving = False
    assert service.limits().connections == 1
    service.service.note_forwarded()
    assert service.service.pool(ENDPOINT).load().limits.connections == 46 // 7
    at[0] += platform_service.FORWARDED_S
    assert service.limits().connections == 1


def test_connections_are_left_to_late_starters_after_a_power_loss(service):
    """Answers the pattern of a fleet whose instances all lost power.

    The endpoints still count the connections from before. The proxies that
    started first took all others and borrowed more, and the last ones refused
    their zones' statements for seconds.
    """
    service.has_fleet_restarted = True
    limits = service.limits()
    assert limits.connections == 3
    assert limits.max_overflow == 0
    service.serving.is_small_fleet = True
    assert service.limits().connections == 6
    service.serving.is_small_fleet = False
    service.has_fleet_restarted = False
    limits = service.limits()
    assert limits.connections == 6
    assert limits.max_overflow > 0
