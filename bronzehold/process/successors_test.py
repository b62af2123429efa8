import dataclasses
import threading

import pytest

from bronzehold.core import promotion_events
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import successors as successors_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import freshness
from tests import helpers

PAUSE = statements.PauseReplication
RESUME = statements.ResumeReplication


def position(number):
    return statements.LogPosition(term=3, number=number)


@dataclasses.dataclass
class FakeReplica:
    """Answers a command with its status, None while it is busy."""

    received: int
    paused_term: int = 0
    is_busy: bool = False
    leads: bool = False

    def answer(self, command):
        if self.is_busy:
            return None
        match command:
            case PAUSE(term=term):
                self.paused_term = term
            case RESUME():
                self.paused_term = 0
        return helpers.status(
            position(self.received),
            leads=self.leads,
            paused_term=self.paused_term,
        )


class FakeGroup:
    def __init__(self, service):
        self._service = service
        self.deposed = set()
        self.proofs = freshness.Proofs()

    def listings(self):
        return {name: helpers.listing(name) for name in self._service.replicas}

    def leader(self):
        return None

    def term(self):
        return 3

    def has_deposed_log(self, endpoint, received):
        del received
        return endpoint in self.deposed


class FakeService:
    def __init__(self, *, synchronous):
        self.limits = routes.ServiceLimits(
            name="g", connections=4, synchronous=synchronous
        )
        self.replicas = {
            "a": FakeReplica(received=9),
            "b": FakeReplica(received=5),
            "c": FakeReplica(received=7),
        }
        self.group = FakeGroup(self)

    def probe(self, name, command=statements.GET_STATUS):
        return self.replicas[name].answer(command)

    def paused(self):
        return {n for n, r in self.replicas.items() if r.paused_term}


@pytest.fixture(name="successors")
def _successors(monkeypatch):
    monkeypatch.setattr(successors_lib, "RESUME_RETRY_S", 0.0)
    timeline = timeline_lib.Timeline(proxy="me", zone="z")
    return successors_lib.Successors(timeline=timeline, stop=threading.Event())


def test_asynchronous_group_takes_the_best_of_those_that_answer(successors):
    service = FakeService(synchronous=False)
    service.replicas["c"].is_busy = True
    assert successors.choose(service, "a").endpoint == "b"
    assert not service.paused()


def test_busy_replica_of_a_synchronous_group_is_waited_for(successors):
    """Guards against LOST: a replica without the commits was promoted.

    The only replica that had received the acknowledged commits had no free slot
    for its status.
    """
    service = FakeService(synchronous=True)
    service.replicas["c"].is_busy = True
    assert successors.choose(service, "a") is None
    service.replicas["c"].is_busy = False
    chosen = successors.choose(service, "a")
    assert (chosen.endpoint, chosen.received) == ("c", position(7))


def test_replica_is_paused_before_its_log_is_compared(successors):
    """Guards against LOST: a primary out of reach went on with one replica.

    What it acknowledged between the comparison and the promotion was lost.
    """
    service = FakeService(synchronous=True)
    assert successors.choose(service, "a").endpoint == "c"
    assert service.paused() == {"b", "c"}
    assert service.replicas["b"].paused_term == 4


def test_pause_names_a_term_above_all_that_are_known(successors):
    service = FakeService(synchronous=True)
    service.replicas["b"].paused_term = 8
    successors.choose(service, "a")
    assert service.replicas["c"].paused_term == 9


def test_replica_that_is_no_longer_listed_is_not_waited_for(successors):
    service = FakeService(synchronous=True)
    del service.replicas["c"]
    assert successors.choose(service, "a").endpoint == "b"


def test_no_other_is_chosen_while_one_leads(successors):
    service = FakeService(synchronous=True)
    service.replicas["b"].leads = True
    assert successors.choose(service, "a") is None
    assert not service.paused()


def test_replicas_are_resumed_until_each_has_answered(successors):
    service = FakeService(synchronous=True)
    successors.choose(service, "a")
    service.replicas["b"].is_busy = True
    successors.resume(service)
    assert service.paused() == {"b"}
    service.replicas["b"].is_busy = False
    successors.resume(service)
    assert not service.paused()


def test_replicas_that_another_proxy_has_paused_are_resumed(successors):
    service = FakeService(synchronous=True)
    assert not successors.find_paused(service)
    service.replicas["b"].is_busy = True
    service.replicas["c"] = FakeReplica(received=7, paused_term=4)
    assert successors.find_paused(service)
    successors.resume(service)
    assert not service.paused()


def test_wait_for_a_replica_is_logged_once(monkeypatch):
    timeline = timeline_lib.Timeline(proxy="me", zone="z")
    logged = []
    monkeypatch.setattr(timeline, "add", logged.append)
    successors = successors_lib.Successors(
        timeline=timeline, stop=threading.Event()
    )
    service = FakeService(synchronous=True)
    service.replicas["c"].is_busy = True
    successors.choose(service, "a")
    successors.choose(service, "a")
    assert logged == [
        promotion_events.SuccessorAwaited(group="g", endpoints=("c",))
    ]


def test_endpoint_whose_status_fails_does_not_hold_up_the_choice(
    successors, monkeypatch
):
    """Guards against RECOVER: an odd listing ended every choice."""
    service = FakeService(synchronous=False)
    answer = service.probe

    def probe(name, command):
        if name == "c":
            raise TypeError("odd")
        return answer(name, command)

    monkeypatch.setattr(service, "probe", probe)
    assert successors.choose(service, "a").endpoint == "b"


def test_deposed_endpoint_waits_for_another_candidate(successors, monkeypatch):
    """Guards against STALE: a deposed primary led again after a partition.

    The endpoint that led, and the replica that followed it, were out of reach.
    """
    now = 100.0
    monkeypatch.setattr(successors_lib.clock, "now", lambda: now)
    service = FakeService(synchronous=False)
    service.group.deposed = {"a"}
    for name in ("b", "c"):
        service.replicas[name].is_busy = True
    assert successors.choose(service, "") is None
    for _ in range(9):
        now += 1.0
        assert successors.choose(service, "") is None
    service.replicas["b"].is_busy = False
    assert successors.choose(service, "").endpoint == "b"
    # The next loss of a primary is waited out anew.
    service.replicas["b"].is_busy = True
    assert successors.choose(service, "") is None
    for _ in range(11):
        now += 1.0
        found = successors.choose(service, "")
    assert found.endpoint == "a"


def test_log_is_compared_with_a_primary_that_only_peers_reach(
    successors, monkeypatch
):
    """Guards against a planned change that loses the last commits.

    This proxy is cut off from the leaving primary; digests of its peers prove
    the last position.
    """
    service = FakeService(synchronous=False)
    service.replicas["a"].is_busy = True
    service.group.proofs.add(freshness.Proof(position=position(9), at=1.0))

    def catch_up(_seconds):
        service.replicas["c"].received = 9

    monkeypatch.setattr(successors._stop, "wait", catch_up)
    found = successors.best_caught_up(service, "a")
    assert (found.endpoint, found.received) == ("c", position(9))
