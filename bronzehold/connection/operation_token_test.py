import pytest

from bronzehold.connection import operation_token
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.process import limit_decisions as decisions


class FakeLimiter:
    def __init__(self):
        self.tokens = 1
        self.asked = []
        self.grant_age_s = 0.0

    def try_spend(self, workspace, deadline):
        self.asked.append((workspace, deadline))
        if not self.tokens:
            return decisions.Limited(retry_after_s=0.25)
        self.tokens -= 1
        return decisions.Spent(
            workspace=workspace,
            granted_at=clock.now() - self.grant_age_s,
            origin=decisions.Origin.BUCKET,
        )

    def refund(self, spent):
        self.tokens += 1


@pytest.fixture(name="limiter")
def _limiter():
    return FakeLimiter()


@pytest.fixture(name="token")
def _token(limiter):
    return operation_token.OperationToken(limiter=limiter)


def test_a_transaction_takes_one_token(limiter, token):
    """Guards against statements that count as operations."""
    for _ in range(3):
        token.take("w", 1.0)
    assert len(limiter.asked) == 1


def test_an_operation_over_the_limit_is_told_its_time(limiter, token):
    limiter.tokens = 0
    with pytest.raises(errors.FailureError) as caught:
        token.take("w", 1.0)
    assert caught.value.failure == errors.RateLimited(
        workspace="w", retry_after_ms=250
    )


def test_the_next_operation_takes_its_own_token(limiter, token):
    token.take("w", 1.0)
    token.use()
    token.end()
    with pytest.raises(errors.FailureError):
        token.take("w", 1.0)


def test_the_token_of_an_operation_that_did_not_run_is_given_back(
    limiter, token
):
    token.take("w", 1.0)
    token.end()
    token.end()
    assert limiter.tokens == 1


def test_callers_without_a_workspace_are_not_limited(limiter, token):
    token.take("", 1.0)
    assert not limiter.asked


def test_a_token_is_not_kept_for_a_statement_that_comes_later(limiter, token):
    """Guards against many open transactions whose first statements run at once.

    Each took its token at its BEGIN, so that together they would exceed the
    number of operations of a window.
    """
    limiter.tokens = 2
    limiter.grant_age_s = 60.0
    token.take("w", 1.0)
    token.take("w", 1.0)
    assert limiter.tokens == 0
    with pytest.raises(errors.FailureError):
        token.take("w", 1.0)


def test_a_token_that_was_used_counts_for_the_whole_transaction(limiter, token):
    limiter.grant_age_s = 60.0
    token.take("w", 1.0)
    token.use()
    token.take("w", 1.0)
    assert len(limiter.asked) == 1
