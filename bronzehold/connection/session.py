"""Session state of a caller of the PostgreSQL path.

Holds the session's variables, its prepared statements and the mark of its last
write, which later reads must see.
"""

import dataclasses
import re

from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.request import batch as batch_lib
from bronzehold.request import classify

OWN_PREFIX = classify.PROXY_SETTING_PREFIX
MARK_VARIABLE = OWN_PREFIX + "mark"
AGE_VARIABLE = OWN_PREFIX + "max_age"

_AGE = re.compile(r"^\s*(\d+(?:\.\d+)?)\s*(ms|s|min)?\s*$")
_UNIT_S = {"ms": 0.001, "s": 1.0, "min": 60.0, None: 0.001}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Freshness:
    """The freshness that a session requires of its reads.

    Attributes:
        session: The name that the caller gave its session, "" for none.
        mark: The latest write that reads must see, None for none.
        caller_carries_mark: Whether the caller itself passes the mark from
            proxy to proxy.
        max_age: The maximum age of data in seconds, None for the service's
            default.
    """

    session: str = ""
    mark: data.Mark | None = None
    caller_carries_mark: bool = False
    max_age: float | None = None


class Session:
    """The session of one connection; used only by the caller's task.

    Attributes:
        service: The name of the service.
        names: The prepared statements and portals by their names.
        freshness: The freshness that its reads require.
        transaction_max_age: The maximum age of data in seconds that applies
            to the open transaction, None for none.
        variables: The SET statements of its variables by variable name.
    """

    def __init__(self, *, service: str):
        self.service = service
        self.names = batch_lib.StatementNames()
        self.freshness = Freshness()
        self.transaction_max_age: float | None = None
        self.variables: dict[str, str] = {}
        self._saved_variables: dict[str, str] | None = None

    def max_age(self, default_ms: int) -> float:
        """Returns the maximum age of data that a read accepts, in seconds."""
        if self.transaction_max_age is not None:
            return self.transaction_max_age
        if self.freshness.max_age is not None:
            return self.freshness.max_age
        return default_ms * data.MILLISECOND

    def record_write(self, mark: data.Mark) -> None:
        """Records the mark of the session's last write."""
        self.freshness = dataclasses.replace(self.freshness, mark=mark)

    def set(
        self, name: str, value: str, *, local: bool = False, sql: str = ""
    ) -> None:
        """Sets a variable.

        Args:
            name: The variable's name.
            value: The value as text.
            local: Whether the value applies only to the open transaction.
            sql: The statement that sets it on an endpoint connection.

        Raises:
            errors.FailureError: The value is invalid for a proxy variable.
        """
        match name.lower():
            case "bronzehold.session":
                self._update_freshness(session=value)
            case "bronzehold.mark":
                self._set_mark(value)
            case "bronzehold.max_age":
                age = _parse_age(value)
                if local:
                    self.transaction_max_age = age
                else:
                    self._update_freshness(max_age=age)
            case lower if lower.startswith(OWN_PREFIX):
                raise errors.FailureError(
                    errors.BadValue(variable=name, value=value)
                )
            case lower:
                self.variables[lower] = sql

    def _set_mark(self, value: str) -> None:
        if not value:
            self._update_freshness(mark=None, caller_carries_mark=False)
            return
        mark = data.parse_mark(value)
        if mark is None or mark.group != self.service:
            raise errors.FailureError(
                errors.BadValue(variable=MARK_VARIABLE, value=value)
            )
        current = self.freshness.mark
        newest = max(mark, current, key=_mark_order) if current else mark
        self._update_freshness(mark=newest, caller_carries_mark=True)

    def _update_freshness(self, **fields) -> None:
        self.freshness = dataclasses.replace(self.freshness, **fields)

    def show(self, name: str) -> str | None:
        """Returns the value of a proxy variable, None for other variables."""
        freshness = self.freshness
        match name.lower():
            case "bronzehold.session":
                return freshness.session
            case "bronzehold.mark":
                return str(freshness.mark) if freshness.mark else ""
            case "bronzehold.max_age":
                return (
                    "" if freshness.max_age is None else f"{freshness.max_age}s"
                )
            case _:
                return None

    def reset(self, name: str = "") -> None:
        """Resets one endpoint variable, or all variables and the maximum age.

        The mark of the last write is kept.
        """
        if name:
            self.variables.pop(name.lower(), None)
            return
        self.variables.clear()
        self._update_freshness(max_age=None)

    def begin(self) -> None:
        """Saves the variables, which a rollback restores."""
        self._saved_variables = dict(self.variables)

    def end(self, *, keep: bool) -> None:
        """Ends a transaction block.

        Args:
            keep: Whether to keep variables set in the block.
        """
        if not keep and self._saved_variables is not None:
            self.variables = self._saved_variables
        self._saved_variables = None
        self.transaction_max_age = None

    def statements(self) -> tuple[str, ...]:
        """Returns the SET statements to run on an endpoint connection."""
        return tuple(sql for _, sql in sorted(self.variables.items()))


def _mark_order(mark: data.Mark) -> tuple[int, int]:
    return mark.term, mark.position


def _parse_age(value: str) -> float:
    match = _AGE.match(value)
    if not match:
        raise errors.FailureError(
            errors.BadValue(variable=AGE_VARIABLE, value=value)
        )
    return float(match[1]) * _UNIT_S[match[2]]
