"""Loans between regions, without a network."""

import types

from bronzehold.core import clock
from bronzehold.process import token_loans
from bronzehold.process import token_messages as messages
from bronzehold.version import members as members_lib

REGIONS = {"a1": "a", "b1": "b", "c1": "c", "d1": "d"}
REQUEST = messages.TokenRequest(workspace="w", version=1, count=1, borrows=True)
OWN = members_lib.Member(name="p1", zone="a1", address="127.0.0.1:1")


def _borrower(ask) -> token_loans.Borrower:
    serving = types.SimpleNamespace(
        live=lambda zones: [
            members_lib.Member(name=z, zone=z, address="127.0.0.1:2")
            for z in zones
        ]
    )
    return token_loans.Borrower(
        own=OWN,
        regions=REGIONS,
        serving=serving,
        ask=ask,
        rank=lambda _workspace, members: list(members),
    )


def test_borrowing_while_workspaces_are_retained():
    """Guards against a sweep that ends because another thread borrows."""
    borrower = _borrower(lambda *_: messages.TokenReply())
    borrower.borrow(REQUEST, clock.now())

    class Workspaces:
        """Contains nothing; another thread borrows during each look-up."""

        def __init__(self):
            self.count = 0

        def __contains__(self, name):
            self.count += 1
            borrower.borrow(
                messages.TokenRequest(
                    workspace=f"v{self.count}",
                    version=1,
                    count=1,
                    borrows=True,
                ),
                clock.now(),
            )
            return False

    borrower.retain(Workspaces())


def test_frozen_regions_together_delay_an_operation_once(monkeypatch):
    """Guards against a limiter that answers its own region too late.

    Its peers wait rate_limiter.ASK_TIMEOUT_S, less than three regions take that
    each use the whole time of a loan.
    """
    now = [100.0]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    asked = []

    def ask(member, _request, timeout_s):
        asked.append(member.name)
        now[0] += timeout_s
        raise messages.NoAnswerError("frozen")

    borrower = _borrower(ask)
    borrower.borrow(REQUEST, now[0])
    assert now[0] - 100.0 <= token_loans.ASK_TIMEOUT_S + 1e-6
    # The next one goes to a region that has not been asked.
    borrower.borrow(REQUEST, now[0])
    assert asked == ["b1", "c1"]
