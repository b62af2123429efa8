"""Reader of the planners' sheet, a CSV file with one row per endpoint.

A sheet defines the services and their endpoints. Reading it reports all of its
problems together, each with its line and column, so that planners can correct
them in one pass.
"""

import collections.abc
import csv
import dataclasses
import io
import ipaddress

from bronzehold.core import data
from bronzehold.core import integers
from bronzehold.core import validation

REQUIRED = (
    "service",
    "endpoint",
    "host",
    "port",
    "zone",
    "connections",
    "slots",
)
OPTIONAL = (
    "max_age_ms",
    "deadline_ms",
    "ack",
    "spend_seconds",
    "spend_window_s",
    "leaving",
)
MAX_PORT = 65535
MAX_NAME_CHARS = 63
_TRUE = ("yes", "true", "1")
_FALSE = ("no", "false", "0", "")
_SERVICE_FIELDS = (
    "max_age_ms",
    "deadline_ms",
    "ack",
    "spend_seconds",
    "spend_window_s",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sheet:
    """The result of reading a sheet.

    Attributes:
        services: The services of the sheet, usable only without problems.
        problems: The problems that were found.
    """

    services: tuple[data.Service, ...]
    problems: tuple[validation.Problem, ...]


class _Row:
    """One row of a sheet; its methods convert cells and record problems.

    A method that finds a problem returns some value all the same, so that the
    other cells can still be checked.

    Attributes:
        line: The row's line number in the file.
        cells: The row's cells by column name.
        problems: The problems found so far.
    """

    def __init__(
        self,
        *,
        source: str,
        line: int,
        cells: dict[str, str],
        columns: dict[str, int],
    ):
        self.line = line
        self.cells = cells
        self._source = source
        self._columns = columns
        self.problems: list[validation.Problem] = []

    def add_problem(self, column: str, what: str) -> None:
        number = self._columns.get(column, 1)
        where = f"line {self.line}, column {number} ({column})"
        self.problems.append(
            validation.Problem(
                source=self._source, location=where, message=what
            )
        )

    def name_cell(self, column: str) -> str:
        value = self.cells.get(column, "").strip()
        if not value:
            self.add_problem(column, "is empty")
        elif len(value) > MAX_NAME_CHARS or not value.isprintable():
            self.add_problem(column, f"{value[:20]!r} is not a valid name")
        return value

    def integer(self, column: str, minimum: int, default: int | None) -> int:
        value = self.cells.get(column, "").strip()
        if not value and default is not None:
            return default
        digits = value.removeprefix("-")
        try:
            number = integers.parse(digits)
        except ValueError:
            self.add_problem(column, f"{value[:20]!r} is not a whole number")
            return minimum
        if digits != value:
            number = -number
        if number < minimum:
            self.add_problem(column, f"{value} is less than {minimum}")
        return number

    def ip_address(self, column: str) -> str:
        value = self.name_cell(column)
        try:
            ipaddress.ip_address(value)
        except ValueError:
            if value:
                self.add_problem(column, f"{value!r} is not an IP address")
        return value

    def flag(self, column: str) -> bool:
        value = self.cells.get(column, "").strip().lower()
        if value not in _TRUE + _FALSE:
            self.add_problem(column, f"{value!r} is neither yes nor no")
        return value in _TRUE

    def ack(self, column: str) -> data.Ack:
        value = self.cells.get(column, "").strip().lower()
        names = [ack.value for ack in data.Ack]
        if not value:
            return data.Service(name="", endpoints=()).ack
        if value not in names:
            self.add_problem(column, f"{value!r} is not one of {names}")
            return data.Ack.REPLICA
        return data.Ack(value)


def parse(
    content: bytes, source: str, zones: collections.abc.Mapping[str, str]
) -> Sheet:
    """Reads a sheet.

    Args:
        content: The file's bytes; a byte-order mark and CRLF are accepted.
        source: The file's name, for the reported problems.
        zones: The region of each known availability zone.

    Returns:
        The services and problems of the sheet.
    """
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = content[: exc.start].count(b"\n") + 1
        column = exc.start - content.rfind(b"\n", 0, exc.start)
        where = f"line {line}, byte {column}"
        return _single_problem(source, where, "is not UTF-8")
    rows, problems = _read_rows(text, source)
    if problems:
        return Sheet(services=(), problems=tuple(problems))
    endpoints = [(row, _endpoint(row, zones)) for row in rows]
    _find_duplicates(endpoints)
    services = _services(endpoints)
    row_problems = [p for row in rows for p in row.problems]
    if not rows:
        return _single_problem(source, "line 1", "contains no services")
    return Sheet(services=tuple(services), problems=tuple(row_problems))


def _single_problem(source: str, where: str, what: str) -> Sheet:
    problem = validation.Problem(source=source, location=where, message=what)
    return Sheet(services=(), problems=(problem,))


def _read_rows(
    text: str, source: str
) -> tuple[list[_Row], list[validation.Problem]]:
    reader = csv.reader(io.StringIO(text, newline=""))
    rows: list[_Row] = []
    problems: list[validation.Problem] = []

    def add_problem(where: str, what: str) -> None:
        problems.append(
            validation.Problem(source=source, location=where, message=what)
        )

    header = [cell.strip().lower() for cell in next(reader, [])]
    columns = {name: i + 1 for i, name in enumerate(header)}
    for name in REQUIRED:
        if name not in columns:
            add_problem("line 1", f"column {name} is missing")
    for i, name in enumerate(header):
        if name not in REQUIRED + OPTIONAL:
            add_problem(
                f"line 1, column {i + 1}", f"{name!r} is not a known column"
            )
        elif header.index(name) != i:
            add_problem(f"line 1, column {i + 1}", f"{name!r} appears twice")
    try:
        for cells in reader:
            line = reader.line_num
            if not any(cell.strip() for cell in cells):
                continue
            if len(cells) != len(header):
                what = f"has {len(cells)} cells, not {len(header)}"
                add_problem(f"line {line}", what)
                continue
            named = dict(zip(header, cells, strict=True))
            rows.append(
                _Row(source=source, line=line, cells=named, columns=columns)
            )
    except csv.Error as exc:
        add_problem(f"line {reader.line_num}", str(exc))
    return rows, problems


def _endpoint(
    row: _Row, zones: collections.abc.Mapping[str, str]
) -> data.Endpoint:
    zone = row.name_cell("zone")
    if zone and zone not in zones:
        row.add_problem("zone", f"{zone!r} is not a known zone")
    port = row.integer("port", 1, None)
    if port > MAX_PORT:
        row.add_problem("port", f"{port} is more than {MAX_PORT}")
    return data.Endpoint(
        name=row.name_cell("endpoint"),
        host=row.ip_address("host"),
        port=port,
        zone=zone,
        region=zones.get(zone, ""),
        connections=row.integer("connections", 1, None),
        slots=row.integer("slots", 1, None),
        leaving=row.flag("leaving"),
    )


def _find_duplicates(endpoints: list[tuple[_Row, data.Endpoint]]) -> None:
    names: dict[str, int] = {}
    addresses: dict[tuple[str, int], int] = {}
    for row, ep in endpoints:
        first = names.setdefault(ep.name, row.line)
        if first != row.line:
            row.add_problem(
                "endpoint", f"{ep.name!r} is already on line {first}"
            )
        address = (ep.host, ep.port)
        first = addresses.setdefault(address, row.line)
        if first != row.line:
            row.add_problem("port", f"the address is already on line {first}")


def _services(
    endpoints: list[tuple[_Row, data.Endpoint]],
) -> list[data.Service]:
    by_name: dict[str, list[tuple[_Row, data.Endpoint]]] = {}
    for row, ep in endpoints:
        by_name.setdefault(row.name_cell("service"), []).append((row, ep))
    return [_service(name, rows) for name, rows in by_name.items()]


def _service(name: str, rows: list[tuple[_Row, data.Endpoint]]) -> data.Service:
    first = rows[0][0]
    for row, _ in rows[1:]:
        for field in _SERVICE_FIELDS:
            if row.cells.get(field, "") != first.cells.get(field, ""):
                row.add_problem(field, f"differs from line {first.line}")
    default = data.Service(name="", endpoints=())
    return data.Service(
        name=name,
        endpoints=tuple(ep for _, ep in rows),
        max_age_ms=first.integer("max_age_ms", 0, default.max_age_ms),
        deadline_ms=first.integer("deadline_ms", 1, default.deadline_ms),
        ack=first.ack("ack"),
        spend_seconds=first.integer("spend_seconds", 0, 0),
        spend_window_s=first.integer(
            "spend_window_s", 1, default.spend_window_s
        ),
    )


def check_membership_changes(
    old: collections.abc.Iterable[data.Service],
    new: collections.abc.Iterable[data.Service],
    source: str,
) -> list[validation.Problem]:
    """Finds services whose endpoints change by more than one at a time.

    Grants are safe only if every majority of the old group has an endpoint in
    common with every majority of the new one. That is certain only if the
    groups differ by at most one endpoint.

    Args:
        old: The current services.
        new: The services of the new sheet.
        source: The name of the new sheet, for the reported problems.

    Returns:
        One problem for each such service.
    """
    before = {s.name: {ep.name for ep in s.endpoints} for s in old}
    problems = []
    for service in new:
        names = {ep.name for ep in service.endpoints}
        changed = names ^ before.get(service.name, names)
        if len(changed) > 1:
            shown = ", ".join(sorted(changed))
            problems.append(
                validation.Problem(
                    source=source,
                    location=f"service {service.name}",
                    message=f"changes more than one endpoint at once: {shown}",
                )
            )
    return problems
