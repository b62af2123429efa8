"""Faults of proxy processes: pauses, kills and planned stops."""

import collections.abc
import contextlib
import random
import signal
import threading
import time

from bench.soak import deployment as deployment_lib
from bench.soak import fault_journal
from bench.soak import records as records_lib
from bronzehold.platform import local

# Time past its own limit that a stopping proxy gets before it is killed.
STOP_MARGIN_S = 2.0
# Longest wait for a proxy that has just been started.
READY_TIMEOUT_S = 3.0
# Time within which several proxies receive SIGTERM.
STOPS_WITHIN_S = 1.0
# Shares of the groups of stops with a SIGHUP between, or with a kill beside.
SIGHUP_SHARE = 0.3
KILL_SHARE = 0.3


class ProcessFaults:
    """Injects faults into the proxy processes of one deployment.

    Faults of different proxies may overlap; those of one proxy do not, except
    for SIGHUP.
    """

    def __init__(
        self,
        *,
        deployment: deployment_lib.Deployment,
        journal: fault_journal.FaultJournal,
    ):
        self._proxies = deployment.processes
        self._journal = journal
        self._locks = {p.name: threading.Lock() for p in self._proxies}

    def pause(self, rng: random.Random) -> None:
        """Pauses a proxy for a while."""
        proxy = rng.choice(self._proxies)
        with self._locks[proxy.name]:
            proxy.signal(signal.SIGSTOP)
            self._journal.record_and_sleep(rng, f"pause {proxy.name}")
            proxy.signal(signal.SIGCONT)

    def kill(self, rng: random.Random) -> None:
        """Kills a proxy and restarts it after a while."""
        self._kill_one(rng.choice(self._proxies), rng)

    def _kill_one(
        self, proxy: deployment_lib.Proxy, rng: random.Random
    ) -> None:
        with self._locks[proxy.name]:
            self._kill(proxy)
            self._journal.record_and_sleep(rng, f"kill {proxy.name}")
            proxy.start()

    def _kill(self, proxy: deployment_lib.Proxy) -> None:
        began = time.monotonic()
        if proxy.is_running():
            proxy.kill()
            kind = records_lib.Exit.KILL
            self._journal.record_exit(proxy.name, kind, began)

    def kill_all(self, rng: random.Random) -> None:
        """Kills all proxies and restarts them after a while."""
        for lock in self._locks.values():
            lock.acquire()
        for proxy in self._proxies:
            self._kill(proxy)
        self._journal.record_and_sleep(rng, "kill all proxies")
        for proxy in self._proxies:
            proxy.start()
        for lock in self._locks.values():
            lock.release()

    def stop(self, rng: random.Random) -> None:
        """Stops a proxy and restarts it at once."""
        self._restart(rng.choice(self._proxies))

    def _restart(self, proxy: deployment_lib.Proxy) -> None:
        with self._locks[proxy.name]:
            began = time.monotonic()
            self._journal.record(f"stop {proxy.name}")
            proxy.signal(signal.SIGTERM)
            if not proxy.wait_for_exit(proxy.stop_s + STOP_MARGIN_S):
                proxy.kill()
            kind = records_lib.Exit.STOP
            self._journal.record_exit(proxy.name, kind, began)
            seconds = time.monotonic() - began
            self._journal.record(f"exit of {proxy.name}, {seconds:.2f} s later")
            proxy.start()

    def _restart_ready(self, proxy: deployment_lib.Proxy) -> None:
        """Restarts a proxy that has callers, if it becomes ready in time."""
        with contextlib.suppress(TimeoutError):
            local.wait_until(proxy.is_ready, READY_TIMEOUT_S)
        self._restart(proxy)

    def stop_several(self, rng: random.Random) -> None:
        """Stops two proxies, or all but one, within a moment.

        Some stops have a SIGHUP between them, or a kill of another proxy.
        """
        most = max(1, len(self._proxies) - 1)
        count = rng.choice((min(2, most), most))
        order = rng.sample(self._proxies, len(self._proxies))
        stopping, others = order[:count], order[count:]
        work = [(self._restart_ready, (proxy,)) for proxy in stopping]
        if rng.random() < SIGHUP_SHARE:
            work.insert(1, (self._hang_up, (stopping[0],)))
        if rng.random() < KILL_SHARE and others:
            seeded = random.Random(rng.random())
            work.insert(1, (self._kill_one, (rng.choice(others), seeded)))
        _start_within(STOPS_WITHIN_S, work, rng)

    def stop_in_turn(self, rng: random.Random) -> None:
        """Stops all proxies one after another, as an update does."""
        for proxy in rng.sample(self._proxies, len(self._proxies)):
            self._restart_ready(proxy)

    def send_sighup(self, rng: random.Random) -> None:
        """Sends SIGHUP to a proxy."""
        self._hang_up(rng.choice(self._proxies))

    def _hang_up(self, proxy: deployment_lib.Proxy) -> None:
        proxy.signal(signal.SIGHUP)
        self._journal.record(f"SIGHUP to {proxy.name}")


def _start_within(
    seconds: float,
    work: collections.abc.Sequence[tuple[collections.abc.Callable, tuple]],
    rng: random.Random,
) -> None:
    """Starts functions at random moments of a time; returns when all ended."""
    threads = []
    for function, args in work:
        time.sleep(rng.uniform(0.0, seconds / len(work)))
        thread = threading.Thread(target=function, args=args, daemon=True)
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
