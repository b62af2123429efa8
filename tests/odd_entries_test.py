"""System tests of odd entries that other programs write into the store."""

import pytest

from bench.soak import odd_entries
from bronzehold.core import events
from bronzehold.platform import local as platform_local
from tests import helpers

# The time for a confirmed configuration to be in force, in seconds.
CONFIG_APPLY_S = 3.0
READS = 20


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
    entries = odd_entries.listings(deployment.store.value("servers/e2"))
    entries |= odd_entries.registrations_and_records()
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
