"""Checks a configuration of routes before it is written to the store.

All problems are reported, each with its JSON path. Errors are what proxies
refuse or what cannot be meant; warnings are entries that never match and limits
that contradict each other. Keys appear in no finding: they are secrets.
"""

import collections.abc
import dataclasses
import typing

from bronzehold.core import validation
from bronzehold.platform import directory
from bronzehold.platform import fields as fields_lib

ROUTE_TYPES = ("primary", "bounded_staleness", "read_your_writes")
# Names are sent as Latin-1 and end at a space.
MAX_NAME_CODE = 0xFF


@dataclasses.dataclass(frozen=True, kw_only=True)
class Invalid:
    """A field is missing, of the wrong type or out of its range.

    Attributes:
        path: JSON path of the field.
        problem: What is wrong with it.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Duplicate:
    """A name is used twice.

    Attributes:
        path: JSON path of the second use.
        first: JSON path of the first use.
        name: The name.
    """

    path: str
    first: str
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownService:
    """A route leads to a service that is not configured.

    Attributes:
        path: JSON path of the route's service.
        service: Name of the service.
    """

    path: str
    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class SharedKey:
    """Two workspaces hold the same key.

    Attributes:
        path: JSON path of the second one's key.
        first: JSON path of the first one's key.
    """

    path: str
    first: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NeverMatches:
    """No caller can ever use an entry.

    Attributes:
        path: JSON path of the entry.
        reason: Why not.
    """

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contradiction:
    """A limit contradicts another one.

    Attributes:
        path: JSON path of the limit.
        reason: How it does.
    """

    path: str
    reason: str


Finding = (
    Invalid
    | Duplicate
    | UnknownService
    | SharedKey
    | NeverMatches
    | Contradiction
)


def is_error(finding: Finding) -> bool:
    """Returns whether a finding is an error, not a warning."""
    return not isinstance(finding, NeverMatches | Contradiction)


def describe(finding: Finding) -> str:
    """Returns a finding as one line of text."""
    match finding:
        case Invalid(path=path, problem=problem):
            return f"{path}: {problem}"
        case Duplicate(path=path, first=first, name=name):
            quoted = fields_lib.quoted(name)
            return f"{path}: {quoted} is the same as {first}"
        case UnknownService(path=path, service=service):
            quoted = fields_lib.quoted(service)
            return f"{path}: {quoted} is not a configured service"
        case SharedKey(path=path, first=first):
            return f"{path}: is the same key as {first} of another workspace"
        case NeverMatches(path=path, reason=reason):
            return f"{path}: never matches: {reason}"
        case Contradiction(path=path, reason=reason):
            return f"{path}: contradiction: {reason}"
        case _:
            typing.assert_never(finding)


def check(text: bytes) -> tuple[Finding, ...]:
    """Returns all findings in a configuration."""
    try:
        value = fields_lib.parse("", text)
    except validation.ProblemsError as exc:
        return tuple(
            Invalid(path=p.location, problem=p.message) for p in exc.problems
        )
    findings = _Checker().check(value)
    if not any(is_error(finding) for finding in findings):
        findings += _decoder_findings(text, value)
    return tuple(findings)


def _decoder_findings(text: bytes, value: object) -> list[Finding]:
    """Returns what the proxies' own decoder refuses beyond the checks here."""
    try:
        directory.Directory(zones=frozenset()).decode_table(text)
    except validation.ProblemsError as exc:
        keys = [
            key
            for workspace in dict_items(value, "tenants")
            for key in text_keys(workspace)
        ]
        return [
            Invalid(
                path=problem.location,
                problem="is refused by the proxies"
                if any(key in str(problem) for key in keys)
                else problem.message,
            )
            for problem in exc.problems
        ]
    return []


def dict_items(value: object, name: str) -> list[dict]:
    """Returns the objects in a list of a configuration; others are left out."""
    items = value.get(name) if isinstance(value, dict) else None
    items = items if isinstance(items, list) else []
    return [item for item in items if isinstance(item, dict)]


