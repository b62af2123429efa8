from google.protobuf import message
import hypothesis
from hypothesis import strategies
import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.process import capacities as capacities_lib
from bronzehold.process import digest_exchange as exchange_lib
from bronzehold.process import endpoint_contacts
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_group
from bronzehold.process import store_news as news_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.process import write_hold
from bronzehold.proto import gossip_pb2 as pb
from tests import helpers


class FakeMirror:
    def __init__(self):
        self.is_unreachable = False
        self.applied_peers = []

    def store_unreachable(self):
        return self.is_unreachable

    def lacks_reported_change(self):
        return False

    def leaving(self):
        return []

    def mark_leaving(self, incarnations):
        del incarnations

    def apply_peer_entries(self, entries, peer):
        del entries
        self.applied_peers.append(peer)


class FakeGossip:
    def __init__(self):
        self.replied_to = []
        self.live = {}

    def live_peers(self):
        return self.live

    def send_now(self):
        return None

    def reply(self, received):
        self.replied_to.append(received.digest.proxy)


class FakeTokens:
    def __init__(self):
        self.holds_group = True
        self.peer_numbers = []
        self.held_by_peers = []

    def note_peer_number(self, service, number):
        self.peer_numbers.append((service, number))

    def note_peer_holds(self, service, number):
        self.held_by_peers.append((service, number))

    def known(self, service):
        del service
        return tokens_lib.NO_TOKEN

    def holds(self, service):
        del service
        return self.holds_group


class FakeOrders:
    """Orders that are all answered."""

    def unanswered_s(self, service):
        del service
        return 0.0

    def is_latest_unanswered(self, service):
        del service
        return False


class FakeFences:
    """Fences of which none was needed."""

    def accepted_token(self, service):
        del service
        return 0


class FakeService:
    """A service without endpoints."""

    limits = routes.ServiceLimits(name="g", connections=4, synchronous=False)

    def __init__(self):
        self.group = platform_group.PlatformGroup(
            name="g", timeline=timeline_lib.Timeline(proxy="me", zone="z")
        )

    def wake_probe(self, name):
        del name

    def recall(self, endpoint):
        del endpoint


class FakeProcess:
    """A process that has a configuration and no endpoints."""

    def __init__(self):
        self.listings_received = self
        self.version = 3
        self.fake_service = FakeService()

    def is_set(self):
        return True

    def resize(self):
        return None

    def services(self):
        return []

    def service(self, name):
        del name
        return self.fake_service

    def table(self):
        return routes.Table(
            version=self.version,
            routes={},
            services={},
            idle_transaction_s=1.0,
        )


class FakeServing:
    def set_peers(self, peers):
        del peers

    def note_heard(self, name, uptime_s):
        del name


def _at(revision):
    return ports.Position(era=0, revision=revision)


@pytest.fixture(name="harness")
def _harness(monkeypatch):
    return Harness(monkeypatch)


class Harness:
    """A digest exchange with fakes and a clock that the test controls."""

    def __init__(self, monkeypatch):
        self.at = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.at)
        self.process = FakeProcess()
        self.mirror = FakeMirror()
        self.gossip = FakeGossip()
        self.tokens = FakeTokens()
        self.news = news_lib.StoreNews(
            is_watcher=lambda: False, on_newer_revision=lambda: None
        )
        self.exchange = exchange_lib.DigestExchange(
            process=self.process,
            gossip=self.gossip,
            mirror=self.mirror,
            tokens=self.tokens,
            orders=FakeOrders(),
            fences=FakeFences(),
            serving=FakeServing(),
            news=self.news,
        )

    def receive(self, version, *groups, incarnation=""):
        digest = pb.Digest(
            proxy="p", version=version, groups=groups, incarnation=incarnation
        )
        received = gossip_lib.ReceivedDigest(
            digest=digest, received_at=self.at, time_base=None
        )
        self.exchange.receive(received)


def test_configuration_is_requested_from_the_store_first(harness):
    """A newer version at a peer must not cause a request to it at once.

    Otherwise every proxy would request each change of a large configuration
    from its peers.
    """
    harness.receive(4)
    assert not harness.exchange.needs_entries()
    harness.process.version = 4
    harness.at += 60.0
    assert not harness.exchange.needs_entries()


