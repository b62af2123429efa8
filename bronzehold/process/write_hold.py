"""The writes that a planned change of the primary holds back.

It is not safe for use from several threads.
"""

import dataclasses

from bronzehold.core import clock


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """A hold of writes.

    Attributes:
        attempt: The name of the change, which ends in "/" and the fencing token
            of its holder; "" if writes are not held.
        expires_at: The time when the hold expires, in seconds of clock.now().
        until_decided: Whether it lasts, beyond that time, until the outcome of
            the change is known.
        targets: The endpoints that were ordered to lead and may still do, empty
            before the first order.
    """

    attempt: str = ""
    expires_at: float = 0.0
    until_decided: bool = False
    targets: tuple[str, ...] = ()

    def is_active(self) -> bool:
        """Returns whether writes are held."""
        is_lasting = self.until_decided or clock.now() < self.expires_at
        return bool(self.attempt) and is_lasting

    def is_order_open(self) -> bool:
        """Returns whether an order may be carried out at any time."""
        return self.until_decided and bool(self.targets)

    def token(self) -> int:
        """Returns the fencing token in the name of the change, 0 if none."""
        _, _, token = self.attempt.rpartition("/")
        return int(token) if token.isascii() and token.isdigit() else 0

    def precedes(self, other: "Hold") -> bool:
        """Returns whether this one of two concurrent holds takes precedence.

        One of a later token does, then the one whose change sorts first. One
        that waits for an outcome gives way only to another such hold.
        """
        if other.until_decided and not self.until_decided:
            return False
        own = (-self.token(), self.attempt)
        return own < (-other.token(), other.attempt)


NO_HOLD = Hold()


class WriteHold:
    """The hold of a group's writes, and the writes in flight.

    Attributes:
        in_flight: Number of this proxy's writes in flight.
    """

    def __init__(self):
        self._hold = NO_HOLD
        self.in_flight = 0

    def start(self, hold: Hold) -> bool:
        """Holds new writes back while a change is in progress.

        Args:
            hold: The hold; it replaces an earlier one of the same change.

        Returns:
            Whether writes are held for this change.
        """
        current = self.current()
        is_other = current.attempt not in ("", hold.attempt)
        if is_other and not hold.precedes(current):
            return False
        self._hold = hold
        return True

    def renew(self, attempt: str, until: float) -> None:
        """Extends the hold if writes are held for this change."""
        current = self.current()
        if attempt and current.attempt == attempt:
            self._hold = dataclasses.replace(current, expires_at=until)

    def release(self, attempt: str) -> bool:
        """Releases writes; returns whether they were held for this change."""
        if not attempt or self._hold.attempt != attempt:
            return False
        self._hold = NO_HOLD
        return True

    def release_decided(self, *, leader: str) -> bool:
        """Releases writes if the promotion of an endpoint decides the change.

        Args:
            leader: The endpoint that leads a later term.

        Returns:
            Whether they were held for the outcome of this change.
        """
        if not self._hold.until_decided or self._hold.targets != (leader,):
            return False
        self._hold = NO_HOLD
        return True

    def release_fenced(self, token: int) -> bool:
        """Releases writes that wait for an order with a lower token.

        Args:
            token: A token under which the platform has accepted a fence.

        Returns:
            Whether they were held for that.
        """
        if not self._hold.until_decided or self._hold.token() >= token:
            return False
        self._hold = NO_HOLD
        return True

    def current(self) -> Hold:
        """Returns the hold in force, NO_HOLD if there is none."""
        return self._hold if self._hold.is_active() else NO_HOLD

    def attempt(self) -> str:
        """Returns the change that writes are held for, "" if none."""
        return self.current().attempt

    def is_held(self) -> bool:
        """Returns whether writes are held."""
        return self._hold.is_active()

    def is_drained(self) -> bool:
        """Returns whether writes are held and none is in flight."""
        return self.is_held() and self.in_flight == 0
