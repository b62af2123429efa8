"""Starts proxy processes with simulated endpoints and a simulated store.

The proxies reach the endpoints and the store through relays (see `relay`), at
which the `faults` module injects network faults.
"""

import collections.abc
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import urllib.error
import urllib.request

from bench.soak import records as records_lib
from bench.soak import relay as relay_lib
from bronzehold.platform import local
from bronzehold.tools import local as tools_local

STOP_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 20.0
KILL_TIMEOUT_S = 2.0


class Proxy:
    """A proxy process, its settings file and its relay to the store.

    Attributes:
        name: The name of the proxy.
        store: The relay through which the proxy reaches the store.
        caller_address: The host and port for callers.
        stop_s: The time for a planned stop, in seconds.
    """

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        peer_port: int,
        store: relay_lib.Relay,
        stop_s: float,
    ):
        host = f"127.0.0.{number + 1}"
        self.name = f"p{number}"
        self.store = store
        self.stop_s = stop_s
        self.caller_address = (host, tools_local.free_port())
        self._readiness_address = f"{host}:{tools_local.free_port()}"
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._settings.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "zone": f"z{number % 3 + 1}",
                    "regions": local.ZONE_REGIONS,
                    "host": host,
                    "callers": f"{host}:{self.caller_address[1]}",
                    "readiness": self._readiness_address,
                    "peer_port": peer_port,
                    "metrics_port": tools_local.free_port(),
                    "store": store.address,
                    "promoter": store.address,
                    "seeds": ["127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"],
                    "stop_s": stop_s,
                }
            )
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        with self._log.open("a") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bronzehold.platform"],
                env={
                    **os.environ,
                    "BRONZEHOLD_NODE_FILE": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def log_lines(self) -> list[str]:
        """Returns the log lines of all its processes."""
        return self._log.read_text(errors="replace").splitlines()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running():
            self._process.send_signal(number)

    def wait_for_exit(self, seconds: float) -> bool:
        """Waits for the process to exit; returns False after the timeout."""
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def is_running(self) -> bool:
        """Returns whether the process was started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.signal(signal.SIGKILL)
        self.wait_for_exit(KILL_TIMEOUT_S)

    def is_ready(self) -> bool:
        """Returns whether the proxy reports that it accepts callers."""
        url = f"http://{self._readiness_address}/bronzehold/ready"
        with contextlib.suppress(OSError, urllib.error.URLError):
            with urllib.request.urlopen(url, timeout=1.0) as answer:  # noqa: S310
                return answer.status == 200
        return False


class Deployment(local.Deployment):
    """A simulated group and store behind relays, with proxy processes.

    Attributes:
        relays: The relay of each endpoint, by endpoint name.
        processes: The proxies.
        workspaces: The workspaces of the configuration, if it has any.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        proxies: int,
        seed: int,
        stop_s: float = STOP_TIMEOUT_S,
        workspaces: collections.abc.Sequence[records_lib.Workspace] = (),
        **fields,
    ):
        self._seed = seed
        self.workspaces = workspaces
        self._withdrawn_keys: set[str] = set()
        self._configure_lock = threading.RLock()
        self.relays: dict[str, relay_lib.Relay] = {}
        super().__init__(proxies=0, **fields)
        self.processes = [
            Proxy(
                number=number,
                folder=folder,
                peer_port=self.peer_port,
                store=self._relay(lambda: self.store.address),
                stop_s=stop_s,
            )
            for number in range(proxies)
        ]

    def _relay(self, target) -> relay_lib.Relay:
        self._seed += 1
        return relay_lib.Relay(target=target, seed=self._seed)

    def configure(self, *, max_connections: int = 0, **fields) -> None:
        """Writes the next configuration, see local.Deployment.configure.

        Args:
            max_connections: Limit on connections to each endpoint, 0 for the
                limit that the endpoints have.
            **fields: Further arguments of local.Deployment.configure.
        """
        with self._configure_lock:
            super().configure(
                max_connections=max_connections
                or self.group.settings.connections,
                workspaces=self._workspace_entries() or None,
                **fields,
            )

    def _workspace_entries(self) -> list[dict]:
        entries = []
        for workspace in self.workspaces:
            keys = [k for k in workspace.keys if k not in self._withdrawn_keys]
            entry = {"name": workspace.name, "api_keys": keys}
            if workspace.rate_per_s is not None:
                entry["rate_per_s"] = workspace.rate_per_s
                entry["burst"] = workspace.burst
            entries.append(entry)
        return entries

    def withdraw_key(self, key: str) -> bool:
        """Writes a configuration without a key; False if it has none."""
        with self._configure_lock:
            if key in self._withdrawn_keys:
                return False
            self._withdrawn_keys.add(key)
            self.configure()
            return True

    def add_key_again(self, key: str) -> None:
        """Writes a configuration with a key that was withdrawn."""
        with self._configure_lock:
            self._withdrawn_keys.remove(key)
            self.configure()

    def address(self, name: str) -> str:
        """Returns the address of the relay in front of an endpoint."""
        endpoint = self.group.endpoints[name]
        if name not in self.relays:
            self.relays[name] = self._relay(lambda: endpoint.address)
        return self.relays[name].address

    def start(self) -> None:
        """Starts the proxies and waits until all are ready."""
        for proxy in self.processes:
            proxy.start()
        local.wait_until(
            lambda: all(p.is_ready() for p in self.processes), READY_TIMEOUT_S
        )

    def close(self) -> None:
        """Stops all proxies, relays, endpoints and the store."""
        for proxy in self.processes:
            proxy.signal(signal.SIGCONT)
            proxy.kill()
            proxy.store.close()
        for relay in self.relays.values():
            relay.close()
        super().close()