def text_keys(workspace: dict) -> list[str]:
    """Returns the keys of a workspace that are text and not empty."""
    keys = workspace.get("api_keys")
    keys = keys if isinstance(keys, list) else []
    return [key for key in keys if isinstance(key, str) and key]


class _Object:
    """Reads the fields of one JSON object and reports each problem."""

    def __init__(self, *, path: str, value: object, findings: list[Finding]):
        self._path = path
        self._findings = findings
        self.value = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            findings.append(
                Invalid(path=path or "$", problem="is not an object")
            )
        self.is_object = isinstance(value, dict)
        self._fields = fields_lib.Fields(source="", value=self.value)

    def path(self, name: str) -> str:
        """Returns the JSON path of a field."""
        return f"{self._path}.{name}" if self._path else name

    def report(self, name: str, problem: str) -> None:
        """Reports a problem with a field."""
        self._findings.append(Invalid(path=self.path(name), problem=problem))

    def _read(
        self, name: str, read: collections.abc.Callable[[str], object]
    ) -> object:
        if not self.is_object:
            return None
        if name not in self.value:
            self.report(name, "is missing")
            return None
        try:
            return read(name)
        except validation.ProblemsError as exc:
            self.report(name, exc.problems[0].message)
            return None

    def text(self, name: str) -> str | None:
        """Returns a required text, None if it is invalid."""
        return self._read(name, self._fields.text)

    def one_of(self, name: str, allowed: tuple[str, ...]) -> str | None:
        """Returns a required text, None if it is not one of the allowed."""
        return self._read(name, lambda n: self._fields.one_of(n, allowed))

    def integer(self, name: str) -> int | None:
        """Returns a required integer, None if it is invalid."""
        return self._read(name, self._fields.integer)

    def limit(
        self, name: str, *, required: bool = False, integer: bool = False
    ) -> float | None:
        """Returns a number that is not negative, None if there is none."""
        if name not in self.value and not required:
            return None
        read = self._fields.integer if integer else self._fields.number
        found = self._read(name, read)
        if found is not None and found < 0:
            self.report(name, "is negative")
            return None
        return found

    def flag(self, name: str) -> bool:
        """Returns an optional boolean, False if it is missing or invalid."""
        found = self.value.get(name, False)
        if not isinstance(found, bool):
            self.report(name, "is not true or false")
            return False
        return found

    def list(self, name: str, *, required: bool = True) -> "list | None":
        """Returns a list, None if it is invalid; an optional one is empty."""
        if name not in self.value and not required:
            return []
        return self._read(name, self._fields.list)

    def objects(self, name: str, *, required: bool = True) -> "list[_Object]":
        """Returns the objects of a list; reports items of other types."""
        return [
            _Object(
                path=f"{self.path(name)}[{index}]",
                value=item,
                findings=self._findings,
            )
            for index, item in enumerate(
                self.list(name, required=required) or ()
            )
        ]


