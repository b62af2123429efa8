"""Accounting of the memory for messages and answers of callers and peers.

A process has one Budget, and each connection an Account of it. A small part of
each connection's bytes is free, so that ordinary statements neither wait nor
take a lock. Larger messages are charged to the budget before they are received:
the connection waits without reading while there is no room. An answer exists
already, so it is charged without waiting and may overdraw the budget; until
that has passed, no further statement is run.

While there is no room, the connections that hold memory and transfer nothing
are closed, beginning with the oldest transfer.
"""

import collections.abc
import contextlib
import enum
import threading

from bronzehold.core import clock

# Bytes of each connection that are not charged. Statements are far shorter.
FREE_BYTES = 16 * 1024
# Bytes of the state of each session that are not charged.
FREE_STATE_BYTES = 4 * 1024
# The part of the budget that the state of sessions may take.
MAX_STATE_PART = 0.5
# While there is no room, a transfer without progress for this long is ended.
# A network that drops packets resumes within a few hundred ms.
STALL_S = 1.0
# While there is no room, a transfer that takes this long is ended even if it
# makes progress. The largest message needs 1.7 Mbit/s.
MAX_TRANSFER_S = 5.0
# Maximum wait for room, longer than it takes to end stalled transfers.
WAIT_S = 5.0
# Interval at which a wait looks for stalled transfers.
CHECK_INTERVAL_S = 0.2


class ShortError(Exception):
    """There was no room in the budget in time."""


class Phase(enum.Enum):
    """What a connection does with the memory that it holds.

    Attributes:
        RECEIVING: It receives a message.
        RUNNING: It runs a request.
        SENDING: It sends an answer.
    """

    RECEIVING = enum.auto()
    RUNNING = enum.auto()
    SENDING = enum.auto()


# Reports that a connection was refused or closed: what was done, its charge
# and the charge of all connections in bytes.
Report = collections.abc.Callable[[str, int, int], None]


def _ignore(_phase: Phase) -> None:
    return None


class Account:
    """The charge of one connection; used by the connection's own task.

    Attributes:
        covered: Bytes that the connection may hold without a further charge.
    """

    def __init__(
        self,
        *,
        budget: "Budget",
        abort: collections.abc.Callable[[Phase], None],
    ):
        self._budget = budget
        self.abort = abort
        self.covered = FREE_BYTES
        # The following are guarded by the lock of the budget.
        self.charge = 0
        self.state_bytes = 0
        self.phase = Phase.RECEIVING
        self.began_at = 0.0
        self.progressed_at = 0.0
        self.is_aborted = False

    def reserve(self, size: int, expected: int) -> None:
        """Makes sure that bytes may be received; waits for room.

        Args:
            size: Bytes that the connection holds with the next ones.
            expected: Bytes to charge if size is more than is covered. The
                whole message is charged at once, so that messages that have
                begun do not wait for each other.

        Raises:
            ShortError: There was no room in time.
        """
        if size > self.covered:
            self._budget.acquire(self, max(size, expected), Phase.RECEIVING)

    def expect_answer(self, size: int) -> None:
        """Waits for room for an answer that an endpoint has begun to send.

        Without room in time, the answer is charged all the same: it is that of
        a request that has run.

        Args:
            size: Bytes that the answer will take.
        """
        if size <= self.covered:
            return
        try:
            self._budget.acquire(self, size, Phase.RUNNING)
        except ShortError:
            self._budget.set_charge(self, size, Phase.RUNNING)

    def hold(self, size: int, phase: Phase) -> None:
        """Replaces the charge without waiting.

        Args:
            size: Bytes that the connection holds.
            phase: What it does with them.
        """
        if size > FREE_BYTES or self.charge:
            self._budget.set_charge(self, size, phase)

    def total(self) -> int:
        """Returns the size of the whole budget in bytes."""
        return self._budget.total

    def await_room(self) -> None:
        """Waits while answers overdraw the budget.

        Raises:
            ShortError: The budget was overdrawn for too long.
        """
        if self._budget.is_overdrawn:
            self._budget.await_room(self)

    def may_start(self) -> bool:
        """Returns whether a statement may be sent to an endpoint.

        It may have waited for an endpoint since await_room, while others got
        answers that are not taken.
        """
        return not self._budget.is_overdrawn

    def record_progress(self) -> None:
        """Records that bytes were received or sent."""
        self.progressed_at = clock.now()

    def hold_state(self, size: int) -> bool:
        """Replaces the charge for the state of the session.

        Returns:
            Whether there is room; the charge is unchanged if not.
        """
        charge = max(0, size - FREE_STATE_BYTES)
        return charge == self.state_bytes or self._budget.set_state(
            self, charge
        )

    def close(self) -> None:
        """Gives all memory back."""
        if self.charge or self.state_bytes:
            self._budget.set_charge(self, 0, Phase.RUNNING)
            self._budget.set_state(self, 0)
        # Ends the reference cycle with the connection, which would keep its
        # buffers until the next garbage collection.
        self.abort = _ignore


