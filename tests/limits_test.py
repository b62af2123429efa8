"""System tests of the connection limit of an endpoint over all proxies."""

import dataclasses
import threading
import time

import psycopg

from bronzehold.process import operator_api
from bronzehold.process import service as service_lib
from bronzehold.tools import local

CONNECTION_LIMIT = 12
SHAPE = local.Shape(proxies=3)


def shape_with_limit(**fields) -> local.Shape:
    """Returns a deployment shape whose endpoints limit their connections."""
    group = dataclasses.replace(
        SHAPE.group, connections=CONNECTION_LIMIT, **fields
    )
    return dataclasses.replace(SHAPE, group=group)


class CallerLoad:
    """Callers that hold transactions open, more than there are connections."""

    def __init__(self, deployment, callers: int = 18):
        self._stop = threading.Event()
        self._deployment = deployment
        self.errors: list[str] = []
        self._threads = [
            threading.Thread(target=self._work, args=(n,))
            for n in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def _work(self, number: int):
        while not self._stop.is_set():
            proxy = number % len(self._deployment.proxies)
            try:
                with psycopg.connect(
                    self._deployment.url(proxy), connect_timeout=5
                ) as conn:
                    conn.execute("SELECT count(*) FROM t")
                    time.sleep(0.02)
                    conn.execute("SELECT 1")
            except psycopg.Error as exc:
                self.errors.append(str(exc))
                time.sleep(0.05)

    def finish(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()


class ConnectionSampler:
    """Records the peak number of connections that the proxies hold."""

    def __init__(self, deployment):
        self.peak = 0
        self._deployment = deployment
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stop.wait(0.002):
            for name in self._deployment.servers:
                services = [
                    p.catalog.find("mail")
                    for p in list(self._deployment.proxies)
                ]
                # A proxy that has just joined has no configuration yet.
                pools = [s.pool(name) for s in services if s is not None]
                held = sum(
                    pool.load().open + service_lib.CONTROL_CONNECTIONS
                    for pool in pools
                )
                self.peak = max(self.peak, held)

    def finish(self) -> int:
        self._stop.set()
        self._thread.join()
        return self.peak


def peak_connections(deployment) -> dict[str, int]:
    """Returns the peak number of connections that each endpoint has seen."""
    return {
        name: server.endpoint.peak_connections
        for name, server in deployment.servers.items()
    }


def total_limit(deployment, name: str) -> int:
    """Returns the sum of all proxies' connection limits on an endpoint."""
    total = 0
    for proxy in deployment.proxies:
        pool = proxy.catalog.find("mail").pool(name)
        total += pool.load().limits.connections
        total += service_lib.CONTROL_CONNECTIONS
    return total


def run_under_load(shape, during) -> tuple[dict[str, int], list[str], int]:
    """Runs a deployment under load while a function changes it.

    Returns:
        The peak connections by endpoint, the errors of the callers, and the
        peak number of connections that the proxies held.
    """
    with local.running(shape) as deployment:
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            conn.execute("CREATE TABLE t (id INT)")
        time.sleep(0.3)
        load = CallerLoad(deployment)
        sampler = ConnectionSampler(deployment)
        try:
            during(deployment)
        finally:
            load.finish()
            held = sampler.finish()
        return peak_connections(deployment), load.errors, held


def test_limit_holds_under_steady_load():
    """Guards against exceeding an endpoint's limit under load.

    18 callers hold transactions open on three proxies that share 12 connections
    to each endpoint.
    """

    def during(deployment):
        time.sleep(2.0)
        assert total_limit(deployment, "mail-1") <= CONNECTION_LIMIT

    peaks, errors, held = run_under_load(shape_with_limit(), during)
    assert max(peaks.values()) <= CONNECTION_LIMIT
    assert held <= CONNECTION_LIMIT
    assert errors == []


def test_limit_holds_while_a_proxy_joins():
    """Guards against exceeding the limit when a new proxy takes its share.

    The others must release connections before the new proxy opens any.
    """

    def during(deployment):
        time.sleep(1.0)
        deployment.add_proxy()
        deployment.wait_ready()
        time.sleep(1.0)
        assert total_limit(deployment, "mail-1") <= CONNECTION_LIMIT

    peaks, _, _ = run_under_load(shape_with_limit(), during)
    assert max(peaks.values()) <= CONNECTION_LIMIT


def test_limit_holds_while_the_share_of_a_stopped_proxy_is_reused():
    """Guards against exceeding the limit when a proxy's share is reused.

    A proxy stops under load. The others must increase their limits until they
    add up to the endpoint's limit again, but not beyond it.
    """

    def during(deployment):
        time.sleep(0.7)
        deployment.proxies.pop().close()
        deadline = time.monotonic() + 10
        while total_limit(deployment, "mail-1") < CONNECTION_LIMIT:
            assert time.monotonic() < deadline
            time.sleep(0.05)
        time.sleep(0.5)

    peaks, _, _ = run_under_load(shape_with_limit(), during)
    assert max(peaks.values()) <= CONNECTION_LIMIT


def test_limit_holds_while_proxies_disagree_about_each_other():
    """Guards against exceeding the limit while proxies can't see each other.

    The proxies are cut from all their peers, so that each could think that it
    runs alone.
    """

    def during(deployment):
        time.sleep(0.5)
        names = {p.cfg.name for p in deployment.proxies}
        for proxy in deployment.proxies:
            proxy.peers.blocked |= names - {proxy.cfg.name}
        time.sleep(4.0)
        # The platform still lists all proxies, so none increases its share.
        assert total_limit(deployment, "mail-1") <= CONNECTION_LIMIT

    peaks, _, held = run_under_load(shape_with_limit(), during)
    assert max(peaks.values()) <= CONNECTION_LIMIT
    assert held <= CONNECTION_LIMIT


def test_requests_are_not_run_when_an_endpoint_refuses_a_connection():
    """Guards against wrong outcomes when an endpoint refuses a connection.

    Each proxy takes the whole limit for itself, so that the endpoint refuses
    connections. The requests concerned must be reported as not run.
    """
    shape = shape_with_limit()

    def during(deployment):
        for proxy in deployment.proxies:
            proxy.peers.share_count = lambda: 1
            proxy.catalog.resize()
        time.sleep(2.0)

    peaks, errors, _ = run_under_load(shape, during)
    assert max(peaks.values()) <= CONNECTION_LIMIT
    assert [text for text in errors if "not run" not in text] == []


def test_spending_cap_covers_all_proxies_and_is_shown_in_the_status():
    """Guards against a spending cap that each proxy applies on its own.

    Three proxies run statements of 0.1 s against a cap of 2 s. Statements
    beyond the cap must be refused as not run, apart from the overshoot until
    the proxies learn each other's spending.
    """
    service = dataclasses.replace(
        SHAPE.service, spend_seconds=2, spend_window_s=3600
    )
    shape = dataclasses.replace(SHAPE, service=service)
    with local.running(shape) as deployment:
        conns = [
            psycopg.connect(deployment.url(i), autocommit=True)
            for i in range(3)
        ]
        errors = []
        for i in range(60):
            try:
                conns[i % 3].execute("SELECT pg_sleep(0.1)")
            except psycopg.Error as exc:
                errors.append(exc)
                time.sleep(0.05)
        assert 60 - len(errors) <= 30
        assert {exc.sqlstate for exc in errors} == {"53400"}
        assert all(str(exc).startswith("not run") for exc in errors)
        shown = operator_api.status(deployment.proxies[0]).groups[0]
        assert shown.spend_cap == 2 and shown.spent_seconds >= 2
        for conn in conns:
            conn.close()