class _Checker:
    """Collects the findings in one configuration."""

    def __init__(self):
        self._findings: list[Finding] = []
        # JSON path of the first use of each database, name and key.
        self._databases: dict[str, str] = {}
        self._names: dict[tuple[str, str], str] = {}
        self._key_paths: dict[str, tuple[int, str]] = {}

    def check(self, value: object) -> list[Finding]:
        """Returns the findings; to be called once."""
        config = _Object(path="", value=value, findings=self._findings)
        config.integer("version")
        routes = config.objects("routes")
        services = config.objects("services")
        workspaces = config.objects("tenants", required=False)
        is_public = [route.flag("public") for route in routes]
        routed = [self._check_route(route) for route in routes]
        configured = [self._check_service(service) for service in services]
        self._check_services(routes, routed, services, configured)
        for number, workspace in enumerate(workspaces):
            self._check_workspace(number, workspace, is_public)
        if "limits" in config.value:
            limits = _Object(
                path="limits",
                value=config.value["limits"],
                findings=self._findings,
            )
            limits.limit("tx_idle_ms")
        elif config.is_object:
            config.report("limits", "is missing")
        return self._findings

    def _check_name(self, kind: str, entry: _Object) -> str | None:
        name = entry.text("name")
        if name is not None:
            path = entry.path("name")
            first = self._names.setdefault((kind, name), path)
            self._note_duplicate(name, path, first)
        return name

    def _note_duplicate(self, name: str, path: str, first: str) -> None:
        if first != path:
            self._findings.append(Duplicate(path=path, first=first, name=name))

    def _check_route(self, route: _Object) -> str | None:
        """Returns the name of the route's service."""
        self._check_name("route", route)
        database = route.text("database")
        if database is not None:
            path = route.path("database")
            first = self._databases.setdefault(database, path)
            self._note_duplicate(database, path, first)
            if " " in database or any(
                ord(char) > MAX_NAME_CODE for char in database
            ):
                self._findings.append(
                    NeverMatches(
                        path=path,
                        reason="callers cannot send spaces and characters "
                        "outside of Latin-1 in a name",
                    )
                )
        kind = route.one_of("type", ROUTE_TYPES)
        route.limit("max_staleness_ms", required=kind in ROUTE_TYPES[1:])
        if "priority" in route.value:
            route.integer("priority")
        timeout_ms = route.limit("timeout_ms", required=True)
        target_ms = route.limit("target_latency_ms")
        if None not in (timeout_ms, target_ms) and target_ms > timeout_ms:
            self._findings.append(
                Contradiction(
                    path=route.path("target_latency_ms"),
                    reason=f"{target_ms:g} ms is above the timeout of "
                    f"{timeout_ms:g} ms",
                )
            )
        return route.text("service")

    def _check_service(self, service: _Object) -> str | None:
        """Returns the service's name."""
        service.limit("max_connections", required=True, integer=True)
        service.limit("sync_replicas")
        return self._check_name("service", service)

    def _check_services(
        self,
        routes: list[_Object],
        routed: list[str | None],
        services: list[_Object],
        configured: list[str | None],
    ) -> None:
        for route, name in zip(routes, routed, strict=True):
            if name is not None and name not in configured:
                self._findings.append(
                    UnknownService(path=route.path("service"), service=name)
                )
        for service, name in zip(services, configured, strict=True):
            if name is not None and name not in routed:
                self._findings.append(
                    NeverMatches(
                        path=service.path("name"),
                        reason="no route leads to this service",
                    )
                )

    def _check_workspace(
        self, number: int, workspace: _Object, is_public: list[bool]
    ) -> None:
        if not workspace.is_object:
            return
        self._check_name("workspace", workspace)
        keys = workspace.list("api_keys", required=False)
        path = workspace.path("api_keys")
        for index, key in enumerate(keys or ()):
            self._check_key(number, f"{path}[{index}]", key)
        if keys == [] and not all(is_public):
            reason = "the workspace has no key, and routes need one"
            self._findings.append(NeverMatches(path=path, reason=reason))
        elif keys and is_public and all(is_public):
            reason = "all routes are public, so no key is looked at"
            self._findings.append(NeverMatches(path=path, reason=reason))
        self._check_rate(workspace)

    def _check_key(self, number: int, path: str, key: object) -> None:
        problem = None
        if not isinstance(key, str):
            problem = "is not of type str"
        elif not key:
            problem = "is empty"
        elif not key.isprintable():
            problem = "has a character that is not printable"
        if problem is not None:
            self._findings.append(Invalid(path=path, problem=problem))
            return
        holder, first = self._key_paths.setdefault(key, (number, path))
        if holder != number:
            self._findings.append(SharedKey(path=path, first=first))

    def _check_rate(self, workspace: _Object) -> None:
        rate = workspace.limit("rate_per_s")
        burst = workspace.limit("burst")
        if rate is None or burst is None:
            return
        reason = None
        if rate == 0 and burst > 0:
            reason = "it is never refilled at a rate of 0"
        elif rate > 0 and burst < 1:
            reason = "below 1, it lets no operation through at any rate"
        if reason is not None:
            self._findings.append(
                Contradiction(path=workspace.path("burst"), reason=reason)
            )
