import pytest

from bronzehold.core import clock
from bronzehold.core import statements
from bronzehold.process import platform_group
from bronzehold.process import probes as probes_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import freshness
from tests import helpers

NAMES = ("e1", "e2", "e3")


class FakePool:
    def __init__(self, conn):
        self.conn = conn

    def acquire(self, **_):
        return self.conn

    def end_statement(self, duration_s):
        del duration_s

    def release(self, conn, *, reusable):
        del conn, reusable


class FakeConn:
    def __init__(self, service, name):
        self.service = service
        self.name = name

    def status(self, deadline, command):
        del command
        del deadline
        self.service.probed.append(self.name)
        if self.name in self.service.silent:
            raise probes_lib.ports.TransportError("silent")
        return helpers.status(
            statements.LogPosition(term=1, number=0), leads=self.name == "e1"
        )


class FakeService:
    """A service whose tasks are run by the test."""

    def __init__(self):
        self.group = platform_group.PlatformGroup(
            name="g", timeline=timeline_lib.Timeline(proxy="me", zone="z")
        )
        self.group.set_listings(
            {name: helpers.listing(name, leads=name == "e1") for name in NAMES}
        )
        self.is_serving = False
        self.probed = []
        self.silent = set()
        self.tasks = []
        self.probes = probes_lib.Probes(service=self)
        for name in NAMES:
            self.probes.add(name)

    def serves(self):
        return self.is_serving

    def pool(self, name):
        return FakePool(FakeConn(self, name))

    def spawn_lasting(self, name, task):
        self.tasks.append((name, task))

    def note_connection_lost(self, name):
        self.group.note_failing(name, refused=False)

    def note_round_trip(self, name, duration_s):
        del name, duration_s

    def run_tasks(self):
        tasks, self.tasks = self.tasks, []
        for _, task in tasks:
            task()


@pytest.fixture(name="service")
def _service(monkeypatch):
    service = FakeService()

    def wait(event, timeout_s=None):
        # The second wait of a task ends the test's interest in it.
        del event, timeout_s
        service.is_serving = False
        service.silent.clear()
        return True

    monkeypatch.setattr(probes_lib.threading.Event, "wait", wait)
    return service


def test_serving_proxy_has_a_task_for_each_endpoint(service):
    service.is_serving = True
    service.probes.refresh()
    assert len(service.tasks) == len(NAMES)
    service.probes.refresh()
    service.probes.wake_all()
    assert len(service.tasks) == len(NAMES), "one task an endpoint"


def test_proxy_outside_of_the_set_has_no_tasks(service):
    """Answers the pattern of tasks and probes that grow with the fleet."""
    service.probes.refresh()
    assert service.tasks == []


def test_woken_probe_ends_once_the_endpoint_answers(service):
    service.probes.wake("e1")
    service.run_tasks()
    assert service.probed == ["e1"]
    service.probes.wake("e1")
    assert len(service.tasks) == 1, "the next wake starts a task again"


def test_woken_probe_goes_on_while_the_endpoint_is_silent(service):
    """A report that the primary is gone must not outlast its silence."""
    service.silent = {"e1"}
    service.probes.wake("e1")
    service.run_tasks()
    assert service.probed == ["e1", "e1"]
    assert not service.group.is_failing("e1")


def test_task_of_a_removed_endpoint_ends(service):
    service.is_serving = True
    service.probes.refresh()
    for name in NAMES:
        service.probes.remove(name)
    service.run_tasks()
    assert service.probed == []


def test_primary_that_no_peer_tells_is_searched(service, monkeypatch):
    service.group.note_not_leading("e1")
    monkeypatch.setattr(service.group, "leaderless_s", lambda: 1.0)
    service.probes.refresh()
    assert service.tasks == []
    monkeypatch.setattr(
        service.group,
        "leaderless_s",
        lambda: probes_lib.OUTSIDE_SEARCH_DELAY_S + 0.1,
    )
    service.probes.refresh()
    service.run_tasks()
    assert service.group.leader().endpoint == "e1"


@pytest.mark.parametrize(("silent_s", "is_probed"), [(1.3, True), (0.5, False)])
def test_primary_that_only_peers_reach_is_probed(service, silent_s, is_probed):
    """Guards against a broken path to the primary that nobody notices.

    The peers' proofs arrived so often that no probe was due, for as long as
    no statement came.
    """
    service.probes.probe("e1")
    service.probed.clear()
    now = clock.now()
    service.group.contact("e1").answered_at = now - silent_s
    service.group.proofs.add(
        freshness.Proof(
            position=statements.LogPosition(term=1, number=0), at=now
        )
    )
    service.is_serving = True
    service.probes.refresh()
    service.run_tasks()
    assert ("e1" in service.probed) == is_probed
