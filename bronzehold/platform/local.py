"""A local deployment on stand-ins of the platform, for the demo and tests.

A deployment consists of the stand-in store, one stand-in database group and
several proxies. The proxies run in this process, listen on loopback addresses
and use the same settings and protocols as on the users' platform.
"""

import collections.abc
import contextlib
import json
import socket
import threading
import time

from bronzehold.core import addresses
from bronzehold.core import settings
from bronzehold.platform import instance
from bronzehold.platform import standin_group
from bronzehold.platform import standin_store
from bronzehold.platform import wire
from bronzehold.tools import local as tools_local

# Region of each availability zone.
ZONE_REGIONS = {"z1": "r1", "z2": "r2", "z3": "r3"}
# Name of the database group.
SERVICE = "grp"
READY_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
# Well above the timeout of a route, so a later answer counts as lost.
ANSWER_TIMEOUT_S = 10.0
# Consistency settings of each route. A route is named after its database.
DATABASES = {
    "latest": {"type": "primary"},
    "bounded": {"type": "bounded_staleness", "max_staleness_ms": 1500},
    "own": {"type": "read_your_writes", "max_staleness_ms": 2500},
}


def wait_until(
    check: collections.abc.Callable[[], object],
    seconds: float = READY_TIMEOUT_S,
) -> None:
    """Waits until a condition holds.

    Args:
        check: Returns a true value when the condition holds.
        seconds: Timeout, in seconds.

    Raises:
        TimeoutError: The condition did not hold before the timeout.
    """
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            raise TimeoutError(f"the condition did not hold within {seconds} s")
        time.sleep(POLL_INTERVAL_S)


class UnexpectedAnswerError(Exception):
    """A proxy answered with an error where a success was expected."""


class Session:
    """A caller's connection to a proxy, in the line protocol.

    Attributes:
        sock: The connection's socket.
        lines: Reader of the lines that the proxy sends.
        name: Prefix of the ids of this session's statements.
        sent_count: Number of statements sent.
    """

    def __init__(
        self, *, sock: socket.socket, lines: wire.LineReader, name: str = ""
    ):
        self.sock = sock
        self.lines = lines
        self.name = name or f"{id(self):x}"
        self.sent_count = 0

    def execute(self, text: str) -> list[str]:
        """Executes a statement and returns the lines of its answer."""
        self.send(text)
        return self.read_answer()

    def send(self, text: str) -> str:
        """Sends a statement without reading its answer and returns its id."""
        self.sent_count += 1
        request_id = f"{self.name}.{self.sent_count}"
        self.sock.sendall(f"QUERY {request_id} {text}\r\n".encode())
        return request_id

    def read_answer(self) -> list[str]:
        """Returns the lines of the next answer, up to its READY line."""
        answer = []
        while not (answer and answer[-1].startswith("READY")):
            answer.append(self.lines.read_line().decode())
        return answer

    def rows(self, text: str) -> list[str]:
        """Executes a statement and returns the rows of its answer.

        Raises:
            UnexpectedAnswerError: The answer is an error.
        """
        answer = self.execute(text)
        if not answer[-2].startswith("COMPLETE"):
            raise UnexpectedAnswerError(answer[-2])
        return [line[4:] for line in answer[:-2]]


def connect(
    address: tuple[str, int], database: str, name: str = "", key: str = "test"
) -> Session:
    """Opens a caller's session at a proxy.

    Args:
        address: Host and port on which the proxy accepts callers.
        database: Database that the session uses; selects the route.
        name: Prefix of the statement ids, "" for a generated one.
        key: Key that the caller presents.

    Raises:
        OSError: The connection could not be opened.
        ports.TransportError: The connection closed before the first answer.
        UnexpectedAnswerError: The proxy refused the session.
    """
    sock = socket.create_connection(address, ANSWER_TIMEOUT_S)
    sock.sendall(f"STARTUP {database} {key}\r\n".encode())
    lines = wire.LineReader(sock=sock)
    welcome = lines.read_line().decode()
    if welcome != "READY I -":
        sock.close()
        raise UnexpectedAnswerError(welcome)
    return Session(sock=sock, lines=lines, name=name)