def test_peers_are_asked_if_the_store_is_slow_or_unreachable(harness):
    harness.receive(4)
    harness.at += exchange_lib.STORE_GRACE_S + 0.1
    assert harness.exchange.needs_entries()
    harness.receive(5)
    assert harness.exchange.needs_entries(), (
        "a further version does not restart the wait"
    )
    harness.process.version = 5
    harness.receive(6)
    assert not harness.exchange.needs_entries()
    harness.mirror.is_unreachable = True
    assert harness.exchange.needs_entries()


def test_report_of_the_store_keeps_its_age_over_two_proxies(harness):
    """The age is counted on the clock of each proxy, without their offset."""
    sender_clock_at = 7.0
    sent = pb.Digest(proxy="p")
    sender_news = news_lib.Report(position=_at(9), at=sender_clock_at - 0.5)
    harness.news.note_report(sender_news)
    # The sender received the echoed digest 0.2 s ago.
    harness.exchange.fill_digest(sent, sender_clock_at - 0.2)
    harness.news.note_report(news_lib.Report(position=_at(10), at=0.0))
    sent.store_revision = 11
    harness.exchange.receive(
        gossip_lib.ReceivedDigest(
            digest=sent, received_at=harness.at, time_base=harness.at - 0.3
        )
    )
    assert harness.news.report() == news_lib.Report(
        position=_at(11), at=pytest.approx(harness.at - 0.6)
    )


def test_digests_carry_the_era_that_the_store_has_answered_with(harness):
    digest = pb.Digest()
    harness.news.forget_before(3)
    harness.exchange.fill_digest(digest, harness.at)
    assert (digest.store_era, digest.store_revision) == (3, 0)
    position = ports.Position(era=3, revision=4)
    harness.news.note_report(news_lib.Report(position=position, at=harness.at))
    harness.exchange.fill_digest(digest, harness.at)
    assert (digest.store_era, digest.store_revision) == (3, 4)


@pytest.mark.parametrize(
    ("era", "expected"),
    [(2, news_lib.Wait(timeout_s=0.1)), (4, news_lib.Read(wait_s=0.0))],
)
def test_reports_of_two_eras_are_not_compared(harness, era, expected):
    """Guards against CONFIG: a higher revision of an older era hid a change.

    The peer of the older era has not learned of the return. That of the later
    era has, and this proxy must then ask the store at once.
    """
    known = ports.Position(era=3, revision=4)
    harness.news.forget_before(3)
    harness.news.note_read(known, harness.at)
    harness.news.note_report(news_lib.Report(position=known, at=harness.at))
    digest = pb.Digest(proxy="p", store_era=era, store_revision=900)
    harness.exchange.receive(
        gossip_lib.ReceivedDigest(
            digest=digest, received_at=harness.at, time_base=harness.at
        )
    )
    assert type(harness.news.next_step(known)) is type(expected)
    assert harness.news.era() == 3


def test_numbers_of_tokens_at_peers_are_known(harness):
    """Guards against a number below the one that a peer knows."""
    harness.receive(3, pb.GroupView(service="g", token=7))
    assert harness.tokens.peer_numbers == [("g", 7)]


def test_report_without_an_echo_is_ignored(harness):
    harness.receive(3)
    digest = pb.Digest(proxy="p", store_revision=9)
    harness.exchange.receive(
        gossip_lib.ReceivedDigest(
            digest=digest, received_at=harness.at, time_base=None
        )
    )
    assert harness.news.report() is None


def test_each_round_asks_a_few_other_peers():
    gossip = object.__new__(gossip_lib.Gossip)
    gossip._next_source = 0
    gossip.needs_entries = lambda: True
    addresses = [f"h:{n}" for n in range(5)]
    first = gossip._choose_entry_sources(addresses)
    second = gossip._choose_entry_sources(addresses)
    assert len(first) == len(second) == gossip_lib.ENTRY_SOURCES
    assert not first & second
    gossip.needs_entries = lambda: False
    assert not gossip._choose_entry_sources(addresses)


