import json

import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import claims as claims_lib
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import group_views
from bronzehold.process import platform_service
from bronzehold.process import promotion_orders
from bronzehold.process import promotions as promotions_lib
from bronzehold.process import serving as serving_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.proto import gossip_pb2 as pb
from bronzehold.version import members as members_lib
from bronzehold.version import succession
from tests import helpers

DRAIN_S = 7.0


class FakeProcess:
    name = "me"

    def __init__(self):
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.tasks = tasks_lib.Tasks(timeline=self.timeline)


class FakeGossip:
    stopping = False

    def __init__(self):
        self.heard = {}
        self.rounds_to_all = 0
        self.replied_to = []

    def live_peers(self):
        return self.heard

    def share_count(self):
        return 1

    def send_now(self):
        self.rounds_to_all += 1

    def reply(self, received):
        self.replied_to.append(received)


class FakeStore:
    def __init__(self):
        self.items = {}
        self.unavailable = False
        self.lose_answer = False

    def get(self, key):
        if self.unavailable:
            raise ports.StoreError("unavailable")
        return self.items.get(key, ports.Item(key=key, value=None, revision=0))

    def swap(self, old, value, lease=0):
        if self.get(old.key).revision != old.revision:
            return ports.Conflict()
        revision = old.revision + 1
        self.items[old.key] = ports.Item(
            key=old.key, value=value, revision=revision
        )
        if self.lose_answer:
            raise ports.StoreError("lost answer")
        return ports.Swapped(revision=revision)


class FakePromoter:
    def __init__(self):
        self.calls = []
        self.outcome = ports.Ordered()

    def promote(self, **fields):
        self.calls.append(fields)
        return self.outcome


class Harness:
    def __init__(self):
        self.store = FakeStore()
        self.promoter = FakePromoter()
        self.gossip = FakeGossip()
        self.member_requests = 0
        timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.tokens = tokens_lib.Tokens(
            proxy="me", incarnation="1", store=self.store, timeline=timeline
        )
        self.orders = promotion_orders.PromotionOrders(
            holder="me",
            tokens=self.tokens,
            promoter=self.promoter,
            timeline=timeline,
            failure_memory_s=4 * DRAIN_S,
        )
        self.fences = fences_lib.Fences(tokens=self.tokens, orders=self.orders)
        self.promotions = promotions_lib.Promotions(
            process=FakeProcess(),
            tokens=self.tokens,
            orders=self.orders,
            fences=self.fences,
            gossip=self.gossip,
            drain_s=DRAIN_S,
            request_members=self._request_members,
        )
        env = platform_service.Environment(
            zone="z",
            regions={"z": "r"},
            timeline=timeline,
            dial=lambda _: None,
            spawn_lasting=lambda *_: None,
            serving=serving_lib.Serving(
                own=members_lib.Member(name="me", zone="z", address="h:1"),
                everyone=lambda: 1,
                silence_s=lambda: 1.0,
                timeline=timeline,
            ),
            cut_off=lambda: False,
            fleet_restarted=lambda: False,
            shutdown=shutdown_lib.Shutdown(),
        )
        limits = routes.ServiceLimits(
            name="g", connections=4, synchronous=False
        )
        self.service = platform_service.PlatformService(env=env, limits=limits)

    def _request_members(self):
        self.member_requests += 1

    def start_change(self):
        candidate = succession.Candidate(
            endpoint="b",
            received=statements.LogPosition(term=1, number=1),
            leaving=False,
        )
        self.promotions._changes.begin(self.service, candidate, "a", "test", "")

    def lose_token_to_peer(self, number, holder="you/1"):
        value = json.dumps({"holder": holder, "token": number}).encode()
        item = ports.Item(
            key=tokens_lib.RECORDS_PREFIX + "g", value=value, revision=99
        )
        self.store.items[item.key] = item
        self.tokens.apply_record("g", value, item.era)


@pytest.fixture(name="harness")
def _harness():
    return Harness()


def test_token_holder_sends_orders_with_its_token(harness):
    harness.tokens.acquire("g")
    harness.start_change()
    (call,) = harness.promoter.calls
    assert (call["holder"], call["token"]) == ("me", 1)


