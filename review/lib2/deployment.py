"""Runs proxies of the deploy file as processes, on stand-ins of the platform.

The stand-ins are the project's own: the store and the failover call, and one
database group of three endpoints. All addresses are loopback addresses.
"""

import collections.abc
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SETTINGS_TEMPLATE = ROOT / "deploy" / "settings.json"
READY_TIMEOUT_S = 30.0


def free_port(host: str) -> int:
    """Returns a TCP port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, *, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def add(self, text: str) -> None:
        """Writes a line with the time since the start of the run."""
        at_s = time.monotonic() - self._started
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Proxy:
    """One process of the deploy file's role, with a settings file."""

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        store: str,
        promoter: str,
        zones: collections.abc.Mapping[str, str],
        peer_port: int,
        seeds: collections.abc.Sequence[str],
        memory_mb: int = 430,
        max_descriptors: int = 6300,
        stop_s: float = 6,
    ):
        self.number = number
        self.name = f"front-{number}"
        self.host = f"127.0.0.{number + 1}"
        self.callers = (self.host, free_port(self.host))
        self.ready_port = free_port(self.host)
        self.memory_mb = memory_mb
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.json"
        self._settings.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "zone": sorted(zones)[number % len(zones)],
                    "regions": dict(zones),
                    "host": self.host,
                    "callers": f"{self.host}:{self.callers[1]}",
                    "readiness": f"{self.host}:{self.ready_port}",
                    "peer_port": peer_port,
                    "metrics_port": free_port(self.host),
                    "store": store,
                    "promoter": promoter,
                    "seeds": list(seeds),
                    "memory_mb": memory_mb,
                    "max_descriptors": max_descriptors,
                    "stop_s": stop_s,
                }
            ),
            encoding="utf-8",
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with DEPLOY_FILE.open("rb") as file:
            command = tomllib.load(file)["roles"]["proxy"]["run"]
        words = shlex.split(command)
        words[0] = sys.executable if words[0] == "python3" else words[0]
        with self._log.open("a") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BRONZEHOLD_NODE_FILE": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Returns whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait(5)

    def is_ready(self) -> bool:
        """Asks the readiness address as the platform does."""
        with contextlib.suppress(OSError):
            with socket.create_connection(
                (self.host, self.ready_port), 1.0
            ) as sock:
                sock.sendall(
                    b"GET /bronzehold/ready HTTP/1.1\r\n"
                    b"Host: ready\r\nConnection: close\r\n\r\n"
                )
                sock.settimeout(1.0)
                return b" 200 " in sock.recv(64)
        return False

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Waits until the process is ready; returns False after the timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def resident_mb(self) -> float:
        """Returns the resident memory of the process in MB."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def log_text(self) -> str:
        """Returns what the process has logged."""
        if not self._log.exists():
            return ""
        return self._log.read_text(errors="replace")


class Session:
    """A client's session in the line protocol.

    Attributes:
        sock: The connection.
    """

    def __init__(
        self, *, address: tuple[str, int], database: str, timeout_s: float = 10
    ):
        self.sock = socket.create_connection(address, timeout_s)
        self.sock.settimeout(timeout_s)
        self._buf = b""
        self.sock.sendall(f"STARTUP {database} u1\r\n".encode())
        first = self.read_line()
        if not first.startswith("READY"):
            self.sock.close()
            raise ConnectionError(first)

    def read_line(self) -> str:
        """Returns the next line; raises OSError if the connection ends."""
        while b"\r\n" not in self._buf:
            chunk = self.sock.recv(65536)
            if not chunk:
                raise ConnectionError("closed")
            self._buf += chunk
        line, _, self._buf = self._buf.partition(b"\r\n")
        return line.decode("latin-1")

    def send(self, request_id: str, text: str) -> None:
        """Sends a statement."""
        self.sock.sendall(f"QUERY {request_id} {text}\r\n".encode("latin-1"))

    def answer(self) -> list[str]:
        """Returns the lines of the next answer."""
        lines = []
        while not (lines and lines[-1].startswith("READY")):
            lines.append(self.read_line())
        return lines

    def ask(self, request_id: str, text: str) -> list[str]:
        """Sends a statement and returns the lines of its answer."""
        self.send(request_id, text)
        return self.answer()

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()
