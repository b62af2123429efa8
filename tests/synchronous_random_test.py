"""Random faults around changes of primary where replicas confirm commits.

`SYNCHRONOUS_SEEDS=1-50` in the environment plays these seeds instead.
"""

import os
import random
import time

import pytest

from tests import helpers
from tests import synchronous_change_test as changes

STEPS = 5
STEP_S = (0.2, 1.3)
LATE_S = (0.3, 4.0)
PROXIES = 4
# A holder that is replaced after 1 s, or keeps its token for longer than a hold
# of writes lasts elsewhere.
DRAIN_MS = (5_000, 20_000)


def _seeds() -> list[int]:
    first, _, last = os.environ.get("SYNCHRONOUS_SEEDS", "1-2").partition("-")
    return list(range(int(first), int(last or first) + 1))


class Faults:
    """Draws faults and applies them to a stage."""

    def __init__(self, stage, rng):
        self._stage = stage
        self._rng = rng
        self._added = 3
        self._down = None

    def step(self) -> None:
        """Applies one fault."""
        fault = self._rng.choice(
            [
                self._leave_orders,
                self._leave_all_calls,
                self._answer,
                self._drain_primary,
                self._drain_primary,
                self._kill_primary,
                self._add_replica,
                self._add_replica,
                self._end_holder,
            ]
        )
        fault()

    def _leave_orders(self) -> None:
        primary = self._stage.deployment.group.primary().name
        self._stage.calls.late_s = self._rng.uniform(*LATE_S)
        self._stage.calls.is_left = lambda name: name != primary

    def _leave_all_calls(self) -> None:
        self._stage.calls.late_s = self._rng.choice(
            [None, self._rng.uniform(*LATE_S)]
        )
        self._stage.calls.is_left = lambda _: True

    def _answer(self) -> None:
        self._stage.calls.is_left = lambda _: False

    def _drain_primary(self) -> None:
        primary = self._stage.deployment.group.primary().name
        self._stage.deployment.publish_listings(draining=frozenset({primary}))

    def _kill_primary(self) -> None:
        if self._down is None:
            self._down = self._stage.deployment.group.primary()
            self._down.kill()
        else:
            self._restart()

    def _restart(self) -> None:
        endpoint, self._down = self._down, None
        if endpoint is not None:
            endpoint.listen()

    def _add_replica(self) -> None:
        self._added += 1
        self._stage.deployment.add_endpoint(f"e{self._added}", "z1")

    def _end_holder(self) -> None:
        deployment = self._stage.deployment
        holder = changes.find_holder(deployment)
        if holder is None or len(deployment.proxies) <= PROXIES - 2:
            return
        self._stage.end_proxy(holder)

    def heal(self) -> None:
        """Ends all faults."""
        self._answer()
        self._restart()


@pytest.mark.parametrize("seed", _seeds())
def test_no_acknowledged_commit_is_lost(seed):
    """Guards against LOST: orders, replicas and holders overlap at random."""
    rng = random.Random(seed)
    with changes.running(
        proxies=PROXIES, drain_ms=rng.choice(DRAIN_MS)
    ) as deployment:
        stage = changes.Stage(deployment)
        faults = Faults(stage, rng)
        for _ in range(STEPS):
            faults.step()
            time.sleep(rng.uniform(*STEP_S))
        faults.heal()
        # Orders that were left may still be carried out.
        time.sleep(LATE_S[1])
        helpers.wait_for(lambda: deployment.group.primary().running)
        stage.check_callers()
