"""Creates and runs stand-ins from their settings."""

import dataclasses

from bronzehold.process import signals
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import etcd as etcd_lib
from bronzehold.standin import server as server_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupSettings:
    """Settings of a stand-in database group.

    Attributes:
        group: Name of the group, which is the name of its service.
        endpoints: Addresses of the endpoints by name; the first endpoint is
            the primary of the first term.
        connections: Limit on client connections of each endpoint.
        slots: Number of statements that each endpoint runs concurrently.
        connect_ms: Added delay of a new connection in milliseconds.
        statement_ms: Added delay of each statement in milliseconds.
        zone_ms: One-way latency between zones of a region in milliseconds.
        region_ms: One-way latency between regions in milliseconds.
        lag_ms: Delay between receiving and applying an entry on a replica, in
            milliseconds.
    """

    group: str
    endpoints: dict[str, endpoint_lib.Address]
    connections: int = 16
    slots: int = 2
    connect_ms: float = 0.0
    statement_ms: float = 0.0
    zone_ms: float = 0.0
    region_ms: float = 0.0
    lag_ms: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Settings of the stand-in for the platform's key-value service."""

    host: str
    port: int


def make_servers(
    cfg: GroupSettings, only_endpoint: str = ""
) -> dict[str, server_lib.Server]:
    """Returns the servers of a group, not started, by endpoint name.

    Args:
        cfg: Settings of the group.
        only_endpoint: Name of the one endpoint to create, "" for all.
    """
    primary = next(iter(cfg.endpoints))
    return {
        name: server_lib.Server(
            settings=endpoint_lib.EndpointSettings(
                group=cfg.group,
                name=name,
                address=address,
                peers=cfg.endpoints,
                primary=primary,
                connections=cfg.connections,
                slots=cfg.slots,
                connect_ms=cfg.connect_ms,
                statement_ms=cfg.statement_ms,
                zone_ms=cfg.zone_ms,
                region_ms=cfg.region_ms,
                lag_ms=cfg.lag_ms,
            )
        )
        for name, address in cfg.endpoints.items()
        if only_endpoint in ("", name)
    }


def run_group(
    cfg: GroupSettings, only_endpoint: str, stop: signals.SignalPipe
) -> None:
    """Serves the endpoints of a group until a signal arrives.

    Args:
        cfg: Settings of the group.
        only_endpoint: Name of the one endpoint to serve, "" for all.
        stop: Receives the signals that end the servers.
    """
    running = make_servers(cfg, only_endpoint)
    for server in running.values():
        server.start()
    stop.wait()
    for server in running.values():
        server.close()


def run_platform(cfg: PlatformSettings, stop: signals.SignalPipe) -> None:
    """Serves the platform's key-value service until a signal arrives."""
    platform = etcd_lib.EtcdServer(host=cfg.host, port=cfg.port)
    platform.start()
    stop.wait()
    platform.close()
