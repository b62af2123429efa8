"""The messages with which a proxy asks another one for tokens of a limit."""

import collections.abc
import dataclasses

from bronzehold.version import members as members_lib

# Length of a slot of Usage.
SLOT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """What a limiter has granted recently.

    Attributes:
        limiter: Text that tells the process of the limiter from all others.
        last_slot: Number of the latest slot on the limiter's clock. Reports of
            the same operations name the same slots.
        slots: Number of operations in each slot of SLOT_S, the latest first.
    """

    limiter: str = ""
    last_slot: int = 0
    slots: tuple[int, ...] = ()


NO_USAGE = Usage()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Asks a proxy for tokens.

    Attributes:
        workspace: Name of the workspace.
        version: Version of the sender's configuration.
        count: Number of tokens.
        skipped: Names of the proxies earlier in the order that were not asked
            or did not answer.
        ended: Of these, the ones that are no limiters: no process accepts
            connections there, or it is stopping.
        borrows: Whether the sender is the limiter of another region.
        usage: The last report that the sender has of a limiter.
        usage_age_s: Time since that report arrived.
    """

    workspace: str
    version: int
    count: int
    skipped: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    borrows: bool = False
    usage: Usage = NO_USAGE
    usage_age_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenReply:
    """Answers a TokenRequest.

    Attributes:
        granted: Number of tokens granted.
        retry_after_s: If there are none, the time until there is one.
        is_leaving: Whether the proxy is stopping and no longer a limiter.
        usage: What the limiter has granted of late.
    """

    granted: int = 0
    retry_after_s: float = 0.0
    is_leaving: bool = False
    usage: Usage = NO_USAGE

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
