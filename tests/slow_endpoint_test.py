"""Failure test: one replica of a group becomes seven times slower."""

import threading
import time

from bronzehold.core import endpoint_events
from bronzehold.platform import local as platform_local

WORK_S = 0.01
# The proxy in the zone of this replica reads from it while it is well.
SLOW = "e2"


class _Reader:
    """A session that reads until it is stopped."""

    def __init__(self, deployment):
        self.refused = []
        self._stop = threading.Event()
        self._session = deployment.connect("bounded", proxy=1)
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stop.wait(0.01):
            answer = self._session.execute("READ a")
            if not answer[-2].startswith("COMPLETE"):
                self.refused.append(answer[-2])

    def stop(self):
        self._stop.set()
        self._thread.join()


def _reads(deployment, since, until):
    """Returns the number of reads that each endpoint executed in a time."""
    counts = dict.fromkeys(deployment.group.endpoints, 0)
    for one in list(deployment.group.executed):
        if since <= one.executed_at < until and one.text.startswith("READ"):
            counts[one.endpoint] += 1
    return counts


def _has_event(deployment, kind):
    entries = deployment.proxies[1].process.timeline.entries_after(0)
    return any(
        isinstance(e.event, kind) and e.event.endpoint == SLOW for e in entries
    )


def test_reads_leave_a_slow_replica_and_return():
    """Guards against reads that stay at a slow replica, or do not come back."""
    with platform_local.running(
        proxies=2, slots=4, work_s=WORK_S
    ) as deployment:
        deployment.connect("latest").rows("WRITE a 1")
        readers = [_Reader(deployment) for _ in range(3)]
        slow = deployment.group.endpoints[SLOW]
        time.sleep(2.0)
        before = _reads(deployment, 0, time.monotonic())
        slow.faults.change(added_s=6 * WORK_S)
        platform_local.wait_until(
            lambda: _has_event(deployment, endpoint_events.EndpointSlow)
        )
        marked_at = time.monotonic()
        time.sleep(2.0)
        while_slow = _reads(deployment, marked_at + 0.2, time.monotonic())
        slow.faults.change(added_s=0.0)
        platform_local.wait_until(
            lambda: _has_event(deployment, endpoint_events.EndpointRecovered)
        )
        recovered_at = time.monotonic()
        time.sleep(1.0)
        after = _reads(deployment, recovered_at, time.monotonic())
        for reader in readers:
            reader.stop()
    assert before[SLOW] > sum(before.values()) / 2
    assert while_slow[SLOW] < sum(while_slow.values()) / 8
    assert after[SLOW] > 0
    assert not [refusal for reader in readers for refusal in reader.refused]
