"""Runs the whole system as separate processes, for tests and benchmarks.

A cluster consists of the stand-in platform, the stand-in endpoints of each
service, and the proxies. Settings and logs of the processes are files in one
folder.
"""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import grpc
import psycopg

from bronzehold.connection import client
from bronzehold.process import etcd_store
from bronzehold.tools import local

HOST = "127.0.0.1"
READY_TIMEOUT_S = 40.0
PROGRAM = "bronzehold"
SHEET_HEADER = (
    "service,endpoint,host,port,zone,connections,slots,max_age_ms,"
    "deadline_ms,ack,leaving"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeploymentSpec:
    """The size and the settings of a deployment.

    Attributes:
        services: The names of the services.
        proxies: The number of proxies.
        zones: The zones to which endpoints and proxies are assigned in turn.
        group: The settings of every stand-in group, except its name and its
            endpoints.
        max_age_ms: The maximum staleness of reads in milliseconds.
        deadline_ms: The deadline of a request in milliseconds.
        ack: The acknowledgement mode of writes.
        program: The Python module that runs as the proxy.
        proxy_settings: Further settings of every proxy.
    """

    services: tuple[str, ...] = ("mail",)
    proxies: int = 2
    zones: tuple[local.Zone, ...] = (
        local.Zone(name="zone-1", region="region-1"),
    )
    group: dict = dataclasses.field(default_factory=dict)
    max_age_ms: int = 2000
    deadline_ms: int = 5000
    ack: str = "replica"
    program: str = PROGRAM
    proxy_settings: dict = dataclasses.field(default_factory=dict)


class Cluster:
    """The processes of one deployment.

    Attributes:
        folder: The folder of the settings files and logs.
        spec: The specification of the deployment.
        processes: All started processes, by name.
        ports: The port of each proxy for callers, by proxy name; the key
            "NAME peer" has its port for peers.
        platform_port: The port of the platform.
        endpoints: The port of each endpoint, by name.
        proxy_names: The names of the proxies.
        operator: The path of the settings file for operator commands.
    """

    def __init__(self, *, folder: pathlib.Path, spec: DeploymentSpec):
        self.folder = folder
        self.spec = spec
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, int] = {}
        self.platform_port = local.free_port()
        self.endpoints = {
            f"{service}-{i}": local.free_port()
            for service in spec.services
            for i in range(3)
        }
        self.proxy_names = [f"proxy-{i}" for i in range(spec.proxies)]
        self.operator = self._write(
            "operator.json",
            {
                "platform": f"{HOST}:{self.platform_port}",
                "zones": {zone.name: zone.region for zone in spec.zones},
                "in_force_s": 10.0,
            },
        )

    def _write(self, name: str, value) -> str:
        path = self.folder / name
        path.write_text(json.dumps(value))
        return str(path)

    def _spawn(self, name: str, *args: str, program: str = PROGRAM) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", program, *args], stdout=log, stderr=log
        )

    def zone(self, number: int) -> local.Zone:
        """Returns the zone of the endpoint or proxy with the given number."""
        return self.spec.zones[number % len(self.spec.zones)]

    def start(self) -> None:
        """Starts all processes, applies the sheet and waits for readiness."""
        cfg = {"host": HOST, "port": self.platform_port}
        path = self._write("platform.json", cfg)
        self._spawn("platform", "standin", "platform", "--config", path)
        for number, service in enumerate(self.spec.services):
            self._start_group(service, number)
        for name in self.proxy_names:
            self.start_proxy(name)
        self._wait_for_platform()
        completed = self.cli("apply", self.write_sheet())
        assert completed.returncode == 0, completed.stderr
        self.wait_ready()

    def _start_group(self, service: str, number: int) -> None:
        endpoint_cfgs = {}
        for i in range(3):
            zone = self.zone(number + i)
            endpoint_cfgs[f"{service}-{i}"] = {
                "host": HOST,
                "port": self.endpoints[f"{service}-{i}"],
                "zone": zone.name,
                "region": zone.region,
            }
        cfg = {**self.spec.group, "group": service, "endpoints": endpoint_cfgs}
        path = self._write(f"{service}.json", cfg)
        for name in endpoint_cfgs:
            self._spawn(
                name, "standin", "group", "--config", path, "--only", name
            )

    def _wait_for_platform(self) -> None:
        store = etcd_store.EtcdStore(target=f"{HOST}:{self.platform_port}")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(etcd_store.EtcdError, grpc.RpcError):
                proxies = store.list(etcd_store.PROXIES_PREFIX)
                if len(proxies) == len(self.proxy_names):
                    break
            time.sleep(0.05)
        store.close()

    def start_proxy(self, name: str) -> None:
        """Starts one proxy."""
        self.ports.setdefault(name, local.free_port())
        self.ports.setdefault(f"{name} peer", local.free_port())
        zone = self.zone(self.proxy_names.index(name))
        cfg = {
            "name": name,
            "host": HOST,
            "port": self.ports[name],
            "peer_port": self.ports[f"{name} peer"],
            "zone": zone.name,
            "region": zone.region,
            "platform": f"{HOST}:{self.platform_port}",
            **self.spec.proxy_settings,
        }
        path = self._write(f"{name}.json", cfg)
        program = self.spec.program
        self._spawn(name, "proxy", "--config", path, program=program)

    def write_sheet(self, *, leaving: str = "") -> str:
        """Writes the capacity sheet of the planners and returns its path.

        Args:
            leaving: The endpoint that is marked as leaving, "" for none.
        """
        spec = self.spec
        connections = spec.group.get("connections", 16)
        slots = spec.group.get("slots", 2)
        rows = []
        for number, service in enumerate(spec.services):
            for i in range(3):
                name = f"{service}-{i}"
                port = self.endpoints[name]
                leaving_cell = "yes" if name == leaving else ""
                rows.append(
                    f"{service},{name},{HOST},{port},"
                    f"{self.zone(number + i).name},{connections},{slots},"
                    f"{spec.max_age_ms},{spec.deadline_ms},{spec.ack},"
                    f"{leaving_cell}"
                )
        path = self.folder / "sheet.csv"
        path.write_text("\n".join([SHEET_HEADER, *rows]) + "\n")
        return str(path)

    def cli(self, *args: str) -> subprocess.CompletedProcess:
        """Runs an operator command and returns its result."""
        command = [sys.executable, "-m", PROGRAM, *args]
        return subprocess.run(
            [*command, "--config", self.operator],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def wait_ready(self) -> None:
        """Waits until every proxy accepts a write to every service.

        Raises:
            psycopg.Error: A write still fails after READY_TIMEOUT_S.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for name in self.proxy_names:
            for service in self.spec.services:
                self._wait_for_write(name, service, deadline)

    def _wait_for_write(
        self, proxy: str, service: str, deadline: float
    ) -> None:
        while True:
            try:
                with self.connect(proxy, dbname=service) as conn:
                    conn.execute("CREATE TABLE IF NOT EXISTS warm (n INT)")
                return
            except psycopg.Error:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)

    def connect(self, proxy: str, **options) -> psycopg.Connection:
        """Opens a driver connection to a proxy."""
        options.setdefault("autocommit", True)
        options.setdefault("dbname", self.spec.services[0])
        return psycopg.connect(
            host=HOST,
            port=self.ports[proxy],
            user="app",
            connect_timeout=10,
            **options,
        )

    def open_control_connection(self, endpoint: str) -> client.Client:
        """Opens a control connection to an endpoint."""
        return client.Client(
            host=HOST,
            port=self.endpoints[endpoint],
            database=endpoint.rsplit("-", 1)[0],
            name="bench",
            timeout=5.0,
        )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to one of the processes."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """Kills one of the processes."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def close(self) -> None:
        """Kills all processes and waits for their exit."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


@contextlib.contextmanager
def running(
    folder: pathlib.Path, spec: DeploymentSpec | None = None, **fields
) -> collections.abc.Iterator[Cluster]:
    """Runs a cluster for the duration of a `with` block.

    Args:
        folder: The folder for settings files and logs.
        spec: The specification, None for the default.
        **fields: Fields that replace those of the specification.

    Yields:
        The cluster, ready to serve.
    """
    full_spec = dataclasses.replace(spec or DeploymentSpec(), **fields)
    cluster = Cluster(folder=folder, spec=full_spec)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()
