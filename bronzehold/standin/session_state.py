"""What a session of a stand-in endpoint keeps between its statements."""

import dataclasses

from bronzehold.standin import statement_errors
from bronzehold.standin import values


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepared:
    """A prepared statement with the declared types of its parameters."""

    sql: str
    oids: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Portal:
    """A prepared statement with bound parameters and result format codes."""

    statement: Prepared
    params: tuple[values.Value, ...]
    formats: tuple[int, ...]


class SessionState:
    """The settings, prepared statements and portals of one session.

    Attributes:
        settings: Values of the settings, by name.
        prepared: The prepared statements, by name.
        portals: The portals, by name.
    """

    def __init__(self):
        self.settings: dict[str, str] = {}
        self.prepared: dict[bytes, Prepared] = {}
        self.portals: dict[bytes, Portal] = {}

    def find_prepared(self, name: bytes) -> Prepared:
        """Returns a prepared statement.

        Raises:
            StatementError: It does not exist.
        """
        if name not in self.prepared:
            raise statement_errors.StatementError(
                "26000", f"prepared statement {name!r} does not exist"
            )
        return self.prepared[name]

    def find_portal(self, name: bytes) -> Portal:
        """Returns a portal.

        Raises:
            StatementError: It does not exist.
        """
        if name not in self.portals:
            raise statement_errors.StatementError(
                "34000", f"portal {name!r} does not exist"
            )
        return self.portals[name]
