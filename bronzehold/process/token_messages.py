"""The messages with which a proxy asks another one for tokens of a limit."""

import collections.abc
import dataclasses

from bronzehold.version import members as members_lib


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Asks a proxy for tokens.

    Attributes:
        workspace: Name of the workspace.
        version: Version of the sender's configuration.
        count: Number of tokens.
        skipped: Names of the proxies earlier in the order that were not asked
            or did not answer.
        ended: Of these, the ones that limit nothing: no process accepts
            connections there, or it is stopping.
        is_loan: Whether the sender is the limiter of another region, which asks
            for tokens that the receiver's region does not need.
    """

    workspace: str
    version: int
    count: int
    skipped: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    is_loan: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenReply:
    """Answers a TokenRequest.

    Attributes:
        granted: Number of tokens granted.
        retry_after_s: If there are none, the time until there is one.
        is_leaving: Whether the proxy is stopping and limits nothing any more.
    """

    granted: int = 0
    retry_after_s: float = 0.0
    is_leaving: bool = False

    @property
    def is_decision(self) -> bool:
        """Whether the proxy granted or refused; otherwise it cannot decide."""
        return self.granted > 0 or self.retry_after_s > 0


class NoAnswerError(Exception):
    """A proxy did not answer a TokenRequest.

    Attributes:
        ended: Whether no process accepts connections there.
    """

    def __init__(self, reason: str, *, ended: bool = False):
        super().__init__(reason)
        self.ended = ended


Ask = collections.abc.Callable[
    [members_lib.Member, TokenRequest, float], TokenReply
]
