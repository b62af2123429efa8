"""Strict conversion of JSON into records.

Unknown keys, missing keys and values of a wrong type are refused, and all
problems of an input are reported together.
"""

import reprlib
import typing

import cattrs
from cattrs import errors as cattrs_errors
from cattrs import v

from bronzehold.core import json_text
from bronzehold.core import validation

_T = typing.TypeVar("_T")


def _strict_hook(expected: type):
    def check(value, _type):
        allowed = (int, float) if expected is float else expected
        is_bool = isinstance(value, bool)
        if not isinstance(value, allowed) or (is_bool and expected is not bool):
            text = reprlib.repr(value)
            raise ValueError(f"{text} is not of type {expected.__name__}")
        return expected(value)

    return check


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(forbid_extra_keys=True)
    for value_type in (int, float, str, bool):
        conv.register_structure_hook(value_type, _strict_hook(value_type))
    return conv


_CONVERTER = _make_converter()


def structure(value, record_type: type[_T], source: str) -> _T:
    """Converts plain values into a record.

    Args:
        value: Parsed JSON.
        record_type: Class of the record.
        source: Name of the input, for the problems.

    Returns:
        The record.

    Raises:
        validation.ProblemsError: The value has unknown keys, missing keys or
            values of a wrong type.
    """
    if not isinstance(value, dict):
        problem = validation.Problem(
            source=source, location="$", message="is not an object"
        )
        raise validation.ProblemsError((problem,))
    try:
        return _CONVERTER.structure(value, record_type)
    except (cattrs_errors.BaseValidationError, ValueError) as exc:
        raise validation.ProblemsError(
            tuple(_problem(line, source) for line in _messages(exc))
        ) from exc


def _messages(exc: Exception) -> list[str]:
    if isinstance(exc, cattrs_errors.BaseValidationError):
        return cattrs.transform_error(exc, format_exception=_format_exception)
    return [str(exc)]


def _format_exception(exc: BaseException, expected: type | None) -> str:
    if isinstance(exc, cattrs_errors.ForbiddenExtraKeysError):
        names = ", ".join(sorted(exc.extra_fields))
        return f"unknown key {names}"
    if isinstance(exc, ValueError):
        return str(exc)
    return v.format_exception(exc, expected)


def _problem(text: str, source: str) -> validation.Problem:
    message, _, location = text.rpartition(" @ ")
    if not message:
        message, location = text, "$"
    return validation.Problem(source=source, location=location, message=message)


def load(path: str, record_type: type[_T]) -> _T:
    """Reads a JSON file into a record.

    Raises:
        validation.ProblemsError: The file cannot be read or does not hold a
            valid record.
    """
    try:
        with open(path, encoding="utf-8") as file:
            value = json_text.parse(file.read())
    except (OSError, ValueError) as exc:
        problem = validation.Problem(
            source=path, location="$", message=str(exc)
        )
        raise validation.ProblemsError((problem,)) from exc
    return structure(value, record_type, path)


def unstructure(record) -> dict:
    """Returns a record as plain values that JSON can represent."""
    return _CONVERTER.unstructure(record)
