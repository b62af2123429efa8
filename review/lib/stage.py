"""A small deployment for the scripts of the review.

The stand-ins of the store and of the database groups run in the process of the
script. The proxies run as processes of their own, with the command of the
deploy file and with settings like those of the users' small installations.
"""

import collections.abc
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from bronzehold.platform import standin_group
from bronzehold.platform import standin_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The longest run of a script, in seconds.
MAX_RUN_S = 115
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
READY_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 5.0
# The bounds of the users' site files, in seconds.
CONFIG_APPLY_S = 3.0
RECOVERY_S = 12.0
GRACE_S = 6.0


class StageError(Exception):
    """The deployment did not get as far as the check."""


class Record:
    """Writes what happened, with the seconds since the start, to a file."""

    def __init__(self, path: pathlib.Path):
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        """Writes one line."""
        elapsed_s = time.monotonic() - self._started_at
        with self._lock:
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


def free_port(host: str) -> int:
    """Returns a TCP port that is free at an address."""
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


class Session:
    """A client's connection to a proxy, in the line protocol."""

    _count = 0

    def __init__(self, address: tuple[str, int], database: str, record: Record):
        Session._count += 1
        self.name = f"s{Session._count}"
        self._sent_count = 0
        self._record = record
        self.sock = socket.create_connection(address, ANSWER_TIMEOUT_S)
        self._file = self.sock.makefile("rb")
        self.sock.sendall(f"STARTUP {database} {self.name}\r\n".encode())
        self.welcome = self._read_line()
        record.add(f"{self.name} STARTUP {database} -> {self.welcome}")

    def _read_line(self) -> str:
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("the connection ended")
        return line[:-2].decode("latin-1")

    def send(self, text: str) -> str:
        """Sends a statement and returns its id."""
        self._sent_count += 1
        request_id = f"{self.name}.{self._sent_count}"
        self._record.add(f"{request_id} sent {text!r}")
        self.sock.sendall(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
        return request_id

    def read_answer(self) -> list[str]:
        """Returns the lines of an answer, READY included."""
        lines = [self._read_line()]
        while not lines[-1].startswith("READY"):
            lines.append(self._read_line())
        return lines

    def execute(self, text: str) -> list[str]:
        """Sends a statement and returns the lines of its answer."""
        request_id = self.send(text)
        answer = self.read_answer()
        self._record.add(f"{request_id} answered {answer}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        self._file.close()
        self.sock.close()


class Proxy:
    """A proxy process."""

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        peer_port: int,
        store: str,
        seeds: list[str],
    ):
        self.name = f"front-{number}"
        self.host = f"127.0.0.{number + 1}"
        self.callers = (self.host, free_port(self.host))
        self.readiness = (self.host, free_port(self.host))
        self._folder = folder
        self._settings = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        zone = list(ZONES)[number % len(ZONES)]
        settings = {
            "name": self.name,
            "zone": zone,
            "regions": ZONES,
            "host": self.host,
            "callers": f"{self.host}:{self.callers[1]}",
            "readiness": f"{self.host}:{self.readiness[1]}",
            "peer_port": peer_port,
            "metrics_port": free_port(self.host),
            "store": store,
            "promoter": store,
            "seeds": seeds,
            "stop_s": GRACE_S,
        }
        self._settings.write_text(json.dumps(settings), encoding="utf-8")
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BRONZEHOLD_NODE_FILE"] = str(self._settings)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "bronzehold.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Returns the exit code of the process, None while it runs."""
        return self._process.poll() if self._process else None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(5.0)

    def is_ready(self) -> bool:
        """Returns whether the proxy answers the ready probe with 200."""
        conn = http.client.HTTPConnection(*self.readiness, timeout=1.0)
        try:
            conn.request("GET", "/bronzehold/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()


def wait_until(
    check: collections.abc.Callable[[], object], timeout_s: float, what: str
) -> None:
    """Waits until a condition holds; raises StageError after the timeout."""
    end = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > end:
            raise StageError(f"not within {timeout_s} s: {what}")
        time.sleep(0.05)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A route of the configuration; kind is its type on the wire."""

    database: str
    service: str
    kind: str = "primary"


class Stage:
    """The store, the database groups and the proxies of one script."""

    def __init__(
        self,
        *,
        record: Record,
        folder: pathlib.Path,
        services: collections.abc.Sequence[str],
        proxies: int = 4,
        max_connections: int = 16,
        sync_replicas: int = 0,
        make_group: type[standin_group.Group] = standin_group.Group,
        store_address: collections.abc.Callable[
            [str, int], str
        ] = lambda address, _number: address,
        **group_fields,
    ):
        self.record = record
        self.max_connections = max_connections
        self.sync_replicas = sync_replicas
        self.groups = {
            service: make_group(
                settings=standin_group.GroupSettings(
                    service=service,
                    zones={f"{service}-{n}": f"z{n}" for n in (1, 2, 3)},
                    connections=max_connections,
                    **{"work_s": 0.004, "promote_s": 0.6, **group_fields},
                )
            )
            for service in services
        }
        self.store = standin_store.Store(groups=self.groups)
        for service, group in self.groups.items():
            group.on_role_change = lambda service=service: self.publish(service)
            group.start()
            self.publish(service)
        self.store.start()
        hosts = [f"127.0.0.{n + 1}" for n in range(proxies)]
        peer_port = free_port(hosts[0])
        self.proxies = [
            Proxy(
                number=n,
                folder=folder,
                peer_port=peer_port,
                store=store_address(self.store.address, n),
                seeds=[f"{host}:1" for host in hosts[:3]],
            )
            for n in range(proxies)
        ]

    def publish(self, service: str) -> None:
        """Writes the entries of a group's backends to the store."""
        for name, endpoint in self.groups[service].endpoints.items():
            entry = {
                "service": service,
                "address": endpoint.address,
                "zone": endpoint.zone,
                "version": "v1",
                "capacity": 2,
                "state": "ready",
                "cold_remaining_ms": 0,
                "db_role": "primary" if endpoint.is_primary else "replica",
                "sequence": 1,
                "born": 1,
            }
            self.store.put(f"servers/{name}", json.dumps(entry).encode())

    def configure(
        self, version: int, routes: collections.abc.Sequence[Route]
    ) -> float:
        """Writes a configuration; returns the time of its confirmation."""
        table = {
            "version": version,
            "routes": [
                {
                    "name": route.database,
                    "database": route.database,
                    "service": route.service,
                    "type": route.kind,
                    "max_staleness_ms": 1500,
                    "timeout_ms": 800,
                    "target_latency_ms": 300,
                    "priority": 1,
                }
                for route in routes
            ],
            "services": [
                {
                    "name": name,
                    "max_connections": self.max_connections,
                    "sync_replicas": self.sync_replicas,
                }
                for name in self.groups
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("op/config", json.dumps(table).encode())
        self.record.add(
            f"configuration {version} confirmed: "
            + ", ".join(f"{r.database} -> {r.service}" for r in routes)
        )
        return time.monotonic()

    def start(self) -> None:
        """Starts the proxies and waits until all are ready."""
        for proxy in self.proxies:
            proxy.start()
        wait_until(
            lambda: all(p.is_ready() for p in self.proxies),
            READY_TIMEOUT_S,
            "all proxies are ready",
        )
        self.record.add("all proxies are ready")

    def connect(self, proxy: int, database: str) -> Session:
        """Opens a client's session at a proxy."""
        return Session(self.proxies[proxy].callers, database, self.record)

    def runs(self, request_id: str) -> list[standin_group.ExecutedStatement]:
        """Returns the runs of a statement on any backend."""
        return [
            run
            for group in self.groups.values()
            for run in list(group.executed)
            if run.request_id == request_id
        ]

    def dump_runs(self) -> None:
        """Writes all runs of clients' statements to the record."""
        for service, group in self.groups.items():
            for run in list(group.executed):
                if run.request_id != "-":
                    self.record.add(
                        f"run at {service} {run.endpoint}: {run.request_id} "
                        f"{run.text!r} log {run.position}"
                    )

    def close(self) -> None:
        """Ends the processes and the stand-ins."""
        for proxy in self.proxies:
            proxy.signal(signal.SIGCONT)
            proxy.kill()
        for group in self.groups.values():
            group.close()
        self.store.close()


def has_trouble() -> bool:
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    script: str,
    check: collections.abc.Callable[[Record, pathlib.Path], list[str]],
) -> None:
    """Runs a case and ends the process with its result.

    Args:
        script: The path of the script; record.txt is written beside it.
        check: Runs the case. Returns what broke the rule, none if it held.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.add(f"TROUBLE={int(has_trouble())}")

    def give_up(_number, _frame):
        raise StageError("the script took too long")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(MAX_RUN_S)
    code = EXIT_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = check(record, pathlib.Path(folder))
        for text in broken:
            record.add(f"BROKEN: {text}")
        record.add("the rule was broken" if broken else "the rule held")
        code = EXIT_BROKEN if broken else EXIT_HELD
    except Exception as exc:  # noqa: BLE001
        record.add(f"could not run: {type(exc).__name__}: {exc}")
    signal.alarm(0)
    print({0: "held", 1: "broken", 2: "could not run"}[code])  # noqa: T201
    sys.stdout.flush()
    # Threads of the stand-ins may still wait on sockets.
    os._exit(code)


@contextlib.contextmanager
def running(**fields) -> collections.abc.Iterator[Stage]:
    """Sets up a stage, and ends all that it started."""
    stage = Stage(**fields)
    try:
        yield stage
    finally:
        stage.close()
