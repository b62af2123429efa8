"""Injects random faults under load and checks the guarantees at the end.

The faults and the load are drawn from one seed. The workload's callers use
randomly chosen proxies of a deployment in the same process.
"""

import collections.abc
import dataclasses
import random
import time

from bronzehold.process import etcd_store
from bronzehold.tools import history
from bronzehold.tools import local
from bronzehold.tools import workload
from bronzehold.version import change as change_lib

PROXIES = 3
RECOVERY_S = 3.0  # time without faults before the callers stop
MAX_FAULT_S = 4.0
MIN_FAULT_S = 0.3
READY_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of a soak run.

    Attributes:
        seed: Seed of the random faults.
        faults: Descriptions of the injected faults, in order.
        writes: Number of writes by reported outcome.
        reads: Number of reads checked.
        violations: Violations of the guarantees.
    """

    seed: int
    faults: tuple[str, ...]
    writes: dict[str, int]
    reads: int
    violations: tuple[history.Violation, ...]


class _FaultInjector:
    """Injects random faults and reverts them."""

    def __init__(self, *, deployment: local.Deployment, seed: int):
        self._deployment = deployment
        self._random = random.Random(seed)
        self.injected: list[str] = []

    def inject_one(self) -> None:
        """Injects one random fault for a random time and reverts it."""
        faults = (
            self._freeze,
            self._cut_in,
            self._cut_out,
            self._cut_from_replicas,
            self._lag,
            self._kill_and_restart,
            self._lose_answers,
            self._platform_absent,
            self._platform_slow,
            self._platform_loses_answers,
            self._cut_proxies,
            self._planned_change,
            self._configure,
        )
        self._random.choice(faults)()

    def _random_server(self) -> str:
        names = sorted(self._deployment.servers)
        primary = self._deployment.primary("mail")
        return self._random.choice([*names, primary])

    def _record_and_wait(self, name: str) -> None:
        seconds = self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)
        self.injected.append(f"{name} {seconds:.1f}s")
        time.sleep(seconds)

    def _endpoint_fault(self, kind: str, name: str, **fields) -> None:
        faults = self._deployment.servers[name].endpoint.faults
        before = {field: getattr(faults.current, field) for field in fields}
        faults.change(**fields)
        self._record_and_wait(f"{kind} {name}")
        faults.change(**before)

    def _freeze(self) -> None:
        self._endpoint_fault("freeze", self._random_server(), frozen=True)

    def _random_proxies(self) -> frozenset[str]:
        names = [p.cfg.name for p in self._deployment.proxies]
        count = self._random.randint(1, len(names))
        return frozenset(self._random.sample(names, count))

    def _cut_in(self) -> None:
        names = self._random_proxies()
        self._endpoint_fault("cut in", self._random_server(), cut_in=names)

    def _cut_out(self) -> None:
        names = self._random_proxies()
        self._endpoint_fault("cut out", self._random_server(), cut_out=names)

    def _cut_from_replicas(self) -> None:
        names = frozenset(self._deployment.servers)
        self._endpoint_fault(
            "cut from group", self._random_server(), cut_in=names
        )

    def _lag(self) -> None:
        seconds = self._random.uniform(0.05, 2.0)
        self._endpoint_fault("lag", self._random_server(), lag_s=seconds)

    def _kill_and_restart(self) -> None:
        name = self._random_server()
        server = self._deployment.servers[name]
        server.kill()
        self._record_and_wait(f"kill {name}")
        server.listen()

    def _lose_answers(self) -> None:
        name = self._random_server()
        faults = self._deployment.servers[name].endpoint.faults
        faults.change(lose_answers=2, truncate_answers=1)
        self._record_and_wait(f"lose answers of {name}")

    def _platform_fault(self, kind: str, **fields) -> None:
        store = self._deployment.platform.store
        before = {field: getattr(store.conditions, field) for field in fields}
        store.change(**fields)
        self._record_and_wait(f"platform {kind}")
        store.change(**before)

    def _platform_absent(self) -> None:
        self._platform_fault("absent", absent=True)

    def _platform_slow(self) -> None:
        self._platform_fault("slow", slow_s=0.5)

    def _platform_loses_answers(self) -> None:
        self._platform_fault("loses answers", lose_answers=3)

    def _cut_proxies(self) -> None:
        first, second = self._random.sample(self._deployment.proxies, 2)
        first.peers.blocked.add(second.cfg.name)
        second.peers.blocked.add(first.cfg.name)
        self._record_and_wait(f"cut {first.cfg.name} {second.cfg.name}")
        first.peers.blocked.discard(second.cfg.name)
        second.peers.blocked.discard(first.cfg.name)

    def _planned_change(self) -> None:
        proxy = self._random.choice(self._deployment.proxies)
        try:
            result = proxy.failover.promote("mail", "")
        except etcd_store.EtcdError:
            result = change_lib.NotPromoted(term=0, why="platform")
        self.injected.append(f"planned change: {type(result).__name__}")

    def _configure(self) -> None:
        self._deployment.configure(tuple(self._deployment.services))
        self.injected.append("configure")


def run(
    *,
    seed: int,
    seconds: float,
    transactions: bool = False,
    carry_marks: bool = False,
    print_line: collections.abc.Callable[[str], None] = lambda _line: None,
) -> Report:
    """Injects random faults under load, then checks the guarantees.

    Args:
        seed: Seed of the random faults and of the load.
        seconds: Duration of the fault injection in seconds.
        transactions: Whether writes are sent in transaction blocks.
        carry_marks: Whether callers pass their last mark to each proxy instead
            of setting a session name.
        print_line: Called with a description of each fault.
    """
    shape = local.Shape(proxies=PROXIES)
    with local.running(shape) as deployment:
        faults = _FaultInjector(deployment=deployment, seed=seed)

        def during(_work: workload.Workload) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                faults.inject_one()
                print_line(faults.injected[-1])
            time.sleep(RECOVERY_S)

        plan = workload.Plan(
            urls=deployment.urls(),
            transactions=transactions,
            carry_marks=carry_marks,
            seed=seed,
        )
        operations, violations = workload.run(plan, during)
    writes: dict[str, int] = {}
    for op in operations:
        if isinstance(op, history.Write):
            writes[op.outcome.value] = writes.get(op.outcome.value, 0) + 1
    return Report(
        seed=seed,
        faults=tuple(faults.injected),
        writes=writes,
        reads=sum(isinstance(op, history.Read) for op in operations),
        violations=tuple(violations),
    )
