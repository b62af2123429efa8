"""Compares two configurations of routes.

Entries are compared by name. Keys are secrets: only their number is told, and
no value of a field that is not known.
"""

import dataclasses
import enum
import json

from bronzehold.core import validation
from bronzehold.platform import config_check
from bronzehold.platform import fields as fields_lib

# The entries by their list, and the fields whose values may be shown.
_SHOWN_FIELDS = {
    "routes": (
        "database",
        "service",
        "type",
        "timeout_ms",
        "target_latency_ms",
        "max_staleness_ms",
        "priority",
        "public",
    ),
    "services": ("max_connections", "sync_replicas"),
    "tenants": ("rate_per_s", "burst"),
}
_TEXT_FIELDS = ("database", "service", "type")
_KIND_NAMES = {
    "routes": "route",
    "services": "service",
    "tenants": "workspace",
}


class Change(enum.Enum):
    """What has become of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """An entry that differs between two configurations.

    Attributes:
        kind: route, service, workspace, or limits.
        name: Name of the entry, "" for limits.
        change: What has become of it.
        details: The fields that have changed, without any key.
    """

    kind: str
    name: str
    change: Change
    details: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotNewer:
    """The new configuration would not come into force.

    Attributes:
        version: Its version.
        current: The version in force.
    """

    version: int
    current: int


def compare_texts(
    current: bytes, new: bytes
) -> tuple["Difference | NotNewer", ...]:
    """Returns the differences between two configurations as JSON texts.

    Raises:
        validation.ProblemsError: One of them is not a JSON object.
    """
    old_config, config = _parse(current), _parse(new)
    not_newer = compare_versions(old_config, config)
    differences = compare(old_config, config)
    return differences if not_newer is None else (not_newer, *differences)


def _parse(text: bytes) -> dict:
    value = fields_lib.parse("", text)
    if not isinstance(value, dict):
        problem = validation.Problem(
            source="", location="$", message="is not an object"
        )
        raise validation.ProblemsError((problem,))
    return value


def compare_versions(current: dict, new: dict) -> NotNewer | None:
    """Returns whether proxies would ignore a configuration as outdated."""
    old_version, version = current.get("version"), new.get("version")
    if not (isinstance(old_version, int) and isinstance(version, int)):
        return None
    if version > old_version:
        return None
    return NotNewer(version=version, current=old_version)


def compare(current: dict, new: dict) -> tuple[Difference, ...]:
    """Returns the differences, by kind and name."""
    found = []
    for kind in _SHOWN_FIELDS:
        old_entries, new_entries = _by_name(current, kind), _by_name(new, kind)
        for name in sorted(old_entries.keys() | new_entries.keys()):
            found += _compare_entry(
                kind, name, old_entries.get(name), new_entries.get(name)
            )
    details = _changed_fields(
        _object(current, "limits"), _object(new, "limits"), ("tx_idle_ms",)
    )
    if details:
        found.append(
            Difference(
                kind="limits", name="", change=Change.CHANGED, details=details
            )
        )
    return tuple(found)


def _object(config: dict, name: str) -> dict:
    found = config.get(name)
    return found if isinstance(found, dict) else {}


def _by_name(config: dict, kind: str) -> dict[str, dict]:
    return {
        entry["name"]: entry
        for entry in config_check.dict_items(config, kind)
        if isinstance(entry.get("name"), str)
    }


def _compare_entry(
    kind: str, name: str, old: dict | None, new: dict | None
) -> list[Difference]:
    change = Change.CHANGED
    if old is None or new is None:
        change = Change.ADDED if old is None else Change.REMOVED
        keys = config_check.text_keys(new or old or {})
        details = (f"keys: {len(keys)}",) if kind == "tenants" else ()
    else:
        details = _changed_fields(old, new, _SHOWN_FIELDS[kind])
        if not details:
            return []
    return [
        Difference(
            kind=_KIND_NAMES[kind], name=name, change=change, details=details
        )
    ]


def _changed_fields(
    old: dict, new: dict, shown: tuple[str, ...]
) -> tuple[str, ...]:
    details = []
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) == new.get(field) and (field in old) == (
            field in new
        ):
            continue
        if field == "api_keys":
            details += _key_changes(old, new)
        elif field in shown:
            details.append(
                f"{field} {_show(old, field)} -> {_show(new, field)}"
            )
        else:
            # Its name may be a key that stands in the wrong place.
            details.append("another field")
    return tuple(dict.fromkeys(details))


def _key_changes(old: dict, new: dict) -> list[str]:
    old_keys = set(config_check.text_keys(old))
    new_keys = set(config_check.text_keys(new))
    added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
    if not (added or removed):
        return []
    return [f"keys: {added} added, {removed} removed, {len(new_keys)} now"]


def _show(entry: dict, field: str) -> str:
    if field not in entry:
        return "none"
    value = entry[field]
    if isinstance(value, str) and field in _TEXT_FIELDS:
        return fields_lib.quoted(value)
    if isinstance(value, int | float):
        return json.dumps(value)
    return "invalid"


def describe(difference: Difference | NotNewer) -> str:
    """Returns a difference as one line of text."""
    if isinstance(difference, NotNewer):
        return (
            f"version {difference.version} is not above {difference.current}, "
            "which is in force: proxies would ignore it"
        )
    name = fields_lib.quoted(difference.name) if difference.name else ""
    subject = f"{difference.kind} {name}".rstrip()
    details = ", ".join(difference.details)
    text = f"{subject}: {difference.change.value}"
    return f"{text}: {details}" if details else text
