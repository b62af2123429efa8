"""The platform of a small deployment: its store and one service.

What the operator and the servers write into the store is written here. The
store is the project's own stand-in.
"""

import collections.abc
import json
import threading

from bronzehold.platform import standin_store
from lib2 import database as database_lib

ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
SERVICE = "dele69a"
HEARTBEAT_S = 1.2
# The kinds of request of the sheet of Correo Andino.
ROUTES = (
    {
        "name": "r-intake",
        "database": "intake",
        "type": "primary",
        "timeout_ms": 800,
        "target_latency_ms": 300,
    },
    {
        "name": "r-inbox",
        "database": "inbox",
        "type": "bounded_staleness",
        "timeout_ms": 1500,
        "target_latency_ms": 600,
        "max_staleness_ms": 1500,
    },
    {
        "name": "r-dues",
        "database": "dues",
        "type": "read_your_writes",
        "timeout_ms": 800,
        "target_latency_ms": 500,
        "max_staleness_ms": 2500,
    },
)


class Platform:
    """The store, and what the operator and the servers write there.

    Attributes:
        database: The service.
        store: The store and the failover call.
        draining: Ids of the servers that report draining.
    """

    def __init__(
        self,
        *,
        record: collections.abc.Callable[[str], None],
        sync_replicas: int = 0,
    ):
        self._record = record
        self.database = database_lib.Database(
            name=SERVICE, record=record, sync_replicas=sync_replicas
        )
        self.store = standin_store.Store(groups={SERVICE: self.database})
        self.draining: set[str] = set()
        self._listed: set[str] = set()
        self._sequence = 0
        self._lock = threading.Lock()
        self._closed = threading.Event()
        for number, zone in enumerate(ZONES, 1):
            self.database.add(f"i-{number}", zone)
        self.database.on_role_change = self.beat
        self.database.start()
        self.store.start()
        self._configure()
        self.beat()
        threading.Thread(target=self._beat_forever, daemon=True).start()

    def _configure(self) -> None:
        common = {
            "prefix": "/",
            "service": SERVICE,
            "priority": 1,
            "max_attempts": 2,
        }
        table = {
            "version": 7,
            "routes": [{**route, **common} for route in ROUTES],
            "services": [
                {
                    "name": SERVICE,
                    "health_check_path": "/health",
                    "max_connections": database_lib.MAX_CONNECTIONS,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": self.database.sync_replicas,
                }
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("op/config", json.dumps(table).encode())

    def _beat_forever(self) -> None:
        while not self._closed.wait(HEARTBEAT_S):
            self.beat()

    def beat(self) -> None:
        """Writes the entries of the servers; removes those that have left."""
        with self._lock:
            self._sequence += 1
            for name, server in list(self.database.endpoints.items()):
                if not server.running:
                    if name in self._listed:
                        self._listed.discard(name)
                        self.store.remove(f"servers/{name}")
                    continue
                self._listed.add(name)
                entry = {
                    "service": SERVICE,
                    "address": server.address,
                    "zone": server.zone,
                    "version": "v1",
                    "capacity": 2,
                    "state": "draining" if name in self.draining else "ready",
                    "cold_remaining_ms": 0,
                    "db_role": "primary" if server.is_primary else "replica",
                    "sequence": self._sequence,
                    "born": 1,
                }
                self.store.put(f"servers/{name}", json.dumps(entry).encode())

    def drain(self, name: str) -> None:
        """Lets a server report that it drains."""
        self._record(f"server {name} reports draining")
        self.draining.add(name)
        self.beat()

    def end(self, name: str) -> None:
        """Ends a server that has drained; its entry is removed."""
        self._record(f"server {name} has left")
        self.database.endpoints[name].stop()
        self.beat()

    def close(self) -> None:
        """Ends the stand-ins."""
        self._closed.set()
        self.database.close()
        self.store.close()
