"""Runs the whole system as separate processes, for tests."""

import contextlib
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
from bronzehold.process import platform
from bronzehold.tools import local

HOST = "127.0.0.1"
READY_S = 30.0
ZONES = {"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-2"}
SHEET_HEADER = (
    "service,endpoint,host,port,zone,connections,slots,max_age_ms,ack,leaving"
)


class Cluster:
    """Processes of one deployment, with one service named mail."""

    def __init__(self, *, folder: pathlib.Path, proxies: int = 2):
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, int] = {}
        self.platform_port = local.free_port()
        self.endpoints = {f"mail-{i}": local.free_port() for i in range(3)}
        self.proxy_names = [f"proxy-{i}" for i in range(proxies)]
        self.operator = self._write(
            "operator.json",
            {
                "platform": f"{HOST}:{self.platform_port}",
                "zones": ZONES,
                "in_force_s": 10.0,
            },
        )

    def _write(self, name: str, value) -> str:
        path = self.folder / name
        path.write_text(json.dumps(value))
        return str(path)

    def _spawn(self, name: str, *args: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "bronzehold", *args],
            stdout=log,
            stderr=log,
        )

    def start(self) -> None:
        """Starts everything and loads the sheet."""
        cfg = {"host": HOST, "port": self.platform_port}
        path = self._write("platform.json", cfg)
        self._spawn("platform", "standin", "platform", "--config", path)
        places = {
            name: {"host": HOST, "port": port}
            for name, port in self.endpoints.items()
        }
        cfg = {"group": "mail", "endpoints": places}
        path = self._write("group.json", cfg)
        for name in self.endpoints:
            self._spawn(
                name, "standin", "group", "--config", path, "--only", name
            )
        for name in self.proxy_names:
            self.start_proxy(name)
        self.write_sheet()
        self._await_platform()
        answer = self.cli("apply", str(self.folder / "sheet.csv"))
        assert answer.returncode == 0, answer.stderr
        self.wait_ready()

    def _await_platform(self) -> None:
        store = platform.Client(target=f"{HOST}:{self.platform_port}")
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with contextlib.suppress(platform.PlatformError, grpc.RpcError):
                if len(store.list(platform.PROXIES_PREFIX)) == len(
                    self.proxy_names
                ):
                    break
            time.sleep(0.05)
        store.close()

    def start_proxy(self, name: str) -> None:
        """Starts one proxy."""
        self.ports.setdefault(name, local.free_port())
        self.ports.setdefault(f"{name} peer", local.free_port())
        cfg = {
            "name": name,
            "host": HOST,
            "port": self.ports[name],
            "peer_port": self.ports[f"{name} peer"],
            "zone": "zone-1",
            "region": "region-1",
            "platform": f"{HOST}:{self.platform_port}",
        }
        path = self._write(f"{name}.json", cfg)
        self._spawn(name, "proxy", "--config", path)

    def write_sheet(
        self, *, leaving: str = "", ack: str = "replica", max_age: int = 2000
    ) -> str:
        """Writes the planners' sheet and returns its path."""
        rows = [
            f"mail,{name},{HOST},{port},zone-1,16,2,{max_age},{ack},"
            + ("yes" if name == leaving else "")
            for name, port in self.endpoints.items()
        ]
        path = self.folder / "sheet.csv"
        path.write_text("\n".join([SHEET_HEADER, *rows]) + "\n")
        return str(path)

    def cli(self, *args: str) -> subprocess.CompletedProcess:
        """Runs an operator's command."""
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "bronzehold",
                *args,
                "--config",
                self.operator,
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def wait_ready(self) -> None:
        """Waits until a write works through every proxy."""
        end = time.monotonic() + READY_S
        for name in self.proxy_names:
            while True:
                try:
                    with self.connect(name) as conn:
                        conn.execute("CREATE TABLE IF NOT EXISTS warm (n INT)")
                    break
                except psycopg.Error:
                    if time.monotonic() > end:
                        raise
                    time.sleep(0.1)

    def connect(self, proxy: str, **options) -> psycopg.Connection:
        """Connects a driver through a proxy."""
        options.setdefault("autocommit", True)
        return psycopg.connect(
            host=HOST,
            port=self.ports[proxy],
            user="app",
            dbname="mail",
            connect_timeout=10,
            **options,
        )

    def control(self, endpoint: str) -> client.Client:
        """Opens a control connection to an endpoint."""
        return client.Client(
            host=HOST,
            port=self.endpoints[endpoint],
            database="mail",
            name="test",
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
        """Ends all processes."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


@contextlib.contextmanager
def running(folder: pathlib.Path, proxies: int = 2):
    """Runs a cluster for the length of a block."""
    cluster = Cluster(folder=folder, proxies=proxies)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()
