"""Checks that all proxies serve again after the faults of a run."""

import concurrent.futures
import time

from bench.soak import callers as callers_lib
from bench.soak import deployment as deployment_lib
from bench.soak import records as records_lib
from bronzehold.platform import local

# Time within which all proxies must accept writes after the last fault.
RECOVERY_TIMEOUT_S = 12.0
# The time for a confirmed configuration to be in force, in seconds.
CONFIG_APPLY_S = 3.0
POLL_INTERVAL_S = 0.05


def find_unrecovered(
    deployment: deployment_lib.Deployment, records: records_lib.Records
) -> list[str]:
    """Returns a violation for each proxy that does not recover in time."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    proxies = deployment.processes
    # All at once, so that the wait for one takes no time from another.
    with concurrent.futures.ThreadPoolExecutor(len(proxies)) as pool:
        serving = pool.map(
            lambda proxy: _wait_until_serving(proxy, records, deadline), proxies
        )
        return [
            f"{proxy.name} does not serve again after {RECOVERY_TIMEOUT_S} s"
            for proxy, serves in zip(proxies, serving, strict=True)
            if not serves
        ]


def find_outdated(deployment: deployment_lib.Deployment) -> list[str]:
    """Returns a violation for each proxy that misses a new configuration."""
    marker = "marker"
    deployment.configure(marker=marker)
    deadline = time.monotonic() + CONFIG_APPLY_S
    return [
        f"{proxy.name} has no added route {CONFIG_APPLY_S} s after it"
        for proxy in deployment.processes
        if not _wait_until_routed(proxy, marker, deadline)
    ]


def _wait_until_routed(
    proxy: deployment_lib.Proxy, database: str, deadline: float
) -> bool:
    while True:
        try:
            local.connect(proxy.caller_address, database).sock.close()
            return True
        except callers_lib.CONNECTION_ERRORS:
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_INTERVAL_S)


def _wait_until_serving(
    proxy: deployment_lib.Proxy, records: records_lib.Records, deadline: float
) -> bool:
    attempts = 0
    while time.monotonic() < deadline:
        attempts += 1
        name = f"recovery.{proxy.name}.{attempts}"
        try:
            session = local.connect(proxy.caller_address, "own", name)
            with session.sock:
                statement = callers_lib.execute(
                    session,
                    f"WRITE {name} v{name}",
                    records=records,
                    proxy=proxy.name,
                    database="own",
                )
        except callers_lib.CONNECTION_ERRORS:
            time.sleep(POLL_INTERVAL_S)
            continue
        if statement.outcome is records_lib.Outcome.DONE:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False
