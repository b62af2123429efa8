"""Reads JSON into records strictly, and reports every problem at once."""

import json
import typing

import cattrs
from cattrs import errors as cattrs_errors
from cattrs import v

from bronzehold.core import validation

_T = typing.TypeVar("_T")


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
        validation.ProblemsError: Unknown keys, missing keys or values of
            another type.
    """
    if not isinstance(value, dict):
        problem = validation.Problem(
            source=source, where="$", what="is not an object"
        )
        raise validation.ProblemsError((problem,))
    try:
        return _CONVERTER.structure(value, kind)
    except (cattrs_errors.BaseValidationError, ValueError) as exc:
        raise validation.ProblemsError(
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


def _problem(line: str, source: str) -> validation.Problem:
    what, _, where = line.rpartition(" @ ")
    if not what:
        what, where = line, "$"
    return validation.Problem(source=source, where=where, what=what)


def load(path: str, kind: type[_T]) -> _T:
    """Reads a JSON file into a record.

    Raises:
        validation.ProblemsError: The file cannot be read or is not such a
            record.
    """
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except (OSError, UnicodeDecodeError, json.JSONDecodeError) as exc:
        problem = validation.Problem(source=path, where="$", what=str(exc))
        raise validation.ProblemsError((problem,)) from exc
    return structure(value, kind, path)


def unstructure(record) -> dict:
    """Returns the plain values of a record, as JSON can hold them."""
    return _CONVERTER.unstructure(record)
