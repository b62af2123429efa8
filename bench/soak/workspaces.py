"""The workspaces of a run, and faults that concern them."""

import collections.abc
import random
import threading
import time

from bench.soak import callers as callers_lib
from bench.soak import deployment as deployment_lib
from bench.soak import fault_journal
from bench.soak import operations
from bench.soak import records as records_lib

# Limits that are drawn for the limited workspace: rate per second and burst.
LIMITS = ((3.0, 2.0), (12.0, 20.0), (30.0, 10.0))
# Callers of the limited workspace while it exceeds its limit.
EXCEEDING_CALLERS = 6
# Some last longer than a window of a limit, which is 5 s.
EXCESS_S = (2.0, 7.0)
# Short withdrawals, and those that outlast the 6 s within which they are to be
# in force.
WITHDRAWALS_S = ((0.5, 3.0), (7.0, 11.0))
# Time for which a caller uses a key before it is withdrawn.
USE_S = 0.3
# Time by which a slow endpoint takes longer for a statement, in seconds.
ADDED_S = (0.02, 0.3)
STORE_PAUSE_S = 1.0


def draw(seed: int) -> tuple[records_lib.Workspace, ...]:
    """Returns the workspaces of a run; the first one has a low limit."""
    rate_per_s, burst = random.Random(f"{seed}/limit").choice(LIMITS)
    return (
        records_lib.Workspace(
            name="limited",
            keys=("l1", "l2"),
            rate_per_s=rate_per_s,
            burst=burst,
        ),
        records_lib.Workspace(name="w1", keys=("k1", "k2")),
        records_lib.Workspace(name="w2", keys=("k3",)),
        # The key of the recovery writes, which is never withdrawn.
        records_lib.Workspace(name="spare", keys=(callers_lib.DEFAULT_KEY,)),
    )


def keys(
    workspaces: collections.abc.Iterable[records_lib.Workspace],
) -> tuple[str, ...]:
    """Returns all keys; one default key without workspaces."""
    found = tuple(k for w in workspaces for k in w.keys)
    return found or (callers_lib.DEFAULT_KEY,)


class WorkspaceFaults:
    """Withdraws keys, exceeds a limit, and slows endpoints."""

    def __init__(
        self,
        *,
        deployment: deployment_lib.Deployment,
        journal: fault_journal.FaultJournal,
        records: records_lib.Records,
    ):
        self._deployment = deployment
        self._journal = journal
        self._records = records
        self._store_lock = threading.Lock()

    def withdraw_key(self, rng: random.Random) -> None:
        """Withdraws a key and adds it again after a while.

        A caller presents the key all the time, to one proxy after another.
        """
        candidates = set(keys(self._deployment.workspaces))
        candidates -= {callers_lib.DEFAULT_KEY}
        key = rng.choice(sorted(candidates))
        seconds = rng.uniform(*rng.choice(WITHDRAWALS_S))
        callers = self._start_callers(1, operations.MIXED, (key,), rng)
        time.sleep(USE_S)
        self._withdraw(key, seconds)
        callers_lib.finish(callers)

    def _withdraw(self, key: str, seconds: float) -> None:
        if not self._deployment.withdraw_key(key):
            return
        began = time.monotonic()
        self._journal.record(f"key {key} withdrawn for {seconds:.1f} s")
        time.sleep(seconds)
        ended = time.monotonic()
        self._deployment.add_key_again(key)
        self._journal.withdrawals.append(
            records_lib.Withdrawal(key=key, began=began, ended=ended)
        )

    def exceed_limit(self, rng: random.Random) -> None:
        """Runs callers that send far more than their workspace may."""
        limited = self._deployment.workspaces[0]
        seconds = rng.uniform(*EXCESS_S)
        self._journal.record(f"{limited.name} over its limit, {seconds:.1f} s")
        callers = self._start_callers(
            EXCEEDING_CALLERS, operations.EXCEEDING, limited.keys, rng
        )
        time.sleep(seconds)
        callers_lib.finish(callers)

    def _start_callers(
        self,
        count: int,
        kind: callers_lib.Kind,
        access_keys: tuple[str, ...],
        rng: random.Random,
    ) -> list[callers_lib.Caller]:
        seed = rng.randrange(1 << 30)
        callers = [
            callers_lib.Caller(
                proxies=self._deployment.processes,
                records=self._records,
                kind=kind,
                name=f"{kind.name}{seed}.{number}",
                seed=seed,
                access_keys=access_keys,
            )
            for number in range(count)
        ]
        for caller in callers:
            caller.thread.start()
        return callers

    def slow_endpoint(self, rng: random.Random) -> None:
        """Slows an endpoint for a while."""
        endpoint = rng.choice([*self._deployment.group.endpoints.values()])
        endpoint.faults.change(added_s=rng.uniform(*ADDED_S))
        self._journal.record_and_sleep(rng, f"slow {endpoint.name}")
        endpoint.faults.change(added_s=0.0)

    def refuse_at_store(self, rng: random.Random) -> None:
        """Lets the store turn all proxies away for a while.

        The store answers between two such times. Otherwise nobody could know
        of a withdrawn key in time.
        """
        with self._store_lock:
            self._deployment.store.error_status = rng.choice((429, 503))
            self._journal.record_and_sleep(rng, "refusals of the store")
            self._deployment.store.error_status = 0
            time.sleep(STORE_PAUSE_S)
