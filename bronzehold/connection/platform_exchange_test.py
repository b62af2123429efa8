import types

from bronzehold.connection import platform_exchange
from bronzehold.connection import platform_session
from bronzehold.core import statements

BODY = b"r" * 100_000


class FakePool:
    """A pool that records when a statement gives its slot back."""

    def __init__(self, log):
        self.log = log
        self.conn = FakeConn()

    def acquire(self, **_fields):
        return self.conn

    def end_statement(self, *_args, **_fields):
        self.log.append("slot free")

    def release(self, conn, *, reusable):
        del conn, reusable


class FakeConn:
    """A connection whose endpoint answers with a large body."""

    prepared = frozenset()

    def send(self, commands):
        del commands

    def receive(self, deadline, should_abort):
        del deadline, should_abort
        return statements.Completed(body=BODY)


def test_large_answer_is_charged_before_its_slot_is_free():
    """Guards against memory for answers that nobody takes.

    On a busy machine, many sessions had an answer that was not charged yet, and
    their slots let further ones in.
    """
    log = []
    pool = FakePool(log)
    route = types.SimpleNamespace(
        name="r", priority=1, target_latency_s=1.0, timeout_s=1.0
    )
    context = types.SimpleNamespace(
        service=types.SimpleNamespace(pool=lambda _target: pool),
        route=route,
        deadline=1e12,
        workspace="",
        may_start=lambda: True,
        hold_answer=log.append,
    )
    exchange = platform_exchange.Exchange(
        session=platform_session.PlatformSession(name="s")
    )
    req = statements.Request(
        id="1", text="READ a", statement=statements.Read(), arrived=0.0
    )
    forward = statements.ForwardStatement(request=req, prepared_name="")
    with exchange.lease(context, "e") as lease:
        exchange.execute(lease.conn, forward, context)
    assert log == [len(BODY), "slot free"]
