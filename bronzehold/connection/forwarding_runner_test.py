import types

import pytest

from bronzehold.connection import forward_client
from bronzehold.connection import forward_codec as codec
from bronzehold.connection import forwarding_runner
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.version import members as members_lib

TARGET = members_lib.Member(name="p1", zone="z", address="h:1")
SECOND = members_lib.Member(name="p2", zone="z", address="h:2")
ANSWER = statements.Completed(
    body=b"", state=statements.TransactionState.IDLE, position=None
)
ROUTE = routes.Route(
    name="r",
    database="d",
    service="s",
    freshness=routes.Latest(),
    timeout_s=0.8,
    target_latency_s=0.3,
    priority=1,
)


class FakeLink:
    """A connection whose proxy answers everything."""

    target = TARGET

    def send(self, call, session):
        del call, session

    def receive(self, deadline):
        del deadline
        return codec.Reply(
            state=statements.TransactionState.IDLE,
            endpoint="e",
            last_write=None,
            answer=ANSWER,
            failure=None,
        )


class FakeLinks:
    """Connections to one proxy, which refuses the first ones."""

    def __init__(self):
        self.refusals = 0
        self.is_starting = True
        self.tried = []

    def targets(self, limits):
        del limits
        return [TARGET, SECOND]

    def may_be_starting(self):
        return self.is_starting

    def acquire(self, target):
        self.tried.append(target)
        if self.refusals:
            self.refusals -= 1
            raise forward_client.RefusedError("refused")
        return FakeLink()

    def release(self, link):
        del link

    def count(self, outcome):
        del outcome


@pytest.fixture(name="links")
def _links():
    return FakeLinks()


@pytest.fixture(name="read")
def _read(links, monkeypatch):
    monkeypatch.setattr(forwarding_runner, "STARTING_RETRY_DELAY_S", 0.001)
    runner = forwarding_runner.ForwardingRunner(
        session=platform_session.PlatformSession(name="s"), links=links
    )
    monkeypatch.setattr(runner._local, "read", lambda *_: "served here")
    now = clock.now()
    context = blocks.StatementContext(
        route=ROUTE,
        service=types.SimpleNamespace(
            limits=None,
            budget=types.SimpleNamespace(
                deposit=lambda: None, try_withdraw=lambda: True
            ),
        ),
        timeout_at=now + 0.1,
        shutdown=shutdown_lib.Shutdown(),
    )
    request = statements.Request(
        id="1", text="READ a", statement=statements.Read(), arrived=now
    )
    return lambda: runner.read(request, context, "")


def test_statement_waits_for_a_serving_proxy_that_is_starting(links, read):
    """Answers the pattern of a fleet that starts at once.

    Statements of callers that came back at once were served by proxies outside
    of the serving set, on connections that the serving ones then lacked.
    """
    links.refusals = 5
    assert read() == ANSWER
    assert links.tried == [TARGET] * 6, "the second has no connections yet"


def test_wait_for_a_starting_proxy_ends_before_the_deadline(links, read):
    links.refusals = 1 << 30
    assert read() == "served here"


def test_refused_connection_is_no_reason_to_wait_later(links, read):
    links.refusals = 2
    links.is_starting = False
    assert read() == "served here"
    assert links.tried == [TARGET, SECOND]


class LostLink(FakeLink):
    """A connection that is lost after the statement was sent."""

    def receive(self, deadline):
        raise ports.TransportError("lost")

    def close(self):
        pass


class RefusingLink(FakeLink):
    """A connection to a proxy without a free connection."""

    def receive(self, deadline):
        return codec.Reply(
            state=statements.TransactionState.IDLE,
            endpoint="e",
            last_write=None,
            failure=errors.Overloaded(endpoint="e", expected_ms=9),
        )


def test_read_whose_first_answer_was_lost_is_not_reported_as_not_run(
    links, read, monkeypatch
):
    """Guards against a token given back for an operation that may have run."""
    found = iter([LostLink(), RefusingLink()])
    monkeypatch.setattr(links, "acquire", lambda _: next(found))
    links.close_idle_to = lambda _: None
    with pytest.raises(errors.FailureError) as caught:
        read()
    outcome = errors.report(caught.value.failure).outcome
    assert outcome is not errors.Outcome.NOT_RUN
