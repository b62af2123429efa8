"""System tests of statements that are forwarded to the serving proxy.

Six proxies in three zones, two in each, stand before endpoints with so few
connections that only one proxy of each zone serves the group.
"""

import threading
import time

import pytest

from bronzehold.connection import forward_client
from bronzehold.core import addresses
from bronzehold.core import ports
from bronzehold.platform import local as platform_local
from tests import helpers

PROXIES = 6
CONNECTIONS = 8


class Fleet:
    """A deployment with the two proxies of the first zone picked out.

    Attributes:
        deployment: The deployment.
        origin: The index of the proxy that does not serve the group.
        server: The index of the proxy that serves it in the same zone.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        deployment.configure(max_connections=CONNECTIONS)
        helpers.wait_for(self._all_agree)
        self.origin, self.server = sorted((0, 3), key=self.serves)

    def _all_agree(self):
        proxies = self.deployment.proxies
        return all(
            len(p.gossip.live_peers()) == PROXIES - 1 for p in proxies
        ) and all(
            sum(self.serves(n) for n in zone) == 1
            for zone in ((0, 3), (1, 4), (2, 5))
        )

    def serves(self, number: int) -> bool:
        """Returns whether a proxy serves the group."""
        process = self.deployment.proxies[number].process
        return process.service(platform_local.SERVICE).serves()

    def connect(self, database: str = "own"):
        """Opens a session at the proxy that forwards its statements."""
        return self.deployment.connect(database, self.origin)

    def counts(self) -> dict[str, int]:
        """Returns the statements that were forwarded, by outcome."""
        return self.deployment.proxies[self.origin].links.counts()

    def own_connections(self) -> int:
        """Returns the connections to endpoints that the origin has opened."""
        process = self.deployment.proxies[self.origin].process
        service = process.service(platform_local.SERVICE)
        return sum(
            service.pool(name).load().open for name in service.group.listings()
        )


@pytest.fixture(name="fleet", scope="module")
def _fleet():
    """Runs a fleet that the tests without faults share."""
    with platform_local.running(
        proxies=PROXIES, connections=CONNECTIONS
    ) as deployment:
        yield Fleet(deployment)


@pytest.fixture(name="own_fleet")
def _own_fleet():
    """Runs a fleet for one test."""
    with platform_local.running(
        proxies=PROXIES, connections=CONNECTIONS
    ) as deployment:
        yield Fleet(deployment)


def test_statements_run_on_the_serving_proxy(fleet):
    """Guards against statements that the other proxies serve themselves."""
    # Those of the start, when no other proxy was known.
    helpers.wait_for(lambda: fleet.own_connections() == 0)
    session = fleet.connect()
    before = fleet.counts().get("ok", 0)
    session.rows("WRITE f1 1")
    assert session.rows("READ f1") == ["1"]
    assert fleet.counts()["ok"] == before + 2
    assert fleet.own_connections() == 0


@pytest.mark.parametrize("database", platform_local.DATABASES)
def test_sessions_keep_their_state_when_forwarded(fleet, database):
    """Guards against session state that is lost on the way."""
    session = fleet.connect(database)
    session.rows("SET tenant i-7")
    session.rows("PARSE s1 WRITE q2c")
    session.rows("EXECUTE s1 f2 there")
    session.rows("BEGIN")
    session.rows("PARSE s2 READ q3")
    assert len(session.rows("EXECUTE s2 f2")) == 1
    session.rows("WRITE f3 inside")
    session.rows("COMMIT")
    session.rows("BEGIN")
    session.rows("WRITE f3 undone")
    session.rows("ROLLBACK")
    latest = fleet.connect("latest")
    assert latest.rows("READ f3") == ["inside"]
    values = [
        run.values
        for run in fleet.deployment.group.executed
        if "f2" in run.text
    ]
    assert values and set(values) == {(("tenant", "i-7"),)}


def test_transaction_stays_on_one_connection(fleet):
    """Guards against statements of a transaction on two proxies."""
    session = fleet.connect("latest")
    session.rows("BEGIN")
    session.rows("WRITE f4 1")
    time.sleep(2 * forward_client.MAX_UNCHECKED_IDLE_S)
    session.rows("WRITE f4 2")
    session.rows("COMMIT")
    assert fleet.connect("latest").rows("READ f4") == ["2"]


def test_idle_transaction_is_ended_and_releases_its_connection(own_fleet):
    """Guards against transactions that stay open at the serving proxy."""
    own_fleet.deployment.configure(max_connections=CONNECTIONS, timeout_ms=900)
    session = own_fleet.connect("latest")
    session.rows("BEGIN")
    session.rows("WRITE f5 1")
    server = own_fleet.deployment.proxies[own_fleet.server].process
    assert server.forwarded.count_busy()
    helpers.wait_for(lambda: not server.forwarded.count_busy(), 6.0)
    assert session.execute("COMMIT")[-2].startswith("ERROR ABORTED")


def test_statements_go_on_when_the_serving_proxy_dies(own_fleet):
    """Guards against a zone that waits until a dead proxy is noticed."""
    session = own_fleet.connect()
    session.rows("WRITE f6 1")
    own_fleet.deployment.proxies[own_fleet.server].close()
    for number in range(20):
        started = time.monotonic()
        session.rows(f"WRITE f6 {number}")
        assert session.rows("READ f6") == [str(number)]
        assert time.monotonic() - started < 0.7


def test_frozen_proxy_leaves_no_write_twice_and_none_told_as_not_run(
    own_fleet, monkeypatch
):
    """Guards against a write that runs after it was told as not run.

    The serving proxy accepts connections and bytes but reads nothing for a
    while, as a frozen process does, and then continues.
    """
    frozen = threading.Event()
    thaw = threading.Event()
    real = platform_local.instance.forward_server.ForwardSession._handle

    def handle(self, request):
        if frozen.is_set():
            thaw.wait(10)
        real(self, request)

    monkeypatch.setattr(
        platform_local.instance.forward_server.ForwardSession, "_handle", handle
    )
    session = own_fleet.connect("latest")
    session.rows("WRITE f7 before")
    frozen.set()
    outcomes = {}
    for number in range(6):
        answer = session.execute(f"WRITE f7.{number} there")
        outcomes[f"f7.{number}"] = answer[-2].split(" ")[1]
        time.sleep(0.15)
    thaw.set()
    time.sleep(0.5)
    log = own_fleet.deployment.group.primary().log
    written = [key for entry in log for key, _ in entry.writes]
    for key, code in outcomes.items():
        assert written.count(key) <= 1, key
        if code == "BUSY":
            assert key not in written, "told as not run, but it ran"
    assert any(code not in ("BUSY", "INDOUBT") for code in outcomes.values())


def test_planned_stop_of_the_serving_proxy_fails_no_statement(own_fleet):
    """Guards against requests cut off by a planned stop under load."""
    errors = []
    stop = threading.Event()

    def write(number):
        session = own_fleet.connect()
        turn = 0
        while not stop.is_set():
            turn += 1
            answer = session.execute(f"WRITE f8.{number} {turn}")
            if not answer[-2].startswith("COMPLETE"):
                errors.append(answer[-2])
            time.sleep(0.01)

    threads = [threading.Thread(target=write, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    own_fleet.deployment.proxies[own_fleet.server].drain()
    time.sleep(0.3)
    stop.set()
    for thread in threads:
        thread.join()
    assert errors == []


def test_two_proxies_that_disagree_pass_nothing_around(fleet, monkeypatch):
    """Guards against loops while proxies know different serving sets.

    The proxy that a statement is forwarded to takes the sender for the serving
    one.
    """
    server = fleet.deployment.proxies[fleet.server]
    monkeypatch.setattr(server.serving, "serves", lambda _limits: False)
    monkeypatch.setattr(server.serving, "targets", lambda _limits: [None])
    session = fleet.connect()
    session.rows("WRITE f9 1")
    assert session.rows("READ f9") == ["1"]


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff" + b"x" * 100,
        b"\x00\x00\x00\x05\xff\xff\xff\xff\xff",
        b"\x00\x00\x00\x02\x08\x63",
        b"\x00\x00",
    ],
)
def test_malformed_message_ends_only_its_connection(fleet, garbage):
    """Guards against one bad message that takes a process down."""
    address = fleet.deployment.proxies[fleet.server].serving._own.address
    host, port = addresses.split(address)
    with platform_local.socket.create_connection((host, port), 2.0) as sock:
        sock.sendall(garbage)
        sock.shutdown(platform_local.socket.SHUT_WR)
        assert sock.recv(1) == b""
    session = fleet.connect()
    session.rows("WRITE f10 1")
    assert session.rows("READ f10") == ["1"]


def test_primary_cut_off_from_the_serving_proxy_is_reached_by_another(
    own_fleet,
):
    """Guards against a zone without writes while the primary works.

    Answers the pattern of a primary that is cut off from some proxies, the one
    that serves a zone among them: it is not replaced, and the others of the
    zone reach it.
    """
    session = own_fleet.connect("latest")
    session.rows("WRITE f11 1")
    server = own_fleet.deployment.proxies[own_fleet.server].process
    primary = own_fleet.deployment.group.primary().name
    real = server._env.dial

    def dial(listing, deadline, owner):
        if listing.id == primary:
            raise ports.DialError("cut off")
        return real(listing, deadline)

    object.__setattr__(server._env, "dial", dial)
    service = server.service(platform_local.SERVICE)
    pool = service.pool(primary)

    def is_cut_off():
        # A probe may have held a connection when the others were closed.
        pool.close_idle()
        return service.group.primary_unreachable()

    helpers.wait_for(is_cut_off)
    helpers.wait_for(service.group.primary_reached_by_peers)
    for number in range(5):
        session.rows(f"WRITE f11 {number}")
        assert session.rows("READ f11") == [str(number)]
