"""Reads the settings file of a proxy.

The platform generates the file on each instance from the project's template.
"""

from bronzehold.core import settings
from bronzehold.core import validation
from bronzehold.platform import fields as fields_lib


def load(path: str) -> settings.PlatformSettings:
    """Reads and validates the settings of a proxy.

    Raises:
        validation.ProblemsError: The file cannot be read or a field is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        problem = validation.Problem(
            source=path, location="$", message=str(exc)
        )
        raise validation.ProblemsError((problem,)) from exc
    value = fields_lib.parse(path, text)
    fields = fields_lib.Fields(source=path, value=value)
    values = fields.read_all(_FIELD_READERS)
    if values["zone"] not in values["regions"]:
        raise fields.problem(
            "zone", f"{values['zone']!r} is not a key of regions"
        )
    return settings.PlatformSettings(**values)


def _not_negative(
    fields: fields_lib.Fields, name: str, default: float
) -> float:
    number = fields.number(name, default)
    if number < 0:
        raise fields.problem(name, "is negative")
    return number


def _positive(fields: fields_lib.Fields, name: str, default: float) -> float:
    number = _not_negative(fields, name, default)
    if not number:
        raise fields.problem(name, "is zero")
    return number


def _limit(fields: fields_lib.Fields, name: str) -> int:
    """Returns an optional limit, 0 if the system's own one applies."""
    value = fields.integer(name, 0)
    if value < 0:
        raise fields.problem(name, "is negative")
    return value


_FIELD_READERS = {
    "name": lambda f: f.text("name"),
    "zone": lambda f: f.text("zone"),
    "regions": lambda f: f.typed("regions", dict),
    "host": lambda f: f.text("host"),
    "callers": lambda f: f.address("callers"),
    "readiness": lambda f: f.address("readiness"),
    "peer_port": lambda f: f.integer("peer_port"),
    "metrics_port": lambda f: f.integer("metrics_port"),
    "store": lambda f: f.address("store"),
    "promoter": lambda f: f.address("promoter"),
    "seeds": lambda f: tuple(f.list("seeds")),
    "stop_s": lambda f: f.number("stop_s"),
    "drain_ms": lambda f: int(_positive(f, "drain_ms", 5000)),
    "log_level": lambda f: f.text("log_level", "INFO"),
    "key_max_age_ms": lambda f: _limit(f, "key_max_age_ms"),
    "limit_window_s": lambda f: _positive(f, "limit_window_s", 5.0),
    "limit_overage": lambda f: _not_negative(f, "limit_overage", 0.1),
    "limit_slack": lambda f: _not_negative(f, "limit_slack", 20.0),
    "memory_mb": lambda f: _limit(f, "memory_mb"),
    "max_descriptors": lambda f: _limit(f, "max_descriptors"),
    "receive_budget_mb": lambda f: _limit(f, "receive_budget_mb"),
}