def test_token_of_another_proxy_is_never_used(harness):
    # A holder is suspended in the middle of an order. When it resumes, it has
    # already read the record of the proxy that acquired the token meanwhile.
    harness.tokens.acquire("g")
    harness.lose_token_to_peer(2)
    harness.start_change()
    assert not harness.promoter.calls
    assert not harness.tokens.held()


def test_outranked_token_is_not_used_again(harness):
    harness.tokens.acquire("g")
    harness.promoter.outcome = ports.Outranked()
    harness.start_change()
    assert not harness.tokens.held()
    harness.start_change()
    assert len(harness.promoter.calls) == 1


def test_token_is_read_back_after_a_lost_store_answer(harness):
    harness.store.lose_answer = True
    harness.tokens.acquire("g")
    assert not harness.tokens.held()
    harness.store.lose_answer = False
    harness.tokens.acquire("g")
    assert harness.tokens.held() == {"g": 1}
    harness.start_change()
    assert harness.promoter.calls[0]["token"] == 1


def test_no_token_is_acquired_while_the_store_is_unavailable(harness):
    harness.store.unavailable = True
    harness.tokens.acquire("g")
    assert not harness.tokens.held()
    harness.start_change()
    assert not harness.promoter.calls


def _add_silent_holder(harness, ago_s):
    """Adds a token holder whose last digest is `ago_s` seconds old.

    Gossip in a large fleet still counts a peer as live after some seconds.
    """
    harness.lose_token_to_peer(2)
    heard = gossip_lib.ReceivedDigest(
        digest=pb.Digest(proxy="you"),
        received_at=clock.now() - ago_s,
        time_base=None,
    )
    harness.gossip.heard = {"you": heard}


@pytest.mark.parametrize(
    ("ago_s", "unreachable_s", "is_claimed"),
    [(1.5, 2.0, True), (0.3, 2.0, False), (1.5, 0.0, False)],
)
def test_silent_holder_is_replaced_soon_while_the_primary_is_unreachable(
    harness, monkeypatch, ago_s, unreachable_s, is_claimed
):
    _add_silent_holder(harness, ago_s)
    monkeypatch.setattr(
        harness.service.group, "leaderless_s", lambda: unreachable_s
    )
    harness.promotions._claims.claim(harness.service)
    assert bool(harness.tokens.held()) == is_claimed


def test_proxy_outside_of_the_set_reports_a_lost_primary_to_the_holder_only(
    harness, monkeypatch
):
    """Answers the pattern of a lost primary in a large fleet.

    Every proxy told all others, in a number of datagrams that grew with the
    square of the fleet.
    """
    view = succession.View(
        leader="a", term=1, reach=succession.Reach.UNREACHABLE
    )
    monkeypatch.setattr(group_views, "own_view", lambda _: view)
    harness.gossip.heard = {"you": "digest of you"}
    harness.lose_token_to_peer(2)
    monkeypatch.setattr(harness.service.env.serving, "serves", lambda _: False)
    harness.promotions._publish_view(harness.service)
    harness.promotions._publish_view(harness.service)
    assert harness.gossip.replied_to == ["digest of you"]
    assert not harness.gossip.rounds_to_all
    monkeypatch.setattr(harness.service.env.serving, "serves", lambda _: True)
    harness.promotions._published_views.clear()
    harness.promotions._publish_view(harness.service)
    assert harness.gossip.rounds_to_all == 1


def test_holder_without_a_majority_asks_who_is_registered(harness, monkeypatch):
    """Answers the pattern of a large part of the fleet that is lost at once.

    Proxies that do not watch the store are not told of registrations that
    lapse; counted as proxies, the lost ones would hold a replacement up.
    """
    harness.tokens.acquire("g")
    harness.promotions._evaluate_from = 0.0
    monkeypatch.setattr(
        harness.promotions, "_decide", lambda _: succession.Keep()
    )
    group = harness.service.group
    monkeypatch.setattr(group, "primary_unreachable", lambda: False)
    harness.promotions._check_group(harness.service)
    assert harness.member_requests == 0
    monkeypatch.setattr(group, "primary_unreachable", lambda: True)
    harness.promotions._check_group(harness.service)
    assert harness.member_requests == 1


