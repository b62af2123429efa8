"""Runs proxies as separate processes for the cases review/11 to review/15.

The proxies start with the command of the deploy file and with settings like
those of a small deployment. The store and the database groups are the
project's own stand-ins, which run in the process of the case. All addresses
are loopback addresses, and all files are in a temporary folder.
"""

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback
import urllib.error
import urllib.request

from bronzehold.platform import standin_group
from bronzehold.platform import standin_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The command of the role in deploy/system.toml.
COMMAND = ("python3", "-m", "bronzehold.platform")
ZONES = ("lima-a", "arequipa-a", "trujillo-a")
REGIONS = {zone: zone.partition("-")[0] for zone in ZONES}
MEBIBYTE = 1 << 20
READY_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.05
FIRST_PORT, LAST_PORT = 12000, 30000
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def free_port() -> int:
    """Returns a port below the ephemeral ones that no process uses."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)  # noqa: S311
        kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        if all(_is_free(kind, port) for kind in kinds):
            return port


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("0.0.0.0", port))  # noqa: S104
        except OSError:
            return False
    return True


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, *, path: pathlib.Path):
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Writes one line with the time since the start in seconds."""
        with self._lock:
            now = time.monotonic() - self._started_at
            self._file.write(f"{now:8.3f} {text}\n")

    def flush(self) -> None:
        """Writes what is buffered."""
        with self._lock:
            self._file.flush()


def has_trouble() -> bool:
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Proxy:
    """One proxy process and its settings file.

    Attributes:
        name: Name of the proxy.
        host: Its loopback address.
        callers: Host and port for callers.
        starts: Number of processes started.
    """

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        store: str,
        promoter: str,
        peer_port: int,
        **fields,
    ):
        self.name = f"front-{number}"
        self.host = f"127.0.0.{number + 11}"
        self.callers = (self.host, free_port())
        self.starts = 0
        self._readiness = f"{self.host}:{free_port()}"
        self._path = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        settings = {
            "name": self.name,
            "zone": ZONES[number % len(ZONES)],
            "regions": REGIONS,
            "host": self.host,
            "callers": f"{self.host}:{self.callers[1]}",
            "readiness": self._readiness,
            "peer_port": peer_port,
            "metrics_port": free_port(),
            "store": store,
            "promoter": promoter,
            "seeds": ["127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"],
            "drain_ms": 7000,
            "memory_mb": 430,
            "max_descriptors": 6300,
            "stop_s": 6,
            **fields,
        }
        self._path.write_text(json.dumps(settings))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts a process with the command of the deploy file."""
        self.starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BRONZEHOLD_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.is_running():
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Returns whether the proxy answers the ready probe with 200."""
        url = f"http://{self._readiness}/bronzehold/ready"
        with contextlib.suppress(OSError, urllib.error.URLError):
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        return False

    def resident_mb(self) -> float:
        """Returns the resident memory of the process in MiB, 0 without one."""
        if not self.is_running():
            return 0.0
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self) -> str:
        """Returns the log of all its processes."""
        return self._log.read_text(errors="replace")


