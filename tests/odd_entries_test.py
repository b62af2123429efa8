"""System tests of odd entries that other programs write into the store."""

import json

import pytest

from bronzehold.core import events
from bronzehold.platform import local as platform_local
from tests import helpers

# The time for a confirmed configuration to be in force, in seconds.
CONFIG_APPLY_S = 3.0
READS = 20
NESTED = b"[" * 4000
LARGE = 10**400
MANY_DIGITS = "9" * 5000


def _listing(deployment, **fields) -> bytes:
    """Returns a listing like those of the endpoints, with other fields."""
    value = json.loads(deployment.store.value("servers/e2"))
    return json.dumps({**value, **fields}).encode()


def _odd_listings(deployment) -> dict[str, bytes]:
    return {
        "nested": NESTED,
        "nested fields": b'{"zone":' * 4000,
        "deep value": _listing(deployment, zone=[[[[["z"]]]]]),
        "digits": b"9" * 5000,
        "port digits": _listing(deployment, address=f"h:{MANY_DIGITS}"),
        "port": _listing(deployment, address="127.0.0.1:99999"),
        "host": _listing(deployment, address="a..b:80"),
        "null": _listing(deployment, address="a\0b:80"),
        "capacity": _listing(deployment, capacity=LARGE),
        "cold": _listing(deployment, cold_remaining_ms=LARGE),
        "born": _listing(deployment, born=1 << 70),
        "surrogate": _listing(deployment, version="\ud800"),
        "odd\r\nQUERY": _listing(deployment),
    }


def _odd_entries(deployment) -> dict[str, bytes]:
    """Returns entries under the keys that proxies write themselves."""
    record = {"holder": "other/1", "token": LARGE}
    return {
        "bronzehold/proxies/nested": NESTED,
        "bronzehold/proxies/port": json.dumps(
            {"address": "127.0.0.1:99999", "zone": "z1"}
        ).encode(),
        "bronzehold/proxies/host": json.dumps(
            {"address": "a..b:80", "zone": "\ud800"}
        ).encode(),
        "bronzehold/groups/nested": NESTED,
        "bronzehold/groups/large": json.dumps(record).encode(),
    }


@pytest.fixture(name="deployment")
def _deployment():
    with platform_local.running() as running:
        yield running


def _check_in_force(deployment, timeout_ms: int) -> None:
    for proxy in deployment.proxies:
        helpers.wait_for(
            lambda proxy=proxy: (
                proxy.process.find_route("own").timeout_s == timeout_ms / 1000
            ),
            CONFIG_APPLY_S,
        )


def test_changes_after_odd_entries_are_in_force_and_answers_arrive(
    deployment, monkeypatch
):
    """Guards against CONFIG and LOST: odd entries ended the reading task.

    Reads were sent to hosts that no connection can be opened to, which ended
    their sessions without an answer.
    """
    failed = []
    for proxy in deployment.proxies:
        monkeypatch.setattr(
            proxy.timeline,
            "add",
            lambda event, add=proxy.timeline.add: (
                failed.append(event)
                if isinstance(event, events.TaskFailed)
                else add(event)
            ),
        )
    session = deployment.connect("bounded")
    entries = {
        f"servers/{name}": value
        for name, value in _odd_listings(deployment).items()
    }
    entries |= _odd_entries(deployment)
    for number, (key, value) in enumerate(entries.items()):
        deployment.store.put(key, value)
        deployment.configure(timeout_ms=700 + number)
    _check_in_force(deployment, 700 + len(entries) - 1)
    late = deployment.start_proxy(len(deployment.proxies))
    deployment.proxies.append(late)
    _check_in_force(deployment, 700 + len(entries) - 1)
    for _ in range(READS):
        session.rows("READ a")
        late_session = deployment.connect(
            "bounded", proxy=len(deployment.proxies) - 1
        )
        late_session.rows("READ a")
    assert not failed
