"""The writes that a planned change of the primary holds back.

It is not safe for use from several threads.
"""

from bronzehold.core import clock


class WriteHold:
    """The hold of a group's writes, and the writes in flight.

    Attributes:
        in_flight: Number of this proxy's writes in flight.
    """

    def __init__(self):
        self._attempt = ""
        self._expires_at = 0.0
        self.in_flight = 0

    def hold(self, attempt: str, until: float) -> bool:
        """Holds new writes back while a planned change is in progress.

        Args:
            attempt: The name of the change, which ends in "/" and the fencing
                token. Of two concurrent ones, that of the later token takes
                precedence, then the one that sorts first.
            until: The time when the hold expires, in seconds of clock.now().

        Returns:
            Whether writes are held for this change.
        """
        if self.is_held() and _rank(attempt) > _rank(self._attempt):
            return False
        self._attempt = attempt
        self._expires_at = until
        return True

    def renew(self, attempt: str, until: float) -> None:
        """Extends the hold if writes are held for this change."""
        if self.is_held() and self._attempt == attempt:
            self._expires_at = until

    def release(self, attempt: str) -> bool:
        """Releases writes; returns whether they were held for this change."""
        if self._attempt != attempt:
            return False
        self._attempt = ""
        return True

    def attempt(self) -> str:
        """Returns the change that writes are held for, "" if none."""
        return self._attempt if self.is_held() else ""

    def is_held(self) -> bool:
        """Returns whether writes are held."""
        return bool(self._attempt) and clock.now() < self._expires_at

    def is_drained(self) -> bool:
        """Returns whether writes are held and none is in flight."""
        return self.is_held() and self.in_flight == 0


def _rank(attempt: str) -> tuple[int, str]:
    """Returns a key that sorts the change that takes precedence first."""
    _, _, token = attempt.rpartition("/")
    is_number = token.isascii() and token.isdigit()
    return -int(token) if is_number else 0, attempt