class Deployment:
    """A store, a group of three endpoints and several proxies.

    Attributes:
        group: The stand-in database group, with endpoints e1, e2 and e3 in
            the availability zones z1, z2 and z3.
        store: The stand-in of the platform's store.
        version: Version of the last written configuration.
        peer_port: Port on which all proxies exchange gossip.
        proxies: The running proxies.
    """

    def __init__(
        self,
        *,
        proxies: int = 2,
        store_era: int | None = None,
        drain_ms: int = 5000,
        **fields,
    ):
        self._drain_ms = drain_ms
        zones = {f"e{n}": f"z{n}" for n in (1, 2, 3)}
        self.group = standin_group.Group(
            settings=standin_group.GroupSettings(
                service=SERVICE, zones=zones, **fields
            )
        )
        self.store = standin_store.Store(groups={SERVICE: self.group})
        self.store.era = store_era
        # Value of each entry of an operator or an endpoint, by key, for a store
        # that has lost some of them.
        self._entries: dict[str, bytes] = {}
        self._sequence = 0
        self._born = dict.fromkeys(zones, 1)
        self._draining: frozenset[str] = frozenset()
        self._publish_lock = threading.Lock()
        self.group.on_role_change = self.publish_listings
        self.group.start()
        self.store.start()
        self.version = 0
        # All instances use the same peer port, as on the platform.
        self.peer_port = tools_local.free_port()
        self.configure()
        self.publish_listings()
        self.proxies = [self.start_proxy(n) for n in range(proxies)]

    def start_proxy(
        self, number: int, *, ready: bool = True, callers_port: int = 0
    ) -> instance.Instance:
        """Starts a proxy.

        Args:
            number: Number of the proxy; determines its name, host and zone.
            ready: Whether to wait until the proxy accepts callers and knows
                the primary.
            callers_port: Port for callers, 0 for a free one.
        """
        host = f"127.0.0.{number + 1}"
        cfg = settings.PlatformSettings(
            name=f"p{number}",
            zone=f"z{number % 3 + 1}",
            regions=ZONE_REGIONS,
            host=host,
            callers=f"{host}:{callers_port or tools_local.free_port()}",
            readiness=f"{host}:{tools_local.free_port()}",
            peer_port=self.peer_port,
            metrics_port=tools_local.free_port(),
            store=self.store.address,
            promoter=self.store.address,
            seeds=("127.0.0.1:1", "127.0.0.2:1"),
            stop_s=6.0,
            drain_ms=self._drain_ms,
        )
        proxy = instance.Instance(cfg=cfg)
        proxy.start()
        if ready:
            wait_until(
                lambda: proxy.listening and self.leader(proxy) is not None
            )
        return proxy

    def leader(self, proxy: instance.Instance) -> str | None:
        """Returns the id of the primary that a proxy knows, None for none."""
        service = proxy.process.service(SERVICE)
        found = service.group.leader() if service else None
        return found.endpoint if found and found.term else None

    def configure(
        self,
        *,
        max_connections: int = 16,
        marker: str = "",
        workspaces: list[dict] | None = None,
        **fields,
    ) -> None:
        """Writes the next version of the configuration to the store.

        Args:
            max_connections: Limit on connections to each endpoint.
            marker: Name of a database that only this version has, "" for none.
            workspaces: Workspaces as operators write them, None for none.
            **fields: Fields to set or replace in every route.
        """
        self.version += 1
        databases = dict(DATABASES)
        if marker:
            databases[marker] = {"type": "primary"}
        routes = [
            {
                "name": name,
                "database": name,
                "service": SERVICE,
                "timeout_ms": 800,
                "target_latency_ms": 300,
                "priority": 1,
                **kind,
                **fields,
            }
            for name, kind in databases.items()
        ]
        table = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "max_connections": max_connections,
                    "sync_replicas": self.group.settings.sync_replicas,
                }
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        if workspaces is not None:
            table["tenants"] = workspaces
        self._write("op/config", table)

    def add_endpoint(self, name: str, zone: str) -> None:
        """Starts a further replica and lists it."""
        self.group.add_endpoint(name, zone)
        self._born[name] = 1
        self.publish_listings(draining=self._draining)

    def address(self, name: str) -> str:
        """Returns the address at which proxies connect to an endpoint."""
        return self.group.endpoints[name].address

    def publish_listings(self, draining: frozenset[str] = frozenset()) -> None:
        """Writes the listing of every endpoint to the store.

        Args:
            draining: Ids of the endpoints that are listed as draining.
        """
        entries = {}
        for name, endpoint in self.group.endpoints.items():
            entries[name] = {
                "service": SERVICE,
                "address": self.address(name),
                "zone": endpoint.zone,
                "version": "v1",
                "capacity": self.group.settings.slots,
                "state": "draining" if name in draining else "ready",
                "cold_remaining_ms": 0,
                "db_role": "primary" if endpoint.is_primary else "replica",
            }
        # Two threads must not write a lower number after a higher one.
        with self._publish_lock:
            self._sequence += 1
            if self.store.era is not None:
                # With eras, an endpoint that has drained is ready again only
                # after a restart.
                for name in self._draining - draining:
                    self._born[name] += 1
            self._draining = draining
            for name, entry in entries.items():
                entry["sequence"] = self._sequence
                entry["born"] = self._born[name]
                self._write(f"servers/{name}", entry)

    def _write(self, key: str, fields: dict) -> None:
        self._entries[key] = json.dumps(fields).encode()
        self.store.put(key, self._entries[key])

    def write_entries_again(self) -> None:
        """Writes the latest configuration and listings again.

        The operator and the endpoints do so after the store has returned from
        an older copy.
        """
        with self._publish_lock:
            for key, value in list(self._entries.items()):
                self.store.put(key, value)

    def connect(
        self, database: str, proxy: int = 0, key: str = "test"
    ) -> Session:
        """Opens a caller's session at the proxy with the given index."""
        address = addresses.split(self.proxies[proxy].cfg.callers)
        return connect(address, database, key=key)

    def close(self) -> None:
        """Stops the proxies, the group and the store."""
        for proxy in self.proxies:
            proxy.close()
        self.group.close()
        self.store.close()


@contextlib.contextmanager
def running(**fields):
    """Runs a deployment for the duration of a with block.

    Args:
        **fields: The number of proxies and settings of the group, see
            Deployment and standin_group.GroupSettings.
    """
    deployment = Deployment(**fields)
    try:
        yield deployment
    finally:
        deployment.close()
