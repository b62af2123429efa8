"""Reads JSON into records strictly, and reports every problem at once."""

import dataclasses
import json
import typing

import cattrs
from cattrs import errors as cattrs_errors
from cattrs import v

_T = typing.TypeVar("_T")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One thing that is wrong with an input.

    Attributes:
        source: The file or document it was read from.
        where: The key, or the line and column.
        what: What is wrong.
    """

    source: str
    where: str
    what: str

    def __str__(self) -> str:
        return f"{self.source}: {self.where}: {self.what}"


class ProblemsError(Exception):
    """An input that is refused, with all of its problems."""

    def __init__(self, problems: tuple[Problem, ...]):
        super().__init__("; ".join(str(p) for p in problems))
        self.problems = problems


def _strict(kind: type):
    def check(value, _type):
        allowed = (int, float) if kind is float else kind
        is_bool = isinstance(value, bool)
        if not isinstance(value, allowed) or (is_bool and kind is not bool):
            raise ValueError(f"{value!r} is not of type {kind.__name__}")
        return kind(value)

    return check


def _converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        conv.register_structure_hook(kind, _strict(kind))
    return conv


_CONVERTER = _converter()


def structure(value, kind: type[_T], source: str) -> _T:
    """Makes a record of plain values.

    Args:
        value: What the JSON text held.
        kind: The record's class.
        source: Named in the problems.

    Returns:
        The record.

    Raises:
        ProblemsError: Unknown keys, missing keys or values of another type.
    """
    if not isinstance(value, dict):
        problem = Problem(source=source, where="$", what="is not an object")
        raise ProblemsError((problem,))
    try:
        return _CONVERTER.structure(value, kind)
    except (cattrs_errors.BaseValidationError, ValueError) as exc:
        raise ProblemsError(
            tuple(_problem(line, source) for line in _lines(exc))
        ) from exc


def _lines(exc: Exception) -> list[str]:
    if isinstance(exc, cattrs_errors.BaseValidationError):
        return cattrs.transform_error(exc, format_exception=_format)
    return [str(exc)]


def _format(exc: BaseException, kind: type | None) -> str:
    if isinstance(exc, cattrs_errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(exc.extra_fields))
        return f"unknown key {names}"
    if isinstance(exc, ValueError):
        return str(exc)
    return v.format_exception(exc, kind)


def _problem(line: str, source: str) -> Problem:
    what, _, where = line.rpartition(" @ ")
    if not what:
        what, where = line, "$"
    return Problem(source=source, where=where, what=what)


def load(path: str, kind: type[_T]) -> _T:
    """Reads a JSON file into a record.

    Raises:
        ProblemsError: The file cannot be read or is not such a record.
    """
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except (OSError, UnicodeDecodeError, json.JSONDecodeError) as exc:
        problem = Problem(source=path, where="$", what=str(exc))
        raise ProblemsError((problem,)) from exc
    return structure(value, kind, path)


def unstructure(record) -> dict:
    """Returns the plain values of a record, as JSON can hold them."""
    return _CONVERTER.unstructure(record)
