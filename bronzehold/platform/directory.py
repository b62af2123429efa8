"""Decodes the configuration and the endpoint listings in the platform's store.

Operators write the configuration under one key; each endpoint writes a listing
of itself. Every field is validated, and an entry with an invalid field is
rejected as a whole. process/store_mirror.py reads the entries and calls
Directory, which implements ports.Directory.
"""

import re

from bronzehold.core import addresses
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.platform import fields as fields_lib
from bronzehold.platform import workspaces as workspaces_lib

CONFIG_KEY = "op/config"
LISTINGS_PREFIX = "servers/"
SECONDS_PER_MS = 0.001
# An endpoint's id is the last field of a line of the endpoints' protocol.
_ID = re.compile(r"[!-~]+")


class Directory:
    """Implements ports.Directory.

    Attributes:
        config_key: Key of the configuration.
        listings_prefix: Prefix of the keys of endpoint listings.
    """

    config_key = CONFIG_KEY
    listings_prefix = LISTINGS_PREFIX

    def __init__(self, *, zones: frozenset[str]):
        self._zones = zones

    def decode_table(self, value: bytes) -> routes.Table:
        """Decodes the routes, service limits and proxy limits.

        Raises:
            validation.ProblemsError: The configuration is invalid.
        """
        fields = fields_lib.Fields(
            source=CONFIG_KEY, value=fields_lib.parse(CONFIG_KEY, value)
        )
        decoded_routes = [
            _decode_route(fields_lib.Fields(source=CONFIG_KEY, value=entry))
            for entry in fields.list("routes")
        ]
        service_limits = [
            _decode_limits(fields_lib.Fields(source=CONFIG_KEY, value=entry))
            for entry in fields.list("services")
        ]
        proxy_limits = fields_lib.Fields(
            source=CONFIG_KEY, value=fields.typed("limits", dict)
        )
        workspaces, workspace_by_key = workspaces_lib.decode(fields)
        return routes.Table(
            version=fields.integer("version"),
            routes={route.database: route for route in decoded_routes},
            services={entry.name: entry for entry in service_limits},
            idle_transaction_s=proxy_limits.number("tx_idle_ms", 3000)
            * SECONDS_PER_MS,
            workspaces=workspaces,
            workspace_by_key=workspace_by_key,
        )

    def decode_listing(self, item: ports.Item) -> routes.Listing:
        """Decodes the listing of an endpoint.

        Raises:
            validation.ProblemsError: The listing is invalid.
        """
        source = item.key
        fields = fields_lib.Fields(
            source=source, value=fields_lib.parse(source, item.value or b"")
        )
        zone = fields.text("zone")
        if zone not in self._zones:
            raise fields.problem(
                "zone", f"{fields_lib.quoted(zone)} is not a configured zone"
            )
        name = source.removeprefix(LISTINGS_PREFIX)
        if not _ID.fullmatch(name):
            raise fields.problem("$", "has a key that is no id")
        host, port = _ip_address(fields)
        # These fields are validated but otherwise unused.
        fields.text("version")
        fields.number("cold_remaining_ms")
        return routes.Listing(
            id=name,
            service=fields.text("service"),
            host=host,
            port=port,
            zone=zone,
            slots=max(1, fields.integer("capacity")),
            leaving=fields.one_of("state", ("ready", "draining")) == "draining",
            leads=fields.one_of("db_role", ("primary", "replica")) == "primary",
            started_ms=fields.integer("born", 0),
            sequence=fields.integer("sequence"),
        )


def _ip_address(fields: fields_lib.Fields) -> tuple[str, int]:
    try:
        return addresses.split_ip(fields.address("address"))
    except ValueError as exc:
        raise fields.problem("address", "has a host that is no IP") from exc


def _decode_route(fields: fields_lib.Fields) -> routes.Route:
    return routes.Route(
        name=fields.text("name"),
        database=fields.text("database"),
        service=fields.text("service"),
        freshness=_decode_freshness(fields),
        timeout_s=fields.number("timeout_ms") * SECONDS_PER_MS,
        target_latency_s=fields.number("target_latency_ms", 1000)
        * SECONDS_PER_MS,
        priority=fields.integer("priority", 1),
        public=fields.boolean("public", default=False),
    )


def _decode_freshness(fields: fields_lib.Fields) -> routes.Freshness:
    kinds = ("primary", "bounded_staleness", "read_your_writes")
    kind = fields.one_of("type", kinds)
    match kind:
        case "primary":
            return routes.Latest()
        case "bounded_staleness":
            age_s = fields.number("max_staleness_ms") * SECONDS_PER_MS
            return routes.Bounded(max_age_s=age_s)
        case _:
            age_s = fields.number("max_staleness_ms") * SECONDS_PER_MS
            return routes.OwnWrites(max_age_s=age_s)


def _decode_limits(fields: fields_lib.Fields) -> routes.ServiceLimits:
    return routes.ServiceLimits(
        name=fields.text("name"),
        connections=max(1, fields.integer("max_connections")),
        synchronous=fields.number("sync_replicas", 0) > 0,
    )
