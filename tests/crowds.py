"""Processes of the system under crowds of callers that misbehave.

A crowd is a set of sockets that one thread feeds without blocking, so that a
process that stops reading does not stop the crowd.
"""

import contextlib
import errno
import json
import os
import pathlib
import resource
import select
import socket
import subprocess
import sys
import time
import urllib.request

import psycopg

from bench import cluster as cluster_lib
from bronzehold.core import ports
from bronzehold.platform import local
from bronzehold.tools import local as tools_local
from tests import helpers

HOST = "127.0.0.1"
MEBIBYTE = 1 << 20
# Limits of the process under test. Its open descriptors are limited by the
# system too, so that a lack of them shows.
MAX_DESCRIPTORS = 512
LIMITS = {
    "memory_mb": 200,
    "receive_budget_mb": 8,
    "max_descriptors": MAX_DESCRIPTORS,
}
# A crowd stops when no socket has taken a byte for this long.
STALL_S = 1.0
PUSH_TIMEOUT_S = 12.0
# Well above the time that any process needs to get rid of a crowd.
SERVED_TIMEOUT_S = 25.0
CHUNK_BYTES = 65536
SETTLE_INTERVAL_S = 1.5
SETTLE_TIMEOUT_S = 8.0
CONNECT_TIMEOUT_S = 4.0


class Watched:
    """Resources of a process; see proc(5).

    Attributes:
        process: The process.
    """

    def __init__(self, *, process: subprocess.Popen):
        self.process = process
        self._start_kib = 0

    def limit_descriptors(self) -> None:
        """Limits the open descriptors of the process."""
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    def mark_start(self) -> None:
        """Records the memory in use before the crowd comes."""
        self._start_kib = self._status_kib("VmRSS")

    def _status_kib(self, name: str) -> int:
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
        raise LookupError(name)

    def growth_mib(self) -> float:
        """Returns the largest resident memory above that before the crowd."""
        return (self._status_kib("VmHWM") - self._start_kib) / 1024

    def descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def is_running(self) -> bool:
        """Returns whether the process has not exited."""
        return self.process.poll() is None

    def settle(self) -> None:
        """Waits until the process has taken what a crowd has sent to it."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        previous = None
        while self.is_running() and time.monotonic() < end:
            figures = (int(self.growth_mib()), self.descriptors())
            if figures == previous:
                return
            previous = figures
            time.sleep(SETTLE_INTERVAL_S)


class PlatformProxy(Watched):
    """A process of the line protocol, with stand-ins of group and store."""

    def __init__(self, *, folder: pathlib.Path):
        self.deployment = local.Deployment(proxies=0, connections=32, slots=4)
        self.callers = (HOST, tools_local.free_port())
        self.peers = (HOST, self.deployment.peer_port)
        self.readiness = (HOST, tools_local.free_port())
        self.metrics = (HOST, tools_local.free_port())
        path = folder / "settings.json"
        path.write_text(
            json.dumps(
                {
                    "name": "p0",
                    "zone": "z1",
                    "regions": local.ZONE_REGIONS,
                    "host": HOST,
                    "callers": f"{HOST}:{self.callers[1]}",
                    "readiness": f"{HOST}:{self.readiness[1]}",
                    "peer_port": self.peers[1],
                    "metrics_port": self.metrics[1],
                    "store": self.deployment.store.address,
                    "promoter": self.deployment.store.address,
                    "seeds": [f"{HOST}:1"],
                    "stop_s": 3.0,
                    **LIMITS,
                }
            )
        )
        with (folder / "proxy.log").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "bronzehold.platform"],
                env={**os.environ, "BRONZEHOLD_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )
        super().__init__(process=process)
        self.limit_descriptors()
        helpers.wait_for(self.serves, SERVED_TIMEOUT_S)

    def serves(self, database: str = "own") -> bool:
        """Returns whether a new caller's write and read are answered."""
        try:
            session = local.connect(self.callers, database)
        except (OSError, ports.TransportError, local.UnexpectedAnswerError):
            return False
        with contextlib.closing(session.sock):
            try:
                session.rows("WRITE ordinary 1")
                return session.rows("READ ordinary") == ["1"]
            except (OSError, ports.TransportError):
                return False
            except local.UnexpectedAnswerError:
                return False

    def is_ready(self) -> bool:
        """Returns whether the check of the load balancer succeeds."""
        url = f"http://{HOST}:{self.readiness[1]}/bronzehold/ready"
        with contextlib.suppress(OSError):
            with urllib.request.urlopen(url, timeout=1.0) as answer:  # noqa: S310
                return answer.status == 200
        return False

    def store(self, key: str, size: int) -> None:
        """Writes a value of a size to a key of the group."""
        session = local.connect(self.callers, "own")
        with contextlib.closing(session.sock):
            session.rows(f"WRITE {key} {'v' * size}")

    def close(self) -> None:
        """Ends the process and the stand-ins."""
        self.process.kill()
        self.process.wait()
        self.deployment.close()


