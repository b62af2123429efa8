import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import promotion_orders
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import tokens as tokens_lib

UNANSWERED = ports.Unanswered(reason="timeout")
MEMORY_S = 20.0


class FakeTokens:
    """Tokens of which this proxy holds all."""

    def __init__(self):
        self.number = 1
        self.outranked = []

    def known(self, service):
        del service
        return tokens_lib.Token(holder="me/1", number=self.number)

    def can_use(self, service, token):
        del service
        return token.number not in self.outranked

    def note_outranked(self, service, token):
        del service
        self.outranked.append(token.number)


class Platform:
    """A promoter with a given outcome, and a clock that the test advances."""

    def __init__(self):
        self.at = 1000.0
        self.outcome = ports.Ordered()
        self.calls = []

    def now(self):
        return self.at

    def promote(self, **fields):
        self.calls.append(fields)
        return self.outcome


@pytest.fixture(name="platform")
def _platform(monkeypatch):
    platform = Platform()
    monkeypatch.setattr(clock, "now", platform.now)
    return platform


@pytest.fixture(name="tokens")
def _tokens():
    return FakeTokens()


@pytest.fixture(name="orders")
def _orders(platform, tokens):
    return promotion_orders.PromotionOrders(
        holder="me",
        tokens=tokens,
        promoter=platform,
        timeline=timeline_lib.Timeline(proxy="me", zone="z"),
        failure_memory_s=MEMORY_S,
    )


def _send(orders, platform, endpoint, outcome):
    platform.outcome = outcome
    orders.send("g", endpoint, reason="test")


def test_unanswered_order_is_open_until_a_later_token_is_accepted(
    orders, platform, tokens
):
    """Guards against LOST: a forgotten order was carried out seconds later."""
    _send(orders, platform, "b", UNANSWERED)
    _send(orders, platform, "b", ports.Ordered())
    _send(orders, platform, "b", ports.NotRunning())
    assert {order.endpoint for order in orders.open("g")} == {"b"}
    tokens.number = 2
    _send(orders, platform, "a", UNANSWERED)
    _send(orders, platform, "a", ports.NotRunning())
    assert {order.endpoint for order in orders.open("g")} == {"a", "b"}
    _send(orders, platform, "a", ports.Ordered())
    assert {order.endpoint for order in orders.open("g")} == {"a"}


def test_open_order_of_another_endpoint_needs_a_later_token(
    orders, platform, tokens
):
    """Guards against two orders of one token, either of which is the last."""
    _send(orders, platform, "b", UNANSWERED)
    assert not orders.needs_later_token("g", "b")
    assert orders.needs_later_token("g", "c")
    tokens.number = 2
    assert not orders.needs_later_token("g", "c")


def test_single_unanswered_order_is_no_failure(orders, platform):
    _send(orders, platform, "b", UNANSWERED)
    platform.at += 3.0
    assert orders.is_latest_unanswered("g")
    assert not orders.unanswered_s("g")
    assert not orders.is_failing()


def test_failure_counts_from_the_first_unanswered_order(orders, platform):
    _send(orders, platform, "b", UNANSWERED)
    platform.at += 1.0
    _send(orders, platform, "b", UNANSWERED)
    platform.at += 0.5
    assert orders.unanswered_s("g") == 1.5
    assert orders.is_failing()


@pytest.mark.parametrize("answer", [ports.Ordered(), ports.NotRunning()])
def test_any_answer_ends_a_failure(orders, platform, answer):
    """Guards against a takeover because of an answer that refuses the order."""
    for _ in range(3):
        _send(orders, platform, "b", UNANSWERED)
        platform.at += 1.0
    _send(orders, platform, "b", answer)
    assert not orders.unanswered_s("g")
    assert not orders.is_latest_unanswered("g")


def test_failure_is_forgotten_after_some_time(orders, platform):
    for _ in range(2):
        _send(orders, platform, "b", UNANSWERED)
    platform.at += MEMORY_S - 1.0
    assert orders.is_failing()
    platform.at += 2.0
    assert not orders.is_failing()
    _send(orders, platform, "b", UNANSWERED)
    assert not orders.is_failing()


def test_outranked_token_is_not_used_again(orders, platform):
    _send(orders, platform, "b", ports.Outranked())
    _send(orders, platform, "b", ports.Ordered())
    assert len(platform.calls) == 1
