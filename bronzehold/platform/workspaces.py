"""Decodes the workspaces and keys of the operators' configuration."""

import re

from bronzehold.core import routes
from bronzehold.platform import fields as fields_lib

WORKSPACES_FIELD = "tenants"
# The name is a field of a line of the endpoints' protocol.
_NAME = re.compile(r"[!-~]+")


def decode(
    config: fields_lib.Fields,
) -> tuple[dict[str, routes.Workspace] | None, dict[str, str]]:
    """Decodes the workspaces of a configuration.

    Args:
        config: The fields of the configuration.

    Returns:
        The workspaces by name, None if the configuration has none; and the
        name of the workspace by key.

    Raises:
        validation.ProblemsError: A workspace is invalid. The problem names its
            place and no key.
    """
    if not config.has(WORKSPACES_FIELD):
        return None, {}
    workspaces: dict[str, routes.Workspace] = {}
    workspace_by_key: dict[str, str] = {}
    for index, entry in enumerate(config.list(WORKSPACES_FIELD)):
        source = f"{WORKSPACES_FIELD}[{index}]"
        fields = fields_lib.Fields(source=source, value=entry)
        workspace = _decode_workspace(fields)
        if workspace.name in workspaces:
            raise fields.problem(
                "name", "is also the name of another workspace"
            )
        workspaces[workspace.name] = workspace
        for key in _decode_keys(fields):
            if workspace_by_key.setdefault(key, workspace.name) != (
                workspace.name
            ):
                raise fields.problem(
                    "api_keys", "has a key of another workspace"
                )
    return workspaces, workspace_by_key


def _decode_workspace(fields: fields_lib.Fields) -> routes.Workspace:
    name = fields.text("name")
    if not _NAME.fullmatch(name):
        raise fields.problem("name", "has a blank or is not ASCII")
    return routes.Workspace(
        name=name,
        rate_per_s=(
            _not_negative(fields, "rate_per_s")
            if fields.has("rate_per_s")
            else None
        ),
        burst=_not_negative(fields, "burst") if fields.has("burst") else 0.0,
    )


def _decode_keys(fields: fields_lib.Fields) -> list[str]:
    keys = fields.list("api_keys") if fields.has("api_keys") else []
    if not all(isinstance(key, str) and key for key in keys):
        raise fields.problem(
            "api_keys", "has a key that is empty or not a string"
        )
    return keys


def _not_negative(fields: fields_lib.Fields, name: str) -> float:
    number = fields.number(name)
    if number < 0:
        raise fields.problem(name, "is negative")
    return number
