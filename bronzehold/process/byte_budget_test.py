import threading

import pytest

from bronzehold.core import clock
from bronzehold.process import byte_budget

KIB = 1024
MESSAGE = 1024 * KIB
RECEIVING = byte_budget.Phase.RECEIVING
RUNNING = byte_budget.Phase.RUNNING
SENDING = byte_budget.Phase.SENDING


class Pool:
    """A budget with what it has reported and aborted."""

    def __init__(self, total):
        self.reports = []
        self.aborted = []
        self.budget = byte_budget.Budget(
            total=total, report=lambda action, *_: self.reports.append(action)
        )

    def account(self, name=""):
        def abort(phase):
            self.aborted.append((name, phase))

        return self.budget.open_account(abort)


@pytest.fixture(autouse=True)
def _short_waits(monkeypatch):
    monkeypatch.setattr(byte_budget, "WAIT_S", 0.05)
    monkeypatch.setattr(byte_budget, "CHECK_INTERVAL_S", 0.005)


def test_small_messages_are_not_charged_when_the_budget_is_used_up():
    """Guards against ordinary statements that wait behind large ones."""
    pool = Pool(MESSAGE)
    pool.account().reserve(MESSAGE, MESSAGE + byte_budget.FREE_BYTES)
    other = pool.account()
    other.reserve(byte_budget.FREE_BYTES, MESSAGE)
    other.hold(byte_budget.FREE_BYTES, RUNNING)
    other.await_room()
    assert pool.budget.used() == MESSAGE


def test_message_that_finds_no_room_is_refused():
    """Guards against memory beyond the budget, and against endless waits."""
    pool = Pool(MESSAGE)
    holder = pool.account()
    holder.reserve(MESSAGE, MESSAGE)
    holder.hold(MESSAGE, RUNNING)
    with pytest.raises(byte_budget.ShortError):
        pool.account().reserve(20 * KIB, MESSAGE)
    assert pool.reports == ["refused"]
    assert not pool.aborted


def test_message_waits_for_the_memory_of_another(monkeypatch):
    """Guards against refusals of messages whose turn comes soon."""
    monkeypatch.setattr(byte_budget, "WAIT_S", 20.0)
    pool = Pool(MESSAGE)
    holder = pool.account()
    holder.reserve(MESSAGE, MESSAGE)
    other = pool.account()
    task = threading.Thread(target=other.reserve, args=(20 * KIB, MESSAGE))
    task.start()
    holder.close()
    task.join(10.0)
    assert not task.is_alive()
    assert other.covered == MESSAGE


def test_message_larger_than_the_budget_is_received_alone():
    """Guards against legal messages that a calm process never takes."""
    pool = Pool(100 * KIB)
    account = pool.account()
    account.reserve(20 * KIB, 3 * MESSAGE)
    assert account.covered == 3 * MESSAGE
    with pytest.raises(byte_budget.ShortError):
        pool.account().reserve(20 * KIB, 3 * MESSAGE)


def test_answers_that_are_not_taken_hold_up_statements_until_they_end():
    """Guards against a crowd of readers that each let one more answer in."""
    pool = Pool(MESSAGE)
    reader = pool.account("reader")
    reader.hold(2 * MESSAGE, SENDING)
    assert pool.budget.is_overdrawn
    with pytest.raises(byte_budget.ShortError):
        pool.account().await_room()
    assert not pool.aborted
    reader.progressed_at -= byte_budget.STALL_S
    with pytest.raises(byte_budget.ShortError):
        pool.account().await_room()
    assert pool.aborted == [("reader", SENDING)]
    reader.close()
    pool.account().await_room()
    assert pool.reports == ["refused", "closed", "refused"]


def test_aborted_connection_gets_no_further_memory():
    """Guards against running a message whose sender was told otherwise."""
    pool = Pool(MESSAGE)
    slow = pool.account("slow")
    slow.reserve(20 * KIB, MESSAGE)
    slow.progressed_at -= byte_budget.STALL_S
    with pytest.raises(byte_budget.ShortError):
        pool.account().reserve(20 * KIB, MESSAGE)
    assert slow.is_aborted
    assert pool.aborted == [("slow", RECEIVING)]


@pytest.mark.parametrize(
    ("phase", "stalled_s", "held_s", "chosen"),
    [
        (RECEIVING, 1.0, 1.0, True),
        (SENDING, 1.0, 1.0, True),
        (RECEIVING, 0.5, 3.0, False),
        # Little by little, so that there is always some progress.
        (RECEIVING, 0.0, 5.0, True),
        (SENDING, 0.0, 5.0, True),
        # The time that an endpoint takes is not the caller's fault.
        (RUNNING, 9.0, 9.0, False),
    ],
)
def test_transfers_that_are_ended(phase, stalled_s, held_s, chosen):
    """Guards against slow senders and readers that hold all memory."""
    pool = Pool(10 * MESSAGE)
    account = pool.account()
    account.hold(MESSAGE, phase)
    now = clock.now()
    account.began_at = now - held_s
    account.progressed_at = now - stalled_s
    found = byte_budget.choose_stalled([account], KIB, now)
    assert found == ([account] if chosen else [])


def test_no_more_transfers_are_ended_than_needed():
    """Guards against closing all slow callers for one message."""
    pool = Pool(10 * MESSAGE)
    accounts = [pool.account() for _ in range(4)]
    now = clock.now()
    for number, account in enumerate(accounts):
        account.hold(MESSAGE, SENDING)
        account.began_at = account.progressed_at = now - 10 + number
    found = byte_budget.choose_stalled(reversed(accounts), MESSAGE, now)
    assert found == accounts[:2]


def test_state_of_sessions_takes_half_of_the_budget_at_most():
    """Guards against session values that leave no room for messages."""
    pool = Pool(MESSAGE)
    one = pool.account()
    assert one.hold_state(byte_budget.FREE_STATE_BYTES + MESSAGE // 2)
    other = pool.account()
    assert other.hold_state(byte_budget.FREE_STATE_BYTES)
    assert not other.hold_state(byte_budget.FREE_STATE_BYTES + 1)
    assert pool.reports == ["state refused"]
    one.close()
    assert other.hold_state(2 * byte_budget.FREE_STATE_BYTES)


def test_closed_accounts_leave_nothing():
    """Guards against a budget that shrinks with each connection."""
    pool = Pool(4 * MESSAGE)
    for phase in byte_budget.Phase:
        account = pool.account()
        account.reserve(MESSAGE, MESSAGE)
        account.hold(2 * MESSAGE, phase)
        account.hold_state(MESSAGE)
        account.close()
    assert pool.budget.used() == 0
