"""Writes the records of held fencing tokens again after the store lost them."""

from bronzehold.core import ports
from bronzehold.process import platform_process
from bronzehold.process import tokens as tokens_lib

CHECK_INTERVAL_S = 0.5


class TokenRecords:
    """The task that restores the records of this proxy's tokens.

    Processes that start after the store returned from an older copy know the
    holder of a token from its record only.
    """

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        tokens: tokens_lib.Tokens,
    ):
        self._process = process
        self._tokens = tokens

    def run(self) -> None:
        """Restores records until the process stops."""
        while not self._process.tasks.stop.wait(CHECK_INTERVAL_S):
            for service in self._tokens.lost_records():
                try:
                    self._tokens.restore_record(service)
                except ports.StoreError as exc:
                    self._process.timeline.count(f"token record: {exc}")
                    break
