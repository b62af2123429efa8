"""The decisions on whether an operation may run under its workspace's limit."""

import dataclasses
import enum


class Origin(enum.Enum):
    """Where the token of an operation comes from."""

    NO_LIMIT = "no limit"
    BUCKET = "bucket"
    PEER = "peer"
    ALLOWANCE = "allowance"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Spent:
    """An operation may run.

    Attributes:
        workspace: Name of the workspace.
        granted_at: When its token was granted, in seconds of clock.now().
        origin: Where its token comes from.
    """

    workspace: str
    granted_at: float
    origin: Origin


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limited:
    """An operation is above the limit.

    Attributes:
        retry_after_s: Time until the next operation may be let through.
    """

    retry_after_s: float
