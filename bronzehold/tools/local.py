"""Runs a small deployment in one process, for the demo, tests and benchmarks.

A deployment consists of a stand-in key-value store, stand-in database groups
and proxies, all on the loopback interface.
"""

import contextlib
import dataclasses
import functools
import itertools
import os
import socket
import time

from bronzehold.core import data
from bronzehold.core import settings
from bronzehold.process import etcd_store
from bronzehold.process import proxy as proxy_lib
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import etcd as etcd_standin
from bronzehold.standin import launch
from bronzehold.standin import server as server_lib
from bronzehold.version import config

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
FIRST_PORT = 10_000
PORTS_PER_SLICE = 250
PORT_SLICES = 88

_ports = itertools.count()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Zone:
    """An availability zone and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """Settings of a deployment.

    Attributes:
        services: Names of the services, each with a group of its own.
        endpoints: Number of endpoints of each group.
        proxies: Number of proxies.
        zones: Zones to which endpoints and proxies are assigned in turn.
        group: Template of the groups; its names are replaced.
        service: Template of the services; its name is replaced.
        timing: Timeouts and intervals of the proxies.
    """

    services: tuple[str, ...] = ("mail",)
    endpoints: int = 3
    proxies: int = 2
    zones: tuple[Zone, ...] = (Zone(name="zone-1", region="region-1"),)
    group: launch.GroupSettings = launch.GroupSettings(group="", endpoints={})
    service: data.Service = data.Service(name="", endpoints=(), max_age_ms=2000)
    # All parts share one interpreter, so requests wait in queues for longer.
    timing: settings.Timing = settings.Timing(queue_ms=5000)


class NoFreePortError(Exception):
    """Other processes have claimed all ranges of ports."""


@functools.cache
def _claim_ports() -> tuple[int, socket.socket]:
    """Claims a range of ports for this process.

    The claim is a socket that is bound to the first port of the range until
    the process ends.

    Returns:
        The first port to use, and the socket.
    """
    for attempt in range(PORT_SLICES):
        number = (os.getpid() + attempt) % PORT_SLICES
        first = FIRST_PORT + number * PORTS_PER_SLICE
        claim = socket.socket()
        try:
            claim.bind((HOST, first))
        except OSError:
            claim.close()
            continue
        return first + 1, claim
    raise NoFreePortError


def free_port() -> int:
    """Returns a port that no process uses for TCP or UDP.

    Each process draws from its own range, below the ephemeral ports, so that
    no other process or outgoing connection takes the port before its use.

    Raises:
        NoFreePortError: Other processes have claimed all ranges.
    """
    first, _ = _claim_ports()
    while True:
        port = first + next(_ports) % (PORTS_PER_SLICE - 1)
        if _is_free(socket.SOCK_STREAM, port) and _is_free(
            socket.SOCK_DGRAM, port
        ):
            return port


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            # Any address: proxies of a deployment use several of loopback.
            sock.bind(("", port))
        except OSError:
            return False
        return True


class Deployment:
    """Stand-ins and proxies that run in this process."""

    def __init__(self, *, shape: Shape):
        self.shape = shape
        self.platform = etcd_standin.EtcdServer(host=HOST, port=0)
        self.store = etcd_store.EtcdStore(target=f"{HOST}:{self.platform.port}")
        self.servers: dict[str, server_lib.Server] = {}
        self.services: list[data.Service] = []
        self.proxies: list[proxy_lib.Proxy] = []
        for number, name in enumerate(shape.services):
            self._add_service(name, number)

    def _add_service(self, name: str, number: int) -> None:
        shape = self.shape
        addresses: dict[str, endpoint_lib.Address] = {}
        for i in range(shape.endpoints):
            zone = shape.zones[(number + i) % len(shape.zones)]
            addresses[f"{name}-{i}"] = endpoint_lib.Address(
                host=HOST,
                port=free_port(),
                zone=zone.name,
                region=zone.region,
            )
        group = dataclasses.replace(
            shape.group, group=name, endpoints=addresses
        )
        self.servers.update(launch.make_servers(group))
        endpoints = tuple(
            data.Endpoint(
                name=ep,
                host=place.host,
                port=place.port,
                zone=place.zone,
                region=place.region,
                connections=group.connections,
                slots=group.slots,
            )
            for ep, place in addresses.items()
        )
        self.services.append(
            dataclasses.replace(shape.service, name=name, endpoints=endpoints)
        )

    def start(self) -> None:
        """Starts all parts and waits until the deployment is ready."""
        self.platform.start()
        for server in self.servers.values():
            server.start()
        self.configure(tuple(self.services))
        for _ in range(self.shape.proxies):
            self.add_proxy()
        self.wait_ready()

    def configure(self, services: tuple[data.Service, ...]) -> int:
        """Writes a configuration and returns its revision."""
        found = self.store.get(etcd_store.CONFIG_KEY)
        old = config.decode(found.value, "platform")
        new = config.successor(old, author="local", services=services)
        self.store.compare_and_swap(found, config.encode(new))
        return new.revision

    def add_proxy(self, **fields) -> proxy_lib.Proxy:
        """Starts another proxy; `fields` override its default settings."""
        number = len(self.proxies)
        zone = self.shape.zones[number % len(self.shape.zones)]
        defaults = {
            "name": f"proxy-{number}",
            "host": HOST,
            "port": 0,
            "peer_port": 0,
            "zone": zone.name,
            "region": zone.region,
            "platform": f"{HOST}:{self.platform.port}",
            "timing": self.shape.timing,
        }
        cfg = settings.Settings(**{**defaults, **fields})
        proxy = proxy_lib.Proxy(cfg=cfg)
        proxy.start()
        self.proxies.append(proxy)
        return proxy

    def wait_ready(self) -> None:
        """Waits until each proxy has its grants and has found its peers.

        Raises:
            TimeoutError: The deployment was not ready within READY_TIMEOUT_S.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(self._is_ready(p) for p in self.proxies):
            if time.monotonic() > end:
                raise TimeoutError(
                    f"the deployment is not ready after {READY_TIMEOUT_S:g} s"
                )
            time.sleep(POLL_INTERVAL_S)

    def _is_ready(self, proxy: proxy_lib.Proxy) -> bool:
        services = [proxy.catalog.find(s.name) for s in self.services]
        others = len(self.proxies) - 1
        return (
            all(s is not None and s.group.grant() for s in services)
            and len(proxy.peers.live_peers()) >= others
            and proxy.peers.voter_count() == len(self.proxies)
        )

    def primary(self, service: str) -> str:
        """Returns the current primary of a service, or "" if there is none."""
        found = [
            (server.endpoint.log_term, name)
            for name, server in self.servers.items()
            if server.endpoint.settings.group == service
            and server.endpoint.role is data.Role.PRIMARY
        ]
        return max(found)[1] if found else ""

    def url(self, proxy: int, service: str = "") -> str:
        """Returns the connection string for a service through a proxy."""
        name = service or self.shape.services[0]
        port = self.proxies[proxy].port
        return f"host={HOST} port={port} user=app dbname={name}"

    def urls(self) -> tuple[str, ...]:
        """Returns the connection string of the first service for each proxy."""
        return tuple(self.url(i) for i in range(len(self.proxies)))

    def close(self) -> None:
        """Stops all proxies and stand-ins."""
        for proxy in self.proxies:
            proxy.close()
        for server in self.servers.values():
            server.close()
        self.store.close()
        self.platform.close()


@contextlib.contextmanager
def running(shape: Shape):
    """Runs a deployment for the length of a block."""
    deployment = Deployment(shape=shape)
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.close()
