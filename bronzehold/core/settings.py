"""The settings of a proxy process, read from its JSON file."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class User:
    """A user that callers may authenticate as.

    Attributes:
        name: User name.
        password: Password for SCRAM-SHA-256; if empty, callers need none.
    """

    name: str
    password: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals and timeouts of the proxy.

    All proxies of one deployment must have the same grant_ms.

    Attributes:
        poll_ms: Interval between two polls of an endpoint in ms.
        poll_timeout_ms: Timeout of a poll in ms.
        detect_ms: Time in ms without an answer after which a primary counts as
            failed.
        refused_ms: The same time if the endpoint refuses connections.
        grant_ms: Validity of a grant in ms, from the start of its poll round.
        heartbeat_ms: Interval between two heartbeats to a peer in ms.
        peer_silence_ms: Time in ms without a heartbeat after which a peer
            counts as failed.
        stall_ms: Maximum time in ms in which no replica catches up with its
            primary, before the primary is replaced.
        takeover_ms: Maximum time in ms without progress in a change of
            primary, before another proxy may take it over.
        lease_s: Time to live of the proxy's registration in the platform.
        reread_s: Interval between two reads of the configuration in seconds.
        queue_ms: Maximum expected wait of a request for an endpoint in ms; a
            longer queue would only make more callers wait.
        replica_wait_ms: Time in ms that a read waits for a replica to be fresh
            before it goes to the primary.
        announce_ms: Time in ms for which a stopping proxy still accepts
            connections.
        stop_ms: Time in ms for which a stopping proxy waits for requests in
            flight.
    """

    poll_ms: int = 100
    poll_timeout_ms: int = 500
    detect_ms: int = 800
    refused_ms: int = 400
    grant_ms: int = 800
    heartbeat_ms: int = 200
    peer_silence_ms: int = 1000
    stall_ms: int = 2000
    takeover_ms: int = 2000
    lease_s: int = 3
    reread_s: int = 10
    queue_ms: int = 250
    replica_wait_ms: int = 30
    announce_ms: int = 1000
    stop_ms: int = 20000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """The settings of a proxy process that fences primaries itself.

    Attributes:
        name: Name, unique among the proxies.
        host: IP address for callers and peers.
        port: TCP port for callers.
        peer_port: TCP port for peers and operators.
        zone: Availability zone.
        region: Region of the zone.
        platform: "host:port" of the key-value service.
        seeds: "host:port" of peers that are contacted without asking the
            platform, for times when it is unavailable.
        users: Users that callers may authenticate as; if empty, every user is
            accepted.
        endpoint_user: User name for connections to endpoints.
        endpoint_password: Password for connections to endpoints.
        log_level: Level of the JSON logs.
        timing: Intervals and timeouts.
        memory_mb: Memory of the machine in MiB that the process may use, 0 to
            take it from the system.
        max_descriptors: Maximum number of open descriptors, 0 to take it from
            the system.
        receive_budget_mb: Memory in MiB for the messages of callers and peers
            and for answers that they have not taken, 0 for a part of
            memory_mb.
    """

    name: str
    host: str
    port: int
    peer_port: int
    zone: str
    region: str
    platform: str
    seeds: tuple[str, ...] = ()
    users: tuple[User, ...] = ()
    endpoint_user: str = "bronzehold"
    endpoint_password: str = ""
    log_level: str = "INFO"
    timing: Timing = Timing()
    memory_mb: int = 0
    max_descriptors: int = 0
    receive_budget_mb: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """The settings of a proxy process where the platform fences primaries.

    Attributes:
        name: Name, unique among the proxies.
        zone: Availability zone.
        regions: Region of each availability zone.
        host: IP address for peers.
        callers: "host:port" for callers.
        readiness: "host:port" of the load balancer's readiness check.
        peer_port: TCP port for peers.
        metrics_port: TCP port for metrics.
        store: "host:port" of the platform's key-value service.
        promoter: "host:port" of the platform's failover interface.
        seeds: "host:port" of instances where peers may run; peer_port replaces
            the port.
        stop_s: Maximum duration of a planned stop in seconds.
        drain_ms: Time in ms within which a leaving primary must be replaced,
            from the report that it leaves.
        log_level: Level of the JSON logs.
        key_max_age_ms: Time in ms without a confirmation of the configuration
            after which keys of workspaces are not trusted any more, 0 for no
            bound.
        limit_window_s: Window of the rate limits of workspaces in seconds.
        limit_overage: Part of a limit by which the operations in a window may
            exceed it.
        limit_slack: Number of operations by which they may exceed it in
            addition.
        memory_mb: Memory of the machine in MiB that the process may use, 0 to
            take it from the system.
        max_descriptors: Maximum number of open descriptors, 0 to take it from
            the system.
        receive_budget_mb: Memory in MiB for the messages of callers and peers
            and for answers that they have not taken, 0 for a part of
            memory_mb.
    """

    name: str
    zone: str
    regions: dict[str, str]
    host: str
    callers: str
    readiness: str
    peer_port: int
    metrics_port: int
    store: str
    promoter: str
    seeds: tuple[str, ...]
    stop_s: float
    drain_ms: int = 5000
    log_level: str = "INFO"
    key_max_age_ms: int = 0
    limit_window_s: float = 5.0
    limit_overage: float = 0.1
    limit_slack: float = 20.0
    memory_mb: int = 0
    max_descriptors: int = 0
    receive_budget_mb: int = 0