@pytest.mark.parametrize(
    ("record_holder", "peer_incarnation", "is_claimed"),
    [
        ("you/1", "2", True),
        ("you/1", "1", False),
        ("you/1", "", False),
        ("me/0", "2", True),
    ],
)
def test_token_of_a_process_that_has_restarted_is_taken_over(
    harness, monkeypatch, record_holder, peer_incarnation, is_claimed
):
    """Guards against RECOVER: a proxy restarted, and nobody held its token.

    Its peers heard a proxy of the holder's name, and the new process of that
    name left the token to the one that the hash prefers.
    """
    harness.lose_token_to_peer(2, holder=record_holder)
    _hear_peer(harness, incarnation=peer_incarnation)
    _set_rank(monkeypatch, 0)
    harness.promotions._claims.claim(harness.service)
    assert bool(harness.tokens.held()) == is_claimed


def test_digest_from_before_the_token_is_no_evidence_against_its_holder(
    harness, monkeypatch
):
    _hear_peer(harness, incarnation="1")
    harness.lose_token_to_peer(2, holder="you/2")
    _set_rank(monkeypatch, 0)
    harness.promotions._claims.claim(harness.service)
    assert not harness.tokens.held()


def test_token_that_changed_hands_unseen_is_read_but_not_taken(harness):
    value = json.dumps({"holder": "you/1", "token": 7}).encode()
    harness.store.items[tokens_lib.RECORDS_PREFIX + "g"] = ports.Item(
        key=tokens_lib.RECORDS_PREFIX + "g", value=value, revision=3
    )
    harness.tokens.acquire("g")
    assert not harness.tokens.held()
    assert harness.tokens.known("g").holder == "you/1"


@pytest.mark.parametrize(
    "value",
    [
        b"[" * 4000,
        b'{"holder": "you/1", "token": 1e999}',
        b'{"holder": "you/1", "token": %d}' % (1 << 64),
        b'{"holder": "\\ud800", "token": 3}',
        b'{"holder": null, "token": 3}',
        b"[]",
    ],
)
def test_record_that_is_no_token_is_ignored(harness, value):
    """Guards against CONFIG: the task that follows the store ended."""
    harness.tokens.apply_record("g", value, 0)
    assert harness.tokens.known("g") is tokens_lib.NO_TOKEN


def _list_endpoints(harness, *names):
    harness.service.limits = routes.ServiceLimits(
        name="g", connections=4, synchronous=True
    )
    harness.service.group.set_listings(
        {name: helpers.listing(name, leads=name == names[0]) for name in names}
    )


def _status(number, *, paused_term=0):
    received = statements.LogPosition(term=1, number=number)
    return helpers.status(received, paused_term=paused_term)


def test_synchronous_group_gets_no_primary_without_the_last_commits(
    harness, monkeypatch
):
    """Guards against LOST: a replica without the commits was promoted."""
    _list_endpoints(harness, "a", "b", "c")
    harness.tokens.acquire("g")
    answers = {"b": _status(5), "c": None}
    monkeypatch.setattr(
        harness.service, "probe", lambda name, _command=None: answers[name]
    )
    harness.promotions._changes.replace(harness.service, "test")
    assert not harness.promoter.calls
    answers["c"] = _status(9)
    harness.promotions._changes.replace(harness.service, "test")
    assert [call["endpoint"] for call in harness.promoter.calls] == ["c"]


