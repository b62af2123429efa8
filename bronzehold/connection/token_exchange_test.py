"""Requests for tokens between two proxies over loopback connections."""

import socket
import threading
import time
import types

import pytest

from bronzehold.connection import forward_client
from bronzehold.connection import forward_codec as codec
from bronzehold.connection import forward_server
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import byte_budget
from bronzehold.process import open_connections
from bronzehold.process import resource_limits
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_messages as messages
from bronzehold.proto import forward_pb2 as pb
from bronzehold.version import members as members_lib
from tests import helpers

REQUEST = messages.TokenRequest(
    workspace="w", version=7, count=3, skipped=("p1", "p2"), ended=("p1",)
)
TIMEOUT_S = 0.15
# Guards against a wait without a limit; a busy machine may add to TIMEOUT_S.
MAX_WAIT_S = 2.0
ROUTE = routes.Route(
    name="r",
    database="d",
    service="s",
    freshness=routes.Latest(),
    timeout_s=5.0,
    target_latency_s=1.0,
    priority=0,
)


class Server:
    """The forwarding port of a proxy whose limiter answers as told."""

    def __init__(self, port=0):
        self.reply = messages.TokenReply(granted=2)
        self.requests = []
        # Statements wait for it.
        self.released = threading.Event()
        timeline = timeline_lib.Timeline(proxy="p9", zone="z")
        self.tasks = tasks_lib.Tasks(timeline=timeline)
        self.process = types.SimpleNamespace(
            name="p9",
            timeline=timeline,
            tasks=self.tasks,
            forwarded=open_connections.OpenConnections(),
            budget=byte_budget.UNLIMITED,
            limits=resource_limits.derive(
                memory_mb=0, max_descriptors=0, receive_budget_mb=0
            ),
            rate_limiter=types.SimpleNamespace(grant=self._grant),
            service=lambda _name: self.released.wait() and None,
        )
        self._server = forward_server.ForwardServer(
            host="127.0.0.1", port=port, process=self.process
        )
        self.port = self._server._sock.getsockname()[1]
        self._thread = threading.Thread(target=self._server.run)
        self._thread.start()

    @property
    def member(self):
        return _member(self.port)

    def _grant(self, request):
        self.requests.append(request)
        return self.reply

    def close(self):
        self.released.set()
        self._server.close()
        self._thread.join()
        for connection in self.process.forwarded.list():
            connection.end()
        # A session that has not noticed yet would answer one more request.
        helpers.wait_for(lambda: not self.process.forwarded.list())
        self.tasks.close()


def _member(port):
    return members_lib.Member(name="p9", zone="z", address=f"127.0.0.1:{port}")


@pytest.fixture(name="server")
def _server():
    server = Server()
    yield server
    server.close()


@pytest.fixture(name="links")
def _links():
    links = forward_client.Links(serving=None)
    yield links
    with links._lock:
        idle = [link for some in links._idle.values() for link in some]
    for link in idle:
        link.close()


def test_request_and_reply_arrive_unchanged(server, links):
    assert links.ask_tokens(server.member, REQUEST, TIMEOUT_S) == server.reply
    assert server.requests == [REQUEST]
    server.reply = messages.TokenReply(retry_after_s=0.25)
    assert links.ask_tokens(server.member, REQUEST, TIMEOUT_S) == server.reply
    server.reply = messages.TokenReply(is_leaving=True)
    reply = links.ask_tokens(server.member, REQUEST, TIMEOUT_S)
    assert reply.is_leaving
    assert not reply.is_decision
    assert len(server.process.forwarded.list()) == 1


def test_shortest_wait_is_still_a_refusal(server, links):
    """Guards against a refusal that reads as no decision."""
    server.reply = messages.TokenReply(retry_after_s=1e-9)
    reply = links.ask_tokens(server.member, REQUEST, TIMEOUT_S)
    assert reply.is_decision


def test_proxy_without_a_limiter_does_not_decide(server, links):
    server.process.rate_limiter = None
    reply = links.ask_tokens(server.member, REQUEST, TIMEOUT_S)
    assert reply == messages.TokenReply()


def test_tokens_are_granted_while_a_statement_runs(server, links):
    """Guards against an answer that waits behind other connections."""
    link = links.acquire(server.member)
    request = statements.Request(
        id="1", text="READ a", statement=statements.Read(), arrived=clock.now()
    )
    call = codec.Call(
        request=request, route=ROUTE, deadline=clock.now() + 5.0, block=pb.NONE
    )
    link.send(call, platform_session.PlatformSession(name="c"))
    assert links.ask_tokens(server.member, REQUEST, TIMEOUT_S).granted == 2
    server.released.set()
    assert link.receive(lambda: clock.now() + 5.0).failure is not None
    link.close()


def test_closed_port_tells_that_the_process_has_ended(links):
    server = Server()
    server.close()
    with pytest.raises(messages.NoAnswerError) as caught:
        links.ask_tokens(server.member, REQUEST, TIMEOUT_S)
    assert caught.value.ended


@pytest.mark.parametrize("connects", [True, False])
def test_proxy_that_does_not_answer_is_waited_for_briefly(links, connects):
    """Answers a limiter that is frozen or cut off, new or with idle links."""
    with socket.create_server(("127.0.0.1", 0), backlog=8) as silent:
        member = _member(silent.getsockname()[1])
        if connects:
            links.release(forward_client._open(member, 1.0))
        started = time.monotonic()
        with pytest.raises(messages.NoAnswerError) as caught:
            links.ask_tokens(member, REQUEST, TIMEOUT_S)
        assert time.monotonic() - started < MAX_WAIT_S
        assert not caught.value.ended


def test_restarted_proxy_is_asked_on_a_new_connection(server, links):
    links.ask_tokens(server.member, REQUEST, TIMEOUT_S)
    server.close()
    again = Server(port=server.port)
    try:
        reply = links.ask_tokens(again.member, REQUEST, TIMEOUT_S)
        assert reply.granted == 2
        assert len(again.requests) == 1
    finally:
        again.close()


@pytest.mark.parametrize("count", [0, -1])
def test_request_for_no_tokens_is_malformed(count):
    with pytest.raises(codec.CodecError):
        codec.decode_token_request(
            pb.Request(kind=pb.TOKENS, token_count=count)
        )


@pytest.mark.parametrize(
    "body", [b"\xff", pb.Reply(granted=-1).SerializeToString()]
)
def test_malformed_reply_is_refused(body):
    with pytest.raises(codec.CodecError):
        codec.decode_token_reply(body)