class Budget:
    """The memory that all connections of a process share; thread-safe.

    Attributes:
        total: Bytes that may be charged.
        is_overdrawn: Whether more than that is charged.
    """

    def __init__(self, *, total: int, report: Report):
        self.total = total
        self.is_overdrawn = False
        self._report = report
        self._changed = threading.Condition()
        self._used = 0
        self._state_used = 0
        self._pending_reports: list[tuple[str, int, int]] = []
        # Accounts with a charge for a message or an answer.
        self._charged: set[Account] = set()

    def open_account(
        self, abort: collections.abc.Callable[[Phase], None]
    ) -> Account:
        """Returns the account of a new connection.

        Args:
            abort: Ends the connection; called by other tasks, and must not
                block. Gets what the connection does at that time.
        """
        return Account(budget=self, abort=abort)

    @contextlib.contextmanager
    def _locked(self) -> collections.abc.Iterator[None]:
        """Holds the lock; what is to be reported is reported after it."""
        reports = []
        try:
            with self._changed:
                try:
                    yield
                finally:
                    reports, self._pending_reports = self._pending_reports, []
        finally:
            for report in reports:
                self._report(*report)

    def used(self) -> int:
        """Returns the bytes that are charged."""
        return self._used

    def acquire(self, account: Account, size: int, phase: Phase) -> None:
        """Charges bytes that are to be received; see Account.reserve."""
        # The largest message is received even if the budget is smaller.
        charge = min(size - FREE_BYTES, self.total - self._state_used)
        with self._locked():
            self._wait_for(account, charge - account.charge)
            self._set(account, charge, phase)
            account.covered = size

    def await_room(self, account: Account) -> None:
        """Waits while the budget is overdrawn; see Account.await_room."""
        with self._locked():
            self._wait_for(account, 0)

    def _wait_for(self, account: Account, size: int) -> None:
        deadline = clock.now() + WAIT_S
        while self._used + size > self.total:
            now = clock.now()
            if now >= deadline or account.is_aborted:
                self._pending_reports.append(
                    ("refused", account.charge, self._used)
                )
                raise ShortError
            self._abort_stalled(self._used + size - self.total, now)
            self._changed.wait(CHECK_INTERVAL_S)

    def _abort_stalled(self, missing: int, now: float) -> None:
        missing -= sum(a.charge for a in self._charged if a.is_aborted)
        if missing <= 0:
            return
        for account in choose_stalled(self._charged, missing, now):
            account.is_aborted = True
            account.abort(account.phase)
            self._pending_reports.append(("closed", account.charge, self._used))

    def set_charge(self, account: Account, size: int, phase: Phase) -> None:
        """Replaces a charge without waiting; see Account.hold."""
        with self._locked():
            self._set(account, max(0, size - FREE_BYTES), phase)
            account.covered = max(size, FREE_BYTES)

    def _set(self, account: Account, charge: int, phase: Phase) -> None:
        if account.phase is not phase or not account.charge:
            account.began_at = account.progressed_at = clock.now()
            account.phase = phase
        self._add(charge - account.charge)
        account.charge = charge
        if charge:
            self._charged.add(account)
        else:
            self._charged.discard(account)

    def set_state(self, account: Account, charge: int) -> bool:
        """Replaces the charge for a session's state; False without room."""
        with self._locked():
            added = charge - account.state_bytes
            most = self.total * MAX_STATE_PART
            if added > 0 and self._state_used + added > most:
                self._pending_reports.append(
                    ("state refused", account.state_bytes, self._used)
                )
                return False
            self._state_used += added
            self._add(added)
            account.state_bytes = charge
            return True

    def _add(self, size: int) -> None:
        self._used += size
        self.is_overdrawn = self._used > self.total
        if size < 0:
            self._changed.notify_all()


def _report_nothing(_action: str, _size: int, _used: int) -> None:
    return None


# For connections that no limit applies to.
UNLIMITED = Budget(total=1 << 62, report=_report_nothing)


def choose_stalled(
    accounts: collections.abc.Iterable[Account], missing: int, now: float
) -> list[Account]:
    """Returns the connections to end, so that others get their memory.

    Args:
        accounts: The accounts with a charge.
        missing: Bytes that are needed.
        now: The time, in seconds of clock.now().
    """
    stalled = [
        account
        for account in accounts
        if account.phase is not Phase.RUNNING
        and not account.is_aborted
        and (
            now - account.progressed_at >= STALL_S
            or now - account.began_at >= MAX_TRANSFER_S
        )
    ]
    stalled.sort(key=lambda account: account.began_at)
    chosen = []
    for account in stalled:
        if missing <= 0:
            break
        chosen.append(account)
        missing -= account.charge
    return chosen
