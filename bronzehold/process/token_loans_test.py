import pytest

from bronzehold.core import clock
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import token_loans
from bronzehold.process import token_messages as messages
from tests import limiter_fleet


@pytest.fixture(name="at")
def _at(monkeypatch):
    at = [1000.0]
    monkeypatch.setattr(clock, "now", lambda: at[0])
    return at


class Loans:
    """The limiter of a region in need, with a lender that answers as told."""

    def __init__(self, at):
        self.fleet = limiter_fleet.Fleet(
            at, limiter_fleet.LARGE, has_loans=False
        )
        self.limiter = self.fleet.order()[0]
        for _ in range(100):
            self.fleet.attempt(self.limiter)
        self.asked = []
        self.answer = lambda: messages.TokenReply(granted=5)
        self.loans = token_loans.TokenLoans(
            own=self.limiter.member,
            regions=limiter_fleet.REGIONS,
            serving=self.limiter.serving,
            table=lambda: self.limiter.table,
            limiter=self.limiter.limiter,
            ask=self._ask,
        )

    def _ask(self, member, request, timeout_s):
        assert request.is_loan
        assert timeout_s == token_loans.TIMEOUT_S
        self.asked.append(member.zone)
        return self.answer()


@pytest.fixture(name="loans")
def _loans(at):
    return Loans(at)


def test_empty_bucket_is_filled_from_the_other_regions(loans):
    loans.loans.run_once()
    assert loans.asked == list(limiter_fleet.ZONES[1:])
    assert loans.limiter.limiter.gauges()["limiter_borrowed"] == 10
    loans.fleet.run(0.05)
    spent = [loans.fleet.attempt(loans.limiter) for _ in range(10)]
    assert all(isinstance(d, decisions.Spent) for d in spent)


def test_bucket_with_tokens_for_a_while_asks_nobody(at, loans):
    at[0] += 1.0
    loans.loans.run_once()
    assert not loans.asked


@pytest.mark.parametrize("answers", [True, False])
def test_region_that_lends_nothing_is_asked_seldom(at, loans, answers):
    """Guards against bytes between regions for an excess everywhere."""

    def answer():
        if not answers:
            raise messages.NoAnswerError("no answer")
        return messages.TokenReply(retry_after_s=1.0)

    loans.answer = answer
    for _ in range(round(4.0 / token_loans.INTERVAL_S)):
        loans.loans.run_once()
        loans.fleet.run(token_loans.INTERVAL_S)
        for _ in range(100):
            loans.fleet.attempt(loans.limiter)
    assert len(loans.asked) == 4


def test_other_proxies_than_the_limiter_borrow_nothing(at):
    fleet = limiter_fleet.Fleet(at, limiter_fleet.LARGE, has_loans=False)
    second = fleet.order()[1]
    for _ in range(100):
        fleet.attempt(second)
    assert not second.limiter.shortages()
    second.limiter.add_loan("w", 5)
    assert "limiter_borrowed" not in second.limiter.gauges()
