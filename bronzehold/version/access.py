"""Decides from a caller's key which workspace its statements belong to.

The decision is a pure function of one version of the configuration, and is made
again for each statement, so that a revoked key ends open sessions.
"""

import dataclasses

from bronzehold.core import routes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The caller may use the route.

    Attributes:
        workspace: The workspace of its key; "" where no key is needed.
    """

    workspace: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """The key is unknown or has been revoked."""


def check(
    table: routes.Table, route: routes.Route, key: str
) -> Granted | Denied:
    """Returns whether a caller may use a route, and for which workspace.

    Args:
        table: The configuration in force.
        route: The route of the caller's database.
        key: The key that the caller presented.
    """
    if table.workspaces is None or route.public:
        return Granted(workspace="")
    workspace = table.workspace_by_key.get(key)
    if workspace is None:
        return Denied()
    return Granted(workspace=workspace)