def test_token_holder_replies_to_peers_without_a_primary(harness):
    view = pb.GroupView(service="g", leader="e", term=1, reach=pb.GONE)
    harness.receive(3, view)
    harness.receive(3, pb.GroupView(service="g", term=1))
    assert harness.gossip.replied_to == ["p", "p"]
    harness.tokens.holds_group = False
    harness.receive(3, view)
    assert harness.gossip.replied_to == ["p", "p"]


class _GroupService:
    """A service with a group, served by this proxy or not."""

    def __init__(self, *, serves):
        self.group = platform_group.PlatformGroup(
            name="g", timeline=timeline_lib.Timeline(proxy="me", zone="z")
        )
        self.limits = routes.ServiceLimits(
            name="g", connections=4, synchronous=False
        )
        self._serves = serves
        self.capacities = capacities_lib.Capacities(
            group="g", timeline=timeline_lib.Timeline(proxy="me", zone="z")
        )
        listing = helpers.listing("e", leads=True)
        self.group.set_listings({"e": listing})

    def serves(self):
        return self._serves

    def crowded(self):
        return []

    def pools(self):
        return {}


def _views(harness, service):
    harness.process.services = lambda: [service]
    digest = pb.Digest()
    harness.exchange.fill_digest(digest, harness.at)
    return [view.service for view in digest.groups]


def test_digest_holds_the_groups_that_the_proxy_serves(harness):
    """Answers the pattern of digests that grow with the number of groups."""
    assert _views(harness, _GroupService(serves=True)) == ["g"]
    outside = _GroupService(serves=False)
    harness.at += 10.0
    assert _views(harness, outside) == []


def test_proxy_outside_of_the_set_reports_what_it_was_asked_for(harness):
    """A primary is replaced only if most of all proxies cannot reach it."""
    outside = _GroupService(serves=False)
    harness.at += 10.0
    outside.group.note_failing("e", refused=False)
    harness.at += endpoint_contacts.SILENCE_TIMEOUT_S + 0.1
    assert _views(harness, outside) == ["g"]
    outside.group.note_answered("e")
    assert _views(harness, outside) == ["g"], "it reaches the primary"


def test_proxy_outside_of_the_set_takes_part_in_a_planned_change(harness):
    outside = _GroupService(serves=False)
    harness.at += 10.0
    outside.group.hold_writes(
        write_hold.Hold(attempt="p/1", expires_at=harness.at + 1.0)
    )
    assert _views(harness, outside) == ["g"]


def test_lost_primary_is_urgent_only_for_those_that_serve(harness):
    """Answers the pattern of a fleet that starts at once.

    No proxy knows a primary yet; if each told all others, messages would grow
    with the square of the fleet.
    """
    for serves in (True, False):
        service = _GroupService(serves=serves)
        service.group.note_not_leading("e")
        harness.process.services = lambda service=service: [service]
        assert harness.exchange._has_urgent_changes() is serves


_NUMBERS = strategies.integers(min_value=-(1 << 63), max_value=(1 << 63) - 1)
_TEXTS = strategies.text(max_size=12)
_VIEWS = strategies.builds(
    pb.GroupView,
    service=_TEXTS,
    leader=_TEXTS,
    term=_NUMBERS,
    reach=strategies.integers(min_value=0, max_value=9),
    proof_term=_NUMBERS,
    proof_number=_NUMBERS,
    proof_after_us=_NUMBERS,
    token=_NUMBERS,
    holder=_TEXTS,
    held_for=_TEXTS | strategies.just("p/x"),
    quiet=strategies.booleans(),
)
_DIGESTS = strategies.builds(
    pb.Digest,
    proxy=strategies.just("p") | _TEXTS,
    address=_TEXTS,
    version=_NUMBERS,
    groups=strategies.lists(_VIEWS, max_size=3),
    leaving=strategies.lists(_TEXTS, max_size=3),
    entries=strategies.binary(max_size=40),
    crowded=strategies.lists(_TEXTS, max_size=3),
    store_revision=_NUMBERS,
    store_era=_NUMBERS,
    store_report_after_us=_NUMBERS,
    uptime_ms=_NUMBERS,
)