def test_replicas_left_paused_are_resumed_once_old_orders_are_fenced(
    harness, monkeypatch
):
    _list_endpoints(harness, "a", "b", "c")
    harness.tokens.acquire("g")
    harness.promotions._evaluate_from = 0.0
    sent = []

    def probe(name, command=statements.GET_STATUS):
        sent.append((name, type(command)))
        return _status(5, paused_term=2 if name == "c" else 0)

    monkeypatch.setattr(harness.service, "probe", probe)
    monkeypatch.setattr(
        harness.promotions, "_decide", lambda _: succession.Keep()
    )
    monkeypatch.setattr(
        harness.service.group, "primary_unreachable", lambda: False
    )
    reached = succession.View(
        leader="a", term=1, reach=succession.Reach.REACHED
    )
    monkeypatch.setattr(group_views, "own_view", lambda _: reached)
    harness.promoter.outcome = ports.Unanswered(reason="lost")
    harness.promotions._check_group(harness.service)
    harness.promotions._check_group(harness.service)
    assert ("c", statements.ResumeReplication) not in sent
    monkeypatch.setattr(fences_lib, "RETRY_S", 0.0)
    harness.promotions._fences._fences["g"].due_at = 0.0
    harness.promoter.outcome = ports.Ordered()
    harness.promotions._check_group(harness.service)
    assert [call["endpoint"] for call in harness.promoter.calls] == ["a", "a"]
    assert ("c", statements.ResumeReplication) in sent


@pytest.mark.parametrize(
    ("term", "reaches", "is_asked"),
    [
        (1, ("REACHED", "UNKNOWN"), True),
        (1, ("UNKNOWN", "REACHED"), True),
        (1, ("UNKNOWN", "UNREACHABLE"), False),
        (0, ("REACHED", "UNKNOWN"), False),
    ],
)
def test_replicas_are_asked_only_while_the_primary_is_reached(
    harness, monkeypatch, term, reaches, is_asked
):
    _list_endpoints(harness, "a", "b", "c")
    views = [
        succession.View(leader="a", term=term, reach=succession.Reach[name])
        for name in reaches
    ]
    monkeypatch.setattr(group_views, "own_view", lambda _: views[0])
    monkeypatch.setattr(group_views, "peer_views", lambda *_: views[1:])
    _hear_peer(harness, incarnation="1")
    sent = []
    monkeypatch.setattr(
        harness.service, "probe", lambda _name, command: sent.append(command)
    )
    harness.promotions._resume_replicas(harness.service)
    assert bool(sent) == is_asked


def _hear_peer(harness, *, incarnation):
    harness.gossip.heard = {
        "you": gossip_lib.ReceivedDigest(
            digest=pb.Digest(proxy="you", incarnation=incarnation),
            received_at=clock.now(),
            time_base=None,
        )
    }


def _set_rank(monkeypatch, rank):
    monkeypatch.setattr(claims_lib, "_claim_rank", lambda *_: rank)


@pytest.mark.parametrize(
    ("rank", "is_claimed"), [(0, True), (1, True), (2, True), (3, False)]
)
def test_token_that_the_first_proxy_does_not_claim_goes_to_the_next(
    harness, monkeypatch, rank, is_claimed
):
    """Guards against RECOVER: the first was cut off from the store."""
    now = 50.0
    monkeypatch.setattr(claims_lib.clock, "now", lambda: now)
    _set_rank(monkeypatch, rank)
    harness.promotions._claims.claim(harness.service)
    assert bool(harness.tokens.held()) == (rank == 0)
    now += rank * claims_lib.CLAIM_RANK_DELAY_S + 0.1
    harness.promotions._claims.claim(harness.service)
    assert bool(harness.tokens.held()) == is_claimed


def test_time_without_a_holder_counts_anew_after_one_was_heard(
    harness, monkeypatch
):
    now = 50.0
    monkeypatch.setattr(claims_lib.clock, "now", lambda: now)
    _set_rank(monkeypatch, 1)
    harness.promotions._claims.claim(harness.service)
    harness.lose_token_to_peer(2, holder="you/1")
    _hear_peer(harness, incarnation="1")
    now += 1.0
    harness.promotions._claims.claim(harness.service)
    harness.gossip.heard = {}
    now += 1.0
    harness.promotions._claims.claim(harness.service)
    assert not harness.tokens.held()


def _report_unanswered(harness, seconds, *peers):
    """Adds live peers whose orders are not answered."""
    for name in peers:
        digest = pb.Digest(proxy=name, incarnation="1")
        digest.groups.add(service="g", orders_unanswered_ms=int(seconds * 1000))
        harness.gossip.heard[name] = gossip_lib.ReceivedDigest(
            digest=digest, received_at=clock.now(), time_base=None
        )


