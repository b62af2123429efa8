"""What a run consists of: its callers, its faults and its endpoints."""

import dataclasses
import random

from bench.soak import callers as callers_lib
from bench.soak import deployment as deployment_lib
from bench.soak import operations
from bench.soak import records as records_lib
from bench.soak import workspaces

# Number of callers that a load balancer distributes.
DISTRIBUTED_CALLERS = 8
# Limits of the time for a planned stop, in seconds.
STOP_S = (1.5, 6.0)
# Limits of the time that an endpoint works on a statement, in seconds. The
# timeout of a statement is 0.8 s.
WORK_S = (0.02, 0.6)
# Connections and running statements that each endpoint permits if its callers
# hold transactions open.
CONNECTIONS = 64
SLOTS = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """The kind of a run.

    Attributes:
        kinds: The kinds of the callers that stay at one proxy, with their
            number at each proxy.
        distributed: The number of callers that a load balancer distributes.
        faults: Whether random faults occur.
        stops: Whether proxies are stopped in groups.
        returns: Whether the store has eras and returns from older copies.
        workspaces: Whether callers have keys of workspaces, with faults of
            their own in place of the others.
        proxies: The number of proxies.
    """

    kinds: tuple[tuple[callers_lib.Kind, int], ...] = ()
    distributed: int = 0
    faults: bool = False
    stops: bool = False
    returns: bool = False
    workspaces: bool = False
    proxies: int = 3


_STAYING = (
    (operations.HOLDING, 6),
    (operations.SHORT, 3),
    (operations.LATE, 2),
)
FAULTS = Scenario(distributed=DISTRIBUTED_CALLERS, faults=True)
STOPS = Scenario(kinds=_STAYING, stops=True)
ALL = Scenario(
    kinds=_STAYING, distributed=DISTRIBUTED_CALLERS, faults=True, stops=True
)
RETURNS = Scenario(distributed=DISTRIBUTED_CALLERS, faults=True, returns=True)
# Two proxies in each region, so that limiters and homes hand over.
WORKSPACES = Scenario(
    distributed=DISTRIBUTED_CALLERS, faults=True, workspaces=True, proxies=6
)
BY_NAME = {
    "faults": FAULTS,
    "stops": STOPS,
    "all": ALL,
    "returns": RETURNS,
    "workspaces": WORKSPACES,
}


def deployment_fields(scenario: Scenario, seed: int) -> dict:
    """Returns the settings of a deployment, drawn from the seed."""
    if scenario.returns:
        return {"store_era": 1}
    if scenario.workspaces:
        return {"workspaces": workspaces.draw(seed)}
    if not scenario.stops:
        return {}
    rng = random.Random(f"{seed}/deployment")
    return {
        "stop_s": rng.uniform(*STOP_S),
        "work_s": rng.uniform(*WORK_S),
        "connections": CONNECTIONS,
        "slots": SLOTS,
        "queue": CONNECTIONS,
    }


def create_callers(
    scenario: Scenario,
    deployment: deployment_lib.Deployment,
    records: records_lib.Records,
    seed: int,
) -> list[callers_lib.Caller]:
    """Returns the callers of a run, not yet started."""
    distributed = [
        (operations.MIXED, str(number), deployment.processes)
        for number in range(scenario.distributed)
    ]
    staying = [
        (kind, f"{proxy.name}.{kind.name}.{number}", [proxy])
        for proxy in deployment.processes
        for kind, count in scenario.kinds
        for number in range(count)
    ]
    return [
        callers_lib.Caller(
            proxies=proxies,
            records=records,
            kind=kind,
            name=name,
            seed=seed,
            access_keys=workspaces.keys(deployment.workspaces),
        )
        for kind, name, proxies in [*distributed, *staying]
    ]
