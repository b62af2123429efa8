"""Session state of a caller of the platform path.

Holds the session's values, its prepared statements and the log position of its
last write, and determines the commands that apply the values to a connection.
"""

import collections.abc
import dataclasses

import xxhash

from bronzehold.core import ports
from bronzehold.core import statements


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepared:
    """A statement that a session has prepared.

    Attributes:
        writes: Whether the statement writes.
        shape: The statement text without its arguments.
        shared_name: The name of the statement on endpoint connections. It is
            derived from the other two attributes, so that sessions share
            equal statements and names of different ones do not collide.
    """

    writes: bool
    shape: str
    shared_name: str


def make_prepared(statement: statements.Prepare) -> Prepared:
    """Returns the session's record of a statement to prepare."""
    kind = "w" if statement.writes else "r"
    digest = xxhash.xxh3_64_hexdigest(statement.shape.encode())
    return Prepared(
        writes=statement.writes,
        shape=statement.shape,
        shared_name=f"{kind}{digest}",
    )


# Memory of a named text beside its characters.
ENTRY_BYTES = 256


def entry_bytes(name: str, text: str | None) -> int:
    """Returns the memory that a named text of a session takes, 0 for none."""
    return 0 if text is None else ENTRY_BYTES + len(name) + len(text)


class PlatformSession:
    """The state of one session; used only by the caller's task.

    Attributes:
        name: The name of the session.
        values: The session's values by name.
        names: The prepared statements by the caller's names.
        last_write: The log position of the last commit, None for none.
    """

    def __init__(self, *, name: str):
        self.name = name
        self.values: dict[str, str] = {}
        self.names: dict[str, Prepared] = {}
        self.last_write: statements.LogPosition | None = None

    def record_write(self, position: statements.LogPosition | None) -> None:
        """Records the log position of a commit."""
        if position is None:
            return
        if self.last_write is None or position > self.last_write:
            self.last_write = position

    def find_prepared(self, shared_name: str) -> Prepared:
        """Returns the prepared statement with a shared name.

        Raises:
            KeyError: The session has no such statement.
        """
        for stored in self.names.values():
            if stored.shared_name == shared_name:
                return stored
        raise KeyError(shared_name)

    def matches(self, conn: ports.EndpointConn) -> bool:
        """Returns whether a connection already has this session's values."""
        return conn.values == self.values


def setup_commands(
    conn: ports.EndpointConn, values: dict[str, str]
) -> collections.abc.Sequence[statements.Command]:
    """Returns the commands that set exactly a session's values."""
    if conn.values == values:
        return ()
    commands: list[statements.Command] = []
    current = conn.values
    if current.keys() - values.keys():
        commands.append(statements.ResetSession())
        current = {}
    commands += [
        statements.SetValue(name=name, value=value)
        for name, value in values.items()
        if current.get(name) != value
    ]
    return commands


def record_setup(
    conn: ports.EndpointConn,
    commands: collections.abc.Sequence[statements.Command],
    values: dict[str, str],
) -> None:
    """Records the state of a connection after the set-up commands ran."""
    if any(isinstance(c, statements.ResetSession) for c in commands):
        conn.prepared.clear()
    conn.values = dict(values)