class PostgresProxy(Watched):
    """A process of the PostgreSQL path in a cluster of processes."""

    def __init__(self, *, folder: pathlib.Path):
        self._stack = contextlib.ExitStack()
        self._cluster = self._stack.enter_context(
            cluster_lib.running(folder, proxies=1, proxy_settings=LIMITS)
        )
        super().__init__(process=self._cluster.processes["proxy-0"])
        self.callers = (HOST, self._cluster.ports["proxy-0"])
        self.limit_descriptors()
        with self._cluster.connect("proxy-0") as conn:
            conn.execute("CREATE TABLE kept (id INTEGER PRIMARY KEY, v TEXT)")
        helpers.wait_for(self.serves, SERVED_TIMEOUT_S)

    def serves(self) -> bool:
        """Returns whether a new caller's statement is answered."""
        try:
            with self._cluster.connect("proxy-0") as conn:
                conn.execute("SELECT count(*) FROM kept").fetchall()
                return True
        except psycopg.Error:
            return False

    def store(self, key: int, size: int) -> None:
        """Inserts a value of a size."""
        with self._cluster.connect("proxy-0") as conn:
            conn.execute(f"INSERT INTO kept VALUES ({key}, '{'v' * size}')")

    def close(self) -> None:
        """Ends all processes of the cluster."""
        self._stack.close()


class Crowd:
    """Connections to one port."""

    def __init__(self, *, address: tuple[str, int], size: int):
        self.socks: list[socket.socket] = []
        for _ in range(size):
            sock = socket.socket()
            # Little of an answer fits into the receive buffer of the caller.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            self.socks.append(sock)
            code = sock.connect_ex(address)
            assert code in (0, errno.EINPROGRESS), os.strerror(code)
        self._pending = [b""] * size
        self._await_connected()

    def _await_connected(self) -> None:
        """Waits for the connections; the others stay on the way."""
        end = time.monotonic() + CONNECT_TIMEOUT_S
        waiting = {sock.fileno() for sock in self.socks}
        poller = select.poll()
        for fd in waiting:
            poller.register(fd, select.POLLOUT)
        while waiting and time.monotonic() < end:
            for fd, _ in poller.poll(STALL_S * 1000):
                poller.unregister(fd)
                waiting.remove(fd)

    def push(self, *data: bytes) -> None:
        """Sends the same bytes on all connections, as far as they are taken.

        Args:
            *data: Pieces; each is sent on all connections before the next one.
        """
        for piece in data:
            self._pending = [rest + piece for rest in self._pending]
            self._flush()

    def _flush(self) -> None:
        poller = select.poll()
        by_fd = {}
        for number, sock in enumerate(self.socks):
            if self._pending[number]:
                by_fd[sock.fileno()] = number
                poller.register(sock, select.POLLOUT)
        end = time.monotonic() + PUSH_TIMEOUT_S
        while by_fd and time.monotonic() < end:
            events = poller.poll(STALL_S * 1000)
            if not events:
                return
            for fd, _ in events:
                self._send_some(by_fd[fd])
                if not self._pending[by_fd[fd]]:
                    poller.unregister(fd)
                    del by_fd[fd]

    def _send_some(self, number: int) -> None:
        rest = self._pending[number]
        try:
            sent = self.socks[number].send(rest[:CHUNK_BYTES])
            self._pending[number] = rest[sent:]
        except BlockingIOError:
            return
        except OSError:
            # The process has closed this connection.
            self._pending[number] = b""

    def read_some(self, size: int) -> None:
        """Reads up to some bytes on each connection."""
        for sock in self.socks:
            with contextlib.suppress(OSError):
                sock.recv(size)

    def close(self) -> None:
        """Closes all connections."""
        for sock in self.socks:
            sock.close()