@pytest.mark.parametrize(
    ("unanswered_s", "failing_peers", "is_claimed"),
    [
        (0.5, ["you"], False),
        (DRAIN_S / 5, ["you"], True),
        (DRAIN_S / 5, ["you", "p2"], True),
        (DRAIN_S / 5, ["you", "p2", "p3"], False),
        (2 * DRAIN_S / 5, ["you", "p2", "p3"], True),
        (2 * DRAIN_S / 5, ["you", "p2", "p3", "p4"], False),
    ],
)
def test_token_of_a_holder_without_answers_is_taken_over(
    harness, unanswered_s, failing_peers, is_claimed
):
    """Guards against DRAIN: a holder kept a token that it could not use.

    The more proxies get no answers, the longer the others wait.
    """
    harness.lose_token_to_peer(2)
    _report_unanswered(harness, unanswered_s, *failing_peers)
    harness.promotions._claims.claim(harness.service)
    assert bool(harness.tokens.held()) == is_claimed


def test_proxy_without_answers_takes_no_token_from_a_live_holder(harness):
    """Guards against a token that goes to and fro between two proxies."""
    harness.tokens.acquire("g")
    harness.promoter.outcome = ports.Unanswered(reason="timeout")
    for _ in range(2):
        harness.orders.send("g", "b", reason="test")
    harness.lose_token_to_peer(2)
    _report_unanswered(harness, DRAIN_S, "you")
    harness.promotions._claims.claim(harness.service)
    assert not harness.tokens.held()
    # A holder that is gone is replaced all the same.
    harness.gossip.heard = {}
    harness.promotions._claims.claim(harness.service)
    assert harness.tokens.held()


def test_new_holder_holds_no_writes_before_an_order_was_answered(harness):
    """Guards against a write pause at each attempt of an outage."""
    _list_endpoints(harness, "a", "b", "c")
    harness.lose_token_to_peer(2)
    _report_unanswered(harness, DRAIN_S, "you")
    harness.promotions._evaluate_from = 0.0
    harness.promoter.outcome = ports.Unanswered(reason="timeout")
    harness.promotions._check_group(harness.service)
    assert harness.tokens.held()
    fences = harness.promotions._fences
    fences.send(harness.service)
    assert not fences.may_hold_writes(harness.service)
    harness.promoter.outcome = ports.Ordered()
    fences._fences["g"].due_at = 0.0
    fences.send(harness.service)
    assert fences.may_hold_writes(harness.service)
    assert {call["endpoint"] for call in harness.promoter.calls} == {"a"}


def test_peer_that_holds_a_later_token_ends_the_use_of_an_earlier_one(harness):
    """Guards against two holders: one that the store turns away goes on."""
    harness.tokens.acquire("g")
    harness.tokens.note_peer_holds("g", 1)
    assert harness.tokens.held() == {"g": 1}
    harness.tokens.note_peer_holds("g", 2)
    assert not harness.tokens.held()
    harness.start_change()
    assert not harness.promoter.calls


def test_deposed_primary_is_not_promoted_as_the_only_one_that_answers(
    harness, monkeypatch
):
    """Guards against STALE: commits that were rolled back came back in force.

    The order for another endpoint had been carried out, and a partition hid it.
    """
    _list_endpoints(harness, "a", "b")
    harness.service.limits = routes.ServiceLimits(
        name="g", connections=4, synchronous=False
    )
    harness.tokens.acquire("g")
    harness.promotions._evaluate_from = 0.0
    log = statements.LogPosition(term=3, number=191)
    led = helpers.status(log, leads=True)
    deposed = helpers.status(log, term=4)
    group = harness.service.group
    group.note_status("a", led, clock.now())
    group.note_status("a", deposed, clock.now())
    monkeypatch.setattr(
        harness.service,
        "probe",
        lambda name, _command=None: deposed if name == "a" else None,
    )
    monkeypatch.setattr(group, "leaderless_s", lambda: 60.0)
    harness.promotions._check_group(harness.service)
    assert not harness.promoter.calls