@hypothesis.settings(
    max_examples=300,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(digests=strategies.lists(_DIGESTS, min_size=1, max_size=4))
def test_digests_with_any_values_are_handled_without_an_error(harness, digests):
    """An error would end the task that receives, and peers would go silent."""
    for digest in digests:
        received = gossip_lib.ReceivedDigest(
            digest=digest, received_at=harness.at, time_base=harness.at - 0.1
        )
        harness.exchange.receive(received)
        answer = pb.Digest()
        harness.exchange.fill_digest(answer, harness.at)
        assert answer.SerializeToString()


@hypothesis.given(data=strategies.binary(max_size=200))
def test_datagrams_are_refused_or_decoded(data):
    digest = pb.Digest()
    try:
        digest.ParseFromString(data)
    except message.DecodeError:
        return
    gossip_lib.unpack_entries(digest.entries)


@pytest.mark.parametrize(
    ("holder", "is_held"), [("p/1", True), ("p/0", False), ("q/1", False)]
)
def test_token_counts_as_held_by_the_sender_only(harness, holder, is_held):
    """Guards against a report of an earlier process or of a third proxy."""
    view = pb.GroupView(service="g", token=5, holder=holder)
    harness.receive(3, view, incarnation="1")
    assert harness.tokens.held_by_peers == ([("g", 5)] if is_held else [])


def _held_view(incarnation, **fields):
    return pb.GroupView(
        service="g", held_for=f"p/{incarnation}/4", token=4, **fields
    )


def _group(harness):
    return harness.process.fake_service.group


def _hear_undecided_hold(harness):
    view = _held_view("1", held_until_decided=True, hold_targets=["b"])
    harness.receive(3, view, incarnation="1")
    harness.at += 60.0


def test_hold_until_the_outcome_outlasts_the_digests_of_its_holder(harness):
    """Guards against LOST: a holder ended while its order was open."""
    _hear_undecided_hold(harness)
    assert _group(harness).hold_attempt() == "p/1/4"
    # A process that starts again under the name knows nothing of the order.
    harness.receive(3, pb.GroupView(service="g"), incarnation="2")
    assert _group(harness).hold_attempt() == "p/1/4"
    harness.receive(3, pb.GroupView(service="g", fenced_token=4))
    assert _group(harness).hold_attempt() == "p/1/4"
    harness.receive(3, pb.GroupView(service="g", fenced_token=5))
    assert not _group(harness).hold_attempt()


def test_holder_itself_ends_its_hold(harness):
    _hear_undecided_hold(harness)
    harness.receive(3, pb.GroupView(service="g"), incarnation="1")
    assert not _group(harness).hold_attempt()


def test_hold_whose_order_was_fenced_before_is_not_taken_up(harness):
    """Guards against writes that wait for good: a digest came late."""
    harness.receive(3, pb.GroupView(service="g", fenced_token=5))
    _hear_undecided_hold(harness)
    assert not _group(harness).hold_attempt()


def test_hold_without_an_outcome_expires(harness):
    harness.receive(3, _held_view("1"), incarnation="1")
    assert _group(harness).hold_attempt()
    harness.at += 60.0
    assert not _group(harness).hold_attempt()


@pytest.mark.parametrize(
    ("live_peers", "until_decided", "is_held"),
    [([], True, True), (["gone"], True, False), ([], False, False)],
)
def test_hold_of_a_proxy_that_has_ended_is_passed_on(
    harness, live_peers, until_decided, is_held
):
    """Guards against LOST: a process that started later held no writes."""
    harness.gossip.live = dict.fromkeys(live_peers)
    view = pb.GroupView(
        service="g",
        held_for="gone/1/4",
        held_until_decided=until_decided,
        hold_targets=["b"],
    )
    harness.receive(3, view, incarnation="1")
    assert bool(_group(harness).hold_attempt()) == is_held
    harness.receive(3, pb.GroupView(service="g", fenced_token=5))
    assert not _group(harness).hold_attempt()
    harness.receive(3, view, incarnation="1")
    assert not _group(harness).hold_attempt()
