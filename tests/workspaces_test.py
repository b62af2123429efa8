"""System tests of workspaces and their keys on the platform path.

Six proxies in three regions, two in each, stand before one group.
"""

import time

import pytest

from bronzehold.core import ports
from bronzehold.platform import local as platform_local
from tests import helpers

PROXIES = 6
CONNECTIONS = 30
SECRETS = {"w1": "secret-one", "w2": "secret-two"}
WORKSPACES = [
    {"name": name, "api_keys": [key]} for name, key in SECRETS.items()
]
IDLE_S = 3.0


@pytest.fixture(name="fleet")
def _fleet():
    with platform_local.running(
        proxies=PROXIES, connections=CONNECTIONS
    ) as deployment:
        _configure(deployment, WORKSPACES)
        helpers.wait_for(
            lambda: all(
                len(proxy.gossip.live_peers()) == PROXIES - 1
                for proxy in deployment.proxies
            )
        )
        yield deployment


def _configure(deployment, workspaces, **fields):
    """Puts a configuration in force on all proxies."""
    deployment.configure(
        max_connections=CONNECTIONS, workspaces=workspaces, **fields
    )
    helpers.wait_for(
        lambda: all(
            proxy.process.table().version == deployment.version
            for proxy in deployment.proxies
        )
    )


def _error(answer: list[str]) -> str:
    return " ".join(answer[-2].split(" ")[:2])


def _writes(deployment, item: str) -> int:
    return sum(
        item in dict(entry.writes) for entry in deployment.group.primary().log
    )


def _is_closed(session) -> bool:
    session.sock.settimeout(5.0)
    try:
        return session.sock.recv(1) == b""
    except ConnectionResetError:
        return True


def test_endpoints_are_told_the_workspace_of_each_statement(fleet):
    """Guards against statements that run under another workspace's name."""
    for number in range(PROXIES):
        for database in platform_local.DATABASES:
            for name, key in SECRETS.items():
                session = fleet.connect(database, number, key)
                # The name of a session that has ended is used again.
                before = len(fleet.group.executed)
                session.rows(f"WRITE {database}{number} {name}")
                session.rows(f"READ {database}{number}")
                session.rows("BEGIN")
                session.rows(f"READ {database}{number}")
                session.rows("COMMIT")
                ran = [
                    run.client
                    for run in fleet.group.executed[before:]
                    if run.request_id.startswith(f"{session.name}.")
                ]
                assert len(ran) == 4
                assert set(ran) == {name}
                session.sock.close()


def test_an_unknown_key_is_denied_and_nothing_runs(fleet):
    for key in ("test", "", "w1", "secret-one "):
        with pytest.raises(platform_local.UnexpectedAnswerError) as caught:
            fleet.connect("own", 0, key)
        assert str(caught.value).startswith("ERROR DENIED")
        assert "secret" not in str(caught.value)


def test_an_unknown_database_is_reported_before_the_key(fleet):
    with pytest.raises(platform_local.UnexpectedAnswerError) as caught:
        fleet.connect("nowhere", 0, "test")
    assert str(caught.value).startswith("ERROR NODATABASE")


def test_a_revoked_key_ends_a_session_and_its_transaction(fleet):
    """Guards against statements and commits after a key was revoked."""
    session = fleet.connect("own", 0, SECRETS["w1"])
    session.rows("BEGIN")
    session.rows("WRITE revoked 1")
    idle = fleet.connect("own", 1, SECRETS["w1"])
    kept = fleet.connect("own", 1, SECRETS["w2"])
    _configure(fleet, WORKSPACES[1:])
    assert _error(session.execute("COMMIT")) == "ERROR DENIED"
    assert _is_closed(session)
    # A quiet session of the key is told and closed.
    assert idle.lines.read_line().startswith(b"ERROR DENIED")
    assert _is_closed(idle)
    assert kept.rows("READ revoked") == [""]
    assert _writes(fleet, "revoked") == 0


def test_a_statement_with_a_revoked_key_is_denied(fleet):
    session = fleet.connect("latest", 2, SECRETS["w1"])
    session.rows("WRITE denied 1")
    _configure(fleet, [{**WORKSPACES[0], "api_keys": ["new"]}, WORKSPACES[1]])
    try:
        answer = session.execute("WRITE denied 2")
    except (ports.TransportError, OSError):
        # The session was quiet, so it may have been closed before.
        answer = ["ERROR DENIED", "READY I -"]
    assert _error(answer) == "ERROR DENIED"
    assert _writes(fleet, "denied") == 1
    renewed = fleet.connect("latest", 2, "new")
    assert renewed.rows("READ denied") == ["1"]


def test_a_public_route_needs_no_key(fleet):
    _configure(fleet, WORKSPACES, public=True)
    session = fleet.connect("own", 0, "test")
    session.rows("WRITE public 1")
    assert fleet.group.executed[-1].client == "bronzehold"


def test_an_invalid_configuration_leaves_the_last_one_in_force(fleet):
    """Guards against keys of two workspaces, and callers that are let in."""
    version = fleet.version
    twice = [WORKSPACES[0], {"name": "w2", "api_keys": ["secret-one"]}]
    fleet.configure(max_connections=CONNECTIONS, workspaces=twice)
    time.sleep(1.0)
    assert {p.process.table().version for p in fleet.proxies} == {version}
    session = fleet.connect("own", 0, SECRETS["w2"])
    session.rows("WRITE kept 1")
    assert fleet.group.executed[-1].client == "w2"


def test_connections_are_not_opened_for_each_statement(fleet):
    """Guards against a connection a statement when workspaces take turns."""
    sessions = [
        fleet.connect("own", number, key)
        for number in range(PROXIES)
        for key in SECRETS.values()
    ]
    for session in sessions:
        session.rows("WRITE turns 1")
    opened = sum(_open_connections(proxy) for proxy in fleet.proxies)
    for _ in range(5):
        for session in sessions:
            session.rows("WRITE turns 2")
    again = sum(_open_connections(proxy) for proxy in fleet.proxies)
    assert again <= opened + 2


def _open_connections(proxy) -> int:
    service = proxy.process.service(platform_local.SERVICE)
    return sum(
        service.pool(name).load().open for name in service.group.listings()
    )


def test_the_key_stays_in_the_proxy(fleet, capfd):
    """Guards against keys in logs and at endpoints and peers."""
    session = fleet.connect("own", 0, SECRETS["w1"])
    session.rows("WRITE secret 1")
    _configure(fleet, WORKSPACES[1:])
    with pytest.raises(platform_local.UnexpectedAnswerError):
        fleet.connect("own", 0, SECRETS["w1"])
    out, err = capfd.readouterr()
    assert "secret-one" not in out + err
    assert all("secret" not in run.client for run in fleet.group.executed)


def test_a_proxy_without_confirmation_does_not_trust_keys(fleet):
    """Guards against a revoked key at a proxy that is cut off from the store.

    Where the settings bound the age of keys, statements are refused as not run
    until the configuration is confirmed again.
    """
    proxy = fleet.proxies[0]
    session = fleet.connect("own", 0, SECRETS["w1"])
    session.rows("WRITE confirmed 1")
    proxy.process.keys_confirmed = lambda: proxy.news.is_confirmed(0.0)
    assert _error(session.execute("WRITE confirmed 2")) == "ERROR BUSY"
    proxy.process.keys_confirmed = lambda: proxy.news.is_confirmed(60.0)
    session.rows("WRITE confirmed 3")
    assert _writes(fleet, "confirmed") == 2
