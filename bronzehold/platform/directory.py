"""Decodes what operators and endpoints write into the platform's store.

Each field is checked: an entry that is not what it should be names nothing.
"""

import json

from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import structure

CONFIG_KEY = "op/config"
LISTINGS_PREFIX = "servers/"
MILLISECOND = 0.001


class Directory:
    """See ports.Directory."""

    config_key = CONFIG_KEY
    listings_prefix = LISTINGS_PREFIX

    def __init__(self, *, zones: frozenset[str]):
        self._zones = zones

    def table(self, value: bytes) -> routes.Table:
        """Decodes a configuration.

        Raises:
            structure.ProblemsError: It is none.
        """
        fields = _Fields(source=CONFIG_KEY, value=_json(CONFIG_KEY, value))
        found = [
            _route(_Fields(source=CONFIG_KEY, value=one))
            for one in fields.list("routes")
        ]
        limits = [
            _limits(_Fields(source=CONFIG_KEY, value=one))
            for one in fields.list("services")
        ]
        general = _Fields(source=CONFIG_KEY, value=fields.take("limits", dict))
        return routes.Table(
            version=fields.whole("version"),
            routes={route.database: route for route in found},
            services={one.name: one for one in limits},
            idle_transaction_s=general.number("tx_idle_ms", 3000) * MILLISECOND,
        )

    def listing(self, item: ports.Item) -> routes.Listing:
        """Decodes what an endpoint lists about itself.

        Raises:
            structure.ProblemsError: It names no endpoint to use.
        """
        source = item.key
        fields = _Fields(source=source, value=_json(source, item.value or b""))
        zone = fields.text("zone")
        if zone not in self._zones:
            raise fields.problem("zone", "is not known")
        host, _, port = fields.text("address").rpartition(":")
        if not host or not port.isdigit():
            raise fields.problem("address", "is not host:port")
        # They are checked, though nothing is decided by them.
        fields.text("version")
        fields.whole("sequence")
        fields.number("cold_remaining_ms")
        return routes.Listing(
            id=item.key.removeprefix(LISTINGS_PREFIX),
            service=fields.text("service"),
            host=host,
            port=int(port),
            zone=zone,
            slots=max(1, fields.whole("capacity")),
            leaving=fields.one_of("state", ("ready", "draining")) == "draining",
            leads=fields.one_of("db_role", ("primary", "replica")) == "primary",
            started_ms=fields.whole("born", 0),
        )


def _json(source: str, value: bytes) -> object:
    try:
        return json.loads(value)
    except ValueError as exc:
        problem = structure.Problem(source=source, where="$", what=str(exc))
        raise structure.ProblemsError((problem,)) from exc


class _Fields:
    """An object's fields, each taken with its type."""

    def __init__(self, *, source: str, value: object):
        self._source = source
        if not isinstance(value, dict):
            self._value = {}
            raise self.problem("$", "is not an object")
        self._value = value

    def problem(self, where: str, what: str) -> structure.ProblemsError:
        return structure.ProblemsError(
            (structure.Problem(source=self._source, where=where, what=what),)
        )

    def take(self, name: str, kind: type):
        found = self._value.get(name)
        if not isinstance(found, kind) or isinstance(found, bool):
            raise self.problem(name, f"is no {kind.__name__}")
        return found

    def text(self, name: str) -> str:
        found = self.take(name, str)
        if not found:
            raise self.problem(name, "is empty")
        return found

    def list(self, name: str) -> list:
        return self.take(name, list)

    def whole(self, name: str, default: int | None = None) -> int:
        if default is not None and name not in self._value:
            return default
        return self.take(name, int)

    def number(self, name: str, default: float | None = None) -> float:
        if default is not None and name not in self._value:
            return default
        found = self._value.get(name)
        if isinstance(found, bool) or not isinstance(found, int | float):
            raise self.problem(name, "is no number")
        return float(found)

    def flag(self, name: str) -> bool:
        return bool(self._value.get(name))

    def one_of(self, name: str, words: tuple[str, ...]) -> str:
        found = self.text(name)
        if found not in words:
            raise self.problem(name, f"is {found!r}")
        return found


def _route(fields: _Fields) -> routes.Route:
    return routes.Route(
        name=fields.text("name"),
        database=fields.text("database"),
        service=fields.text("service"),
        freshness=_freshness(fields),
        timeout_s=fields.number("timeout_ms") * MILLISECOND,
        target_s=fields.number("target_latency_ms", 1000) * MILLISECOND,
        priority=fields.whole("priority", 1),
    )


def _freshness(fields: _Fields) -> routes.Freshness:
    kinds = ("primary", "bounded_staleness", "read_your_writes")
    kind = fields.one_of("type", kinds)
    match kind:
        case "primary":
            return routes.Latest()
        case "bounded_staleness":
            age_s = fields.number("max_staleness_ms") * MILLISECOND
            return routes.Bounded(max_age_s=age_s)
        case _:
            age_s = fields.number("max_staleness_ms") * MILLISECOND
            return routes.OwnWrites(max_age_s=age_s)


def _limits(fields: _Fields) -> routes.ServiceLimits:
    return routes.ServiceLimits(
        name=fields.text("name"),
        connections=max(1, fields.whole("max_connections")),
        synchronous=fields.number("sync_replicas", 0) > 0,
    )
