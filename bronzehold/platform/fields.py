"""Validated access to the fields of JSON objects from external sources.

directory.py uses it for entries of the store, settings_file.py for the
settings file. Problems are reported as validation.ProblemsError.
"""

import collections.abc
import math

from bronzehold.core import addresses
from bronzehold.core import integers
from bronzehold.core import json_text
from bronzehold.core import validation

# Part of a refused value that messages quote.
MAX_QUOTED_CHARS = 60


def parse(source: str, value: bytes | str) -> object:
    """Parses a JSON text.

    Args:
        source: Name of the file or key, for error messages.
        value: The text.

    Raises:
        validation.ProblemsError: The text is not valid JSON.
    """
    try:
        return json_text.parse(value)
    except ValueError as exc:
        problem = validation.Problem(
            source=source, location="$", message=str(exc)
        )
        raise validation.ProblemsError((problem,)) from exc


class Fields:
    """Reads the fields of one JSON object and checks their types.

    Every method that returns a field raises validation.ProblemsError if the
    field is missing without a default or has an invalid value.
    """

    def __init__(self, *, source: str, value: object):
        self._source = source
        if not isinstance(value, dict):
            self._value = {}
            raise self.problem("$", "is not an object")
        self._value = value

    def problem(self, location: str, message: str) -> validation.ProblemsError:
        """Returns an error that reports a problem with one field."""
        return validation.ProblemsError(
            (
                validation.Problem(
                    source=self._source, location=location, message=message
                ),
            )
        )

    def read_all(
        self,
        readers: dict[str, collections.abc.Callable[["Fields"], object]],
    ) -> dict[str, object]:
        """Reads several fields and reports all their problems together.

        Args:
            readers: Function that reads the field, by field name.

        Returns:
            The values by field name.

        Raises:
            validation.ProblemsError: At least one field is invalid.
        """
        values = {}
        problems: list[validation.Problem] = []
        for name, read in readers.items():
            try:
                values[name] = read(self)
            except validation.ProblemsError as exc:
                problems += exc.problems
        if problems:
            raise validation.ProblemsError(tuple(problems))
        return values

    def typed(self, name: str, expected_type: type):
        """Returns a field of the given type; booleans are rejected."""
        value = self._value.get(name)
        if not isinstance(value, expected_type) or isinstance(value, bool):
            raise self.problem(name, f"is not of type {expected_type.__name__}")
        return value

    def address(self, name: str) -> str:
        """Returns a string of the form host:port."""
        value = self.text(name)
        try:
            addresses.split(value)
        except ValueError as exc:
            raise self.problem(name, str(exc)) from exc
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a printable string, or the default for a missing field."""
        if default is not None and name not in self._value:
            return default
        value = self.typed(name, str)
        if not value:
            raise self.problem(name, "is empty")
        if not value.isprintable():
            raise self.problem(name, "has a character that is not printable")
        return value

    def has(self, name: str) -> bool:
        """Returns whether the object has a field."""
        return name in self._value

    def boolean(self, name: str, *, default: bool) -> bool:
        """Returns a boolean, or the default for a missing field."""
        value = self._value.get(name, default)
        if not isinstance(value, bool):
            raise self.problem(name, "is not true or false")
        return value

    def list(self, name: str) -> list:
        """Returns a list, whose items are not checked."""
        return self.typed(name, list)

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns an integer, or the default for a missing field."""
        if default is not None and name not in self._value:
            return default
        value = self.typed(name, int)
        if not integers.is_valid(value):
            raise self.problem(name, "is outside of 64 bits")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a number, or the default for a missing field."""
        if default is not None and name not in self._value:
            return default
        value = self._value.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.problem(name, "is not a number")
        try:
            number = float(value)
        except OverflowError as exc:
            raise self.problem(name, "is too large") from exc
        if not math.isfinite(number):
            raise self.problem(name, "is not finite")
        return number

    def one_of(self, name: str, allowed: tuple[str, ...]) -> str:
        """Returns a string that is one of the allowed values."""
        value = self.text(name)
        if value not in allowed:
            raise self.problem(
                name, f"{quoted(value)} is not one of {', '.join(allowed)}"
            )
        return value


def quoted(value: str) -> str:
    """Returns a text as error messages quote it, cut where it is long."""
    return repr(value[:MAX_QUOTED_CHARS])
