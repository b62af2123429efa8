"""A baseline proxy with least-connections routing and FIFO queues.

This is the proxy without its scheduling policy: it has no admission control by
deadline, no fairness between sessions and no limit on concurrent statements
other than the number of connections. Reads go to the endpoint with the fewest
running and waiting statements. The `run` module compares it with the full
proxy.
"""

from bronzehold.process import pool as pool_lib
from bronzehold.process import request_queue
from bronzehold.process import service as service_lib
from bronzehold.request import read_routing
from bronzehold.tools import main

UNLIMITED_SLOTS = 1 << 30


def _limits(self, ep) -> pool_lib.Limits:
    proxy_count = max(1, self.env.proxy_count())
    connections = (
        ep.connections // proxy_count - service_lib.CONTROL_CONNECTIONS
    )
    return pool_lib.Limits(
        connections=max(1, connections), slots=UNLIMITED_SLOTS
    )


def _enqueue(
    self,
    session: str,
    deadline: float,
    priority: int,
    max_expected_wait_s: float | None,
) -> request_queue.Waiter:
    del session, deadline, priority, max_expected_wait_s
    return self._queue.add_tagged(0.0)


def _pending_statements(served, pool: pool_lib.Pool) -> float:
    del served
    load = pool.load()
    return float(load.running + load.waiting)


def remove_policy() -> None:
    """Replaces the scheduling policy of the proxy in this process."""
    service_lib.ServiceRuntime._pool_limits = _limits
    pool_lib.Pool._enqueue = _enqueue
    read_routing._expected_cost_s = _pending_statements
    read_routing.PRIMARY_PENALTY_S = 0.0


if __name__ == "__main__":
    remove_policy()
    main.main()