class Platform:
    """Kills a process over its memory limit, and starts ended ones again.

    Attributes:
        ends: How often the process of each proxy has ended, by its name.
        peaks: The highest resident memory in MiB, by the name of the proxy.
        stop: Set to end the watch.
    """

    def __init__(
        self,
        *,
        record: Record,
        proxies: list[Proxy],
        memory_mb: int,
    ):
        self._record = record
        self._proxies = proxies
        self._memory_mb = memory_mb
        self.ends = {proxy.name: 0 for proxy in proxies}
        self.peaks = {proxy.name: 0.0 for proxy in proxies}
        self.stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the watch."""
        self._thread.start()

    def close(self) -> None:
        """Ends the watch."""
        self.stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self.stop.wait(WATCH_INTERVAL_S):
            for proxy in self._proxies:
                self._check(proxy)

    def _check(self, proxy: Proxy) -> None:
        used = proxy.resident_mb()
        self.peaks[proxy.name] = max(self.peaks[proxy.name], used)
        if used > self._memory_mb:
            proxy.send(signal.SIGKILL)
            proxy.process.wait()
            self._record.add(f"platform: {proxy.name} is at {used:.0f} MiB")
        if proxy.is_running():
            return
        self.ends[proxy.name] += 1
        self._record.add(f"{proxy.name} has ended, {self.ends[proxy.name]}")
        self.stop.wait(RESTART_DELAY_S)
        proxy.start()


class Deployment:
    """A store, database groups and proxy processes.

    Attributes:
        groups: The groups by service name.
        store: The platform's store.
        proxies: The proxies.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        proxies: int,
        services: tuple[str, ...] = ("buzon-1",),
        group: dict | None = None,
        store_address=lambda address: address,
        promoter_address=lambda address: address,
        settings: dict | None = None,
        start_group=standin_group.Group,
        start_store=standin_store.Store,
    ):
        self.groups = {}
        for service in services:
            ids = {f"i-{service}-{n}": ZONES[n] for n in range(3)}
            self.groups[service] = start_group(
                settings=standin_group.GroupSettings(
                    service=service, zones=ids, **(group or {})
                )
            )
        self.store = start_store(groups=self.groups)
        self._sequence = 0
        self._lock = threading.Lock()
        self.version = 0
        self.draining: frozenset[str] = frozenset()
        for one in self.groups.values():
            one.on_role_change = self.publish
            one.start()
        self.store.start()
        self.publish()
        peer_port = free_port()
        self.proxies = [
            Proxy(
                number=number,
                folder=folder,
                store=store_address(self.store.address),
                promoter=promoter_address(self.store.address),
                peer_port=peer_port,
                **(settings or {}),
            )
            for number in range(proxies)
        ]

    def configure(self, routes: list[dict], **fields) -> None:
        """Writes the next configuration.

        Args:
            routes: The routes, each with its own fields.
            **fields: Fields of every service.
        """
        self.version += 1
        services = [
            {
                "name": name,
                "max_connections": group.settings.connections,
                "sync_replicas": group.settings.sync_replicas,
                **fields,
            }
            for name, group in self.groups.items()
        ]
        defaults = {
            "timeout_ms": 800,
            "target_latency_ms": 300,
            "priority": 1,
        }
        table = {
            "version": self.version,
            "routes": [{**defaults, **route} for route in routes],
            "services": services,
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("op/config", json.dumps(table).encode())

    def publish(self) -> None:
        """Writes the entries of all endpoints."""
        with self._lock:
            self._sequence += 1
            for service, group in self.groups.items():
                for name, endpoint in group.endpoints.items():
                    if not endpoint.running:
                        continue
                    entry = {
                        "service": service,
                        "address": self.address(endpoint),
                        "zone": endpoint.zone,
                        "version": "v1",
                        "capacity": group.settings.slots,
                        "state": (
                            "draining" if name in self.draining else "ready"
                        ),
                        "cold_remaining_ms": 0,
                        "sequence": self._sequence,
                        "born": 1_700_000_000_000,
                        "db_role": (
                            "primary" if endpoint.is_primary else "replica"
                        ),
                    }
                    value = json.dumps(entry).encode()
                    self.store.put(f"servers/{name}", value)

    def address(self, endpoint: standin_group.Endpoint) -> str:
        """Returns the address under which an endpoint is listed."""
        return endpoint.address

    def start(self) -> None:
        """Starts all proxies and waits until they are ready."""
        for proxy in self.proxies:
            proxy.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Waits until all proxies are ready.

        Raises:
            NotRunError: One is not ready in time.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(proxy.is_ready() for proxy in self.proxies):
            if time.monotonic() > deadline:
                raise NotRunError("a proxy does not become ready")
            time.sleep(0.05)

    def close(self) -> None:
        """Ends all processes, the groups and the store."""
        for proxy in self.proxies:
            proxy.end()
        for group in self.groups.values():
            group.close()
        self.store.close()


def run(folder: str, case) -> int:
    """Runs a case and returns its exit code.

    Args:
        folder: The folder of the case.
        case: A function of the record and a temporary folder that returns
            whether the rule held.
    """
    record = Record(path=pathlib.Path(folder) / "record.txt")
    wanted = "with" if has_trouble() else "without"
    record.add(f"start {wanted} the disruption")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = case(record, pathlib.Path(temporary))
    except Exception as exc:  # noqa: BLE001
        record.add(f"not run: {type(exc).__name__}: {exc}")
        record.add(traceback.format_exc())
        record.flush()
        return EXIT_NOT_RUN
    record.add("the rule held" if held else "the rule was broken")
    record.flush()
    return EXIT_HELD if held else EXIT_BROKEN
