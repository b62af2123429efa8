"""Injects random faults into a deployment and reverts each after a while.

The faults affect processes, connections, the store and the endpoints from
outside the proxies. The seed determines their sequence.
"""

import collections.abc
import random
import threading
import time

from bench.soak import deployment as deployment_lib
from bench.soak import fault_journal
from bench.soak import odd_entries
from bench.soak import process_faults
from bench.soak import relay as relay_lib
from bench.soak import workspaces as workspaces_lib

# Longest time between the starts of two faults. With this value, about half of
# the faults overlap with another one.
MAX_INTERVAL_S = 2.0
# Share of the odd entries that stand in place of a working endpoint's.
OVERWRITE_SHARE = 0.2
# Returns of the store are a fifth of the faults in their scenario.
RETURN_WEIGHT = 5
MAX_COPY_AGE_S = 5.0


class FaultInjector:
    """Injects faults into one deployment."""

    def __init__(
        self,
        *,
        deployment: deployment_lib.Deployment,
        processes: process_faults.ProcessFaults,
        journal: fault_journal.FaultJournal,
        workspaces: workspaces_lib.WorkspaceFaults,
        seed: int,
    ):
        self._deployment = deployment
        self._workspaces = workspaces
        self._processes = processes
        self._journal = journal
        self._random = random.Random(seed)
        # Odd entries come on their own, so that a seed keeps its faults.
        self._odd_random = random.Random(f"{seed}/odd")
        self._threads: list[threading.Thread] = []

    def run(self, seconds: float) -> None:
        """Injects faults for a time, and returns when all are reverted."""
        end = time.monotonic() + seconds
        odd = threading.Thread(
            target=self._write_odd_entries, args=(end,), daemon=True
        )
        if not self._deployment.workspaces:
            odd.start()
            self._threads.append(odd)
        while time.monotonic() < end:
            inject = self._random.choice(self._fault_types())
            # Each fault gets its own generator, seeded here, so that the
            # order in which the threads run does not change the sequence.
            rng = random.Random(self._random.random())
            thread = threading.Thread(target=inject, args=(rng,), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(
                self._random.uniform(fault_journal.MIN_FAULT_S, MAX_INTERVAL_S)
            )
        for thread in self._threads:
            thread.join()

    def _fault_types(self) -> tuple[collections.abc.Callable, ...]:
        if self._deployment.workspaces:
            # Endpoints and links do not freeze here: what they hold back would
            # run later than it was sent, and count in a later window.
            return (
                self._workspaces.withdraw_key,
                self._workspaces.withdraw_key,
                self._workspaces.exceed_limit,
                self._workspaces.slow_endpoint,
                self._workspaces.refuse_at_store,
                self._processes.pause,
                self._processes.kill,
            )
        returns: tuple[collections.abc.Callable, ...] = ()
        if self._deployment.store.era is not None:
            returns = (self._return_store,) * RETURN_WEIGHT
        return (
            *returns,
            self._processes.pause,
            self._processes.kill,
            self._processes.stop,
            self._processes.kill_all,
            self._processes.send_sighup,
            self._delay_traffic,
            self._stall,
            self._reset_connections,
            self._make_store_unavailable,
            self._reject_store_requests,
            self._compact_store,
            self._lose_store_answers,
            self._lose_promotion_answers,
            self._kill_endpoint,
            self._freeze_endpoint,
            self._delay_replication,
            self._lose_answers,
            self._change_configuration,
            self._drain_endpoint,
        )

    # Network connections.

    def _random_relay(self, rng: random.Random) -> relay_lib.Relay:
        stores = [p.store for p in self._deployment.processes]
        return rng.choice([*self._deployment.relays.values(), *stores])

    def _disturb_relay(
        self, rng: random.Random, description: str, **fields
    ) -> None:
        relay = self._random_relay(rng)
        share = rng.choice((0.3, 0.6, 1.0))
        relay.conditions = relay_lib.LinkConditions(share=share, **fields)
        self._journal.record_and_sleep(
            rng, f"{description} of {relay.address}, share {share}"
        )
        relay.conditions = relay_lib.HEALTHY

    def _delay_traffic(self, rng: random.Random) -> None:
        self._disturb_relay(rng, "delay", delay_s=rng.uniform(0.02, 0.3))

    def _stall(self, rng: random.Random) -> None:
        inbound = rng.random() < 0.7
        outbound = not inbound or rng.random() < 0.5
        self._disturb_relay(
            rng, "silence", inbound_stalled=inbound, outbound_stalled=outbound
        )

    def _reset_connections(self, rng: random.Random) -> None:
        relay = self._random_relay(rng)
        share = rng.choice((0.3, 0.6, 1.0))
        self._journal.record(f"reset of {relay.address}, share {share}")
        relay.reset(share)

    # The store.

    def _make_store_unavailable(self, rng: random.Random) -> None:
        self._deployment.store.unresponsive = True
        self._journal.record_and_sleep(rng, "no answer of the store")
        self._deployment.store.unresponsive = False

    def _reject_store_requests(self, rng: random.Random) -> None:
        self._deployment.store.error_status = rng.choice((429, 503))
        self._journal.record_and_sleep(rng, "refusals of the store")
        self._deployment.store.error_status = 0

    def _compact_store(self, rng: random.Random) -> None:
        del rng
        self._journal.record("the store forgets its history")
        self._deployment.store.compact()

    def _return_store(self, rng: random.Random) -> None:
        age_s = rng.uniform(0.2, MAX_COPY_AGE_S)
        self._journal.record(f"return from a copy of {age_s:.1f} s ago")
        self._deployment.store.unresponsive = True
        time.sleep(rng.uniform(0.0, 0.5))
        self._deployment.store.return_from_copy(
            age_s, leases_lost=rng.random() < 0.5
        )
        self._deployment.store.unresponsive = False
        time.sleep(rng.uniform(0.0, 1.0))
        self._deployment.write_entries_again()

    def _lose_store_answers(self, rng: random.Random) -> None:
        self._deployment.store.lose_answers = rng.randint(1, 3)
        self._journal.record("answers of the store lost")

    def _lose_promotion_answers(self, rng: random.Random) -> None:
        self._deployment.store.lose_promotion_answers = rng.randint(1, 2)
        self._journal.record("answers to orders lost")

    def _write_odd_entries(self, end: float) -> None:
        """Writes an odd entry now and then; some overwrite a good one."""
        rng = self._odd_random
        store = self._deployment.store
        entries = odd_entries.listings(store.value("servers/e1"))
        entries |= odd_entries.registrations_and_records()
        while time.monotonic() < end:
            key, value = rng.choice(sorted(entries.items()))
            if rng.random() < OVERWRITE_SHARE:
                endpoint = self._random_endpoint(rng)
                key = f"servers/{endpoint.name}"
                value = odd_entries.NESTED
            store.put(key, value)
            self._journal.record(f"odd entry {key!r}")
            time.sleep(rng.uniform(fault_journal.MIN_FAULT_S, MAX_INTERVAL_S))
            # An endpoint writes its own entry again with its heartbeat.
            self._deployment.publish_listings()

    # Endpoints.

    def _random_endpoint(self, rng: random.Random):
        group = self._deployment.group
        return rng.choice([*group.endpoints.values(), group.primary()])

    def _kill_endpoint(self, rng: random.Random) -> None:
        endpoint = self._random_endpoint(rng)
        endpoint.kill()
        self._journal.record_and_sleep(rng, f"kill {endpoint.name}")
        if not endpoint.running:
            endpoint.listen()

    def _freeze_endpoint(self, rng: random.Random) -> None:
        endpoint = self._random_endpoint(rng)
        endpoint.faults.change(frozen=True)
        self._journal.record_and_sleep(rng, f"freeze {endpoint.name}")
        endpoint.faults.change(frozen=False)

    def _delay_replication(self, rng: random.Random) -> None:
        endpoint = self._random_endpoint(rng)
        endpoint.faults.change(lag_s=rng.uniform(0.3, 5.0))
        self._journal.record_and_sleep(rng, f"lag of {endpoint.name}")
        endpoint.faults.change(lag_s=0.0)

    def _lose_answers(self, rng: random.Random) -> None:
        endpoint = self._random_endpoint(rng)
        endpoint.faults.change(lose_answers=rng.randint(1, 3))
        endpoint.answers_to_drop += rng.randint(0, 1)
        self._journal.record(f"answers of {endpoint.name} lost")

    # Operators.

    def _change_configuration(self, rng: random.Random) -> None:
        self._journal.record("a configuration")
        self._deployment.configure(timeout_ms=rng.choice((600, 800, 1000)))

    def _drain_endpoint(self, rng: random.Random) -> None:
        endpoint = self._random_endpoint(rng)
        self._deployment.publish_listings(draining=frozenset({endpoint.name}))
        self._journal.record_and_sleep(rng, f"{endpoint.name} leaves")
        self._deployment.publish_listings()
