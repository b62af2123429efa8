"""The operators' configuration for groups that manage their own terms.

A route maps a database name that callers connect to onto a service and sets
how fresh the data of its reads must be. A service is a database group. The
endpoints of a group are not configured: they register themselves with a
listing in the store.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Latest:
    """A read sees every acknowledged write."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounded:
    """A read sees every write that is older than a limit.

    Attributes:
        max_age_s: The limit in seconds.
    """

    max_age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnWrites:
    """A read sees its session's writes, and all older than a limit.

    Attributes:
        max_age_s: The limit in seconds.
    """

    max_age_s: float


Freshness = Latest | Bounded | OwnWrites


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The service and the limits for the statements to one database.

    Attributes:
        name: Name of the route.
        database: Database name that callers connect to.
        service: Service whose endpoints run the statements.
        freshness: Writes that its reads must see.
        timeout_s: Timeout of one statement in seconds.
        target_latency_s: Latency target of an operation in seconds.
        priority: Priority of its statements; 0 is served first.
        public: Whether its callers need no key and belong to no workspace.
    """

    name: str
    database: str
    service: str
    freshness: Freshness
    timeout_s: float
    target_latency_s: float
    priority: int
    public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A customer whose callers present one of its keys.

    Attributes:
        name: Name of the workspace, which endpoints are told.
        rate_per_s: Limit on its operations a second, over all proxies; None
            for no limit.
        burst: Number of operations that it may run beyond the rate at once.
    """

    name: str
    rate_per_s: float | None
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """The configured limits of one service.

    Attributes:
        name: Name of the service.
        connections: Maximum connections to each endpoint, from all callers.
        synchronous: Whether a commit waits for a replica.
    """

    name: str
    connections: int
    synchronous: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """One version of the configuration.

    Attributes:
        version: Version number; a change may increase it by more than one.
        routes: Routes by database name.
        services: Limits of the services by name.
        idle_transaction_s: Idle time in seconds after which a transaction is
            ended.
        workspaces: Workspaces by name; None if the configuration has none, so
            that callers need no key.
        workspace_by_key: Name of the workspace by key. Keys are secrets.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, ServiceLimits]
    idle_transaction_s: float
    workspaces: dict[str, Workspace] | None = None
    workspace_by_key: dict[str, str] = dataclasses.field(
        default_factory=dict, repr=False
    )


EMPTY_TABLE = Table(version=0, routes={}, services={}, idle_transaction_s=3.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """The registration record that an endpoint writes to the store.

    Attributes:
        id: Id, unique among all endpoints.
        service: Service it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Number of statements that it runs concurrently.
        leaving: Whether it is being drained and gets no new work.
        leads: Whether it considers itself the primary.
        started_ms: Start time in milliseconds of Unix time, 0 if unknown.
        sequence: Number that the endpoint increases with each writing. It says
            nothing of the endpoint, so listings are compared without it.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    leads: bool
    started_ms: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)
