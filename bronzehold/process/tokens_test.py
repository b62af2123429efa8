import contextlib
import json

import hypothesis
from hypothesis import strategies
import pytest

from bronzehold.core import ports
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import tokens as tokens_lib
from bronzehold.version import fencing

KEY = tokens_lib.RECORDS_PREFIX + "g"


class FakeStore:
    """A store with one counter of revisions, which returns from copies.

    Attributes:
        before_swap: Called once before the next swap is executed.
        lose_answer: Whether the next swap is executed without an answer.
    """

    def __init__(self, era=0):
        self.era = era
        self.items = {}
        self.revision = 1
        self.before_swap = None
        self.lose_answer = False

    def copy(self):
        return dict(self.items), self.revision

    def return_from(self, copy):
        items, self.revision = copy
        self.items = dict(items)
        self.era += 1

    def get(self, key):
        value, revision = self.items.get(key, (None, 0))
        return ports.Item(key=key, value=value, revision=revision, era=self.era)

    def swap(self, old, value, lease=None):
        del lease
        hook, self.before_swap = self.before_swap, None
        if hook is not None:
            hook()
        is_unchanged = self.get(old.key).revision == old.revision
        if is_unchanged:
            self.put(old.key, value)
        if self.lose_answer:
            self.lose_answer = False
            raise ports.StoreError("lost")
        if self.era != old.era:
            raise ports.StaleEraError("another era")
        if not is_unchanged:
            return ports.Conflict()
        return ports.Swapped(revision=self.revision)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)

    def record(self):
        return json.loads(self.items[KEY][0])


def _proxy(store, name, incarnation=1):
    return tokens_lib.Tokens(
        proxy=name,
        incarnation=str(incarnation),
        store=store,
        timeline=timeline_lib.Timeline(proxy=name, zone="z"),
    )


def _claim(proxy):
    """Acquires the token; the first call may only read the record."""
    proxy.acquire("g")
    proxy.acquire("g")


def _events(proxy):
    return [type(entry.event).__name__ for entry in proxy._timeline._entries]


@pytest.fixture(name="store")
def _store():
    return FakeStore(era=1)


def test_numbers_without_eras_are_as_before():
    store = FakeStore()
    for number, name in enumerate(("a", "b", "a"), 1):
        proxy = _proxy(store, name)
        proxy.note_peer_number("g", 40)
        _claim(proxy)
        assert proxy.held() == {"g": number}


def test_swap_on_a_revision_that_was_issued_again_gives_no_token(store):
    """Guards against two holders of a number.

    The revision that the swap is based on belongs, in the new era, to the
    record of another holder, which the swap overwrites.
    """
    _proxy(store, "old").acquire("g")
    copy = store.copy()
    mine, other = _proxy(store, "mine"), _proxy(store, "other")
    store.put(KEY, store.items[KEY][0])
    mine.acquire("g")

    def return_and_reissue():
        store.return_from(copy)
        _claim(other)

    store.before_swap = return_and_reissue
    mine.acquire("g")
    assert store.record()["holder"] == mine.holder_id, "it was overwritten"
    assert not mine.held()
    mine.acquire("g")
    assert mine.held()["g"] > other.held()["g"]


def test_holder_whose_record_was_overwritten_writes_it_again(store):
    holder = _proxy(store, "holder")
    holder.acquire("g")
    number = holder.held()["g"]
    store.put(KEY, b'{"holder": "other/1", "token": 3}')
    holder.apply_record("g", store.items[KEY][0], store.era)
    assert holder.lost_records() == ["g"]
    holder.restore_record("g")
    assert store.record() == {"holder": holder.holder_id, "token": number}
    assert not holder.lost_records()
    assert "TokenRecordRestored" in _events(holder)


def test_lost_answer_around_the_return_proves_nothing(store):
    """Guards against a number that was won in the lost seconds by another.

    The swap was executed, its answer was lost, and the copy has its record.
    """
    proxy = _proxy(store, "a")
    store.lose_answer = True
    proxy.acquire("g")
    store.return_from(store.copy())
    proxy.acquire("g")
    assert proxy.held()["g"] > fencing.first_number(2)


def test_lost_answer_in_the_same_era_is_made_up_for(store):
    proxy = _proxy(store, "a")
    store.lose_answer = True
    proxy.acquire("g")
    assert not proxy.held()
    number = store.record()["token"]
    proxy.acquire("g")
    assert proxy.held() == {"g": number}


def test_holder_goes_on_with_a_number_whose_record_is_lost(store):
    empty = store.copy()
    holder = _proxy(store, "a")
    holder.acquire("g")
    number = holder.held()["g"]
    store.return_from(empty)
    holder.forget_before(2)
    assert holder.held() == {"g": number}
    holder.restore_record("g")
    assert store.record() == {"holder": holder.holder_id, "token": number}


def test_holder_that_was_replaced_in_the_new_era_restores_nothing(store):
    """Guards against a record that goes back below the next holder's."""
    empty = store.copy()
    frozen = _proxy(store, "a")
    frozen.acquire("g")
    store.return_from(empty)
    later = _proxy(store, "b")
    _claim(later)
    frozen.forget_before(2)
    frozen.restore_record("g")
    assert store.record()["holder"] == later.holder_id
    assert not frozen.held()
    assert not frozen.lost_records()


def test_failed_restoration_is_repeated(store):
    holder = _proxy(store, "a")
    empty = store.copy()
    holder.acquire("g")
    store.return_from(empty)
    holder.forget_before(2)
    store.before_swap = lambda: store.return_from(empty)
    with pytest.raises(ports.StaleEraError):
        holder.restore_record("g")
    assert holder.lost_records() == ["g"]


def test_number_is_above_what_a_peer_reports(store):
    proxy = _proxy(store, "a")
    known = fencing.first_number(1) + 500
    proxy.note_peer_number("g", known)
    proxy.acquire("g")
    assert proxy.held() == {"g": known + 1}


def test_odd_number_of_a_peer_does_not_end_all_claims(store):
    proxy = _proxy(store, "a")
    proxy.note_peer_number("g", (1 << 63) - 1)
    proxy.acquire("g")
    assert proxy.held()


def test_odd_record_does_not_end_all_claims(store):
    """Guards against CONFIG: a record that no proxy has written."""
    store.put(KEY, b'{"holder": "x/1", "token": %d}' % ((1 << 63) - 1))
    proxy = _proxy(store, "a")
    _claim(proxy)
    assert proxy.held()


_NAMES = strategies.sampled_from("abc")
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["acquire", "renew", "restore", "restart"]),
            _NAMES,
        ),
        strategies.tuples(strategies.just("read"), _NAMES),
        strategies.tuples(
            strategies.sampled_from(["copy", "return", "lose answer"]),
            strategies.none(),
        ),
        # A swap of one proxy crosses a return, after which another one acts.
        strategies.tuples(strategies.just("cross"), _NAMES, _NAMES),
    ),
    max_size=25,
)


class _Fleet:
    """Three proxies that claim one token in a store that returns."""

    def __init__(self):
        self.store = FakeStore(era=1)
        self.copy = self.store.copy()
        self.incarnation = 1
        self.proxies = {name: _proxy(self.store, name) for name in "abc"}
        self.holders = {}

    def take(self, step):
        match step:
            case ("acquire", name):
                self.proxies[name].acquire("g")
            case ("renew", name):
                if self.proxies[name].holds("g"):
                    self.proxies[name].acquire("g", renew=True)
            case ("restore", name):
                with contextlib.suppress(ports.StoreError):
                    self.proxies[name].restore_record("g")
            case ("restart", name):
                self.incarnation += 1
                self.proxies[name] = _proxy(self.store, name, self.incarnation)
            case ("read", name):
                item = self.store.get(KEY)
                if item.value is not None:
                    self.proxies[name].apply_record("g", item.value, item.era)
            case ("copy", _):
                self.copy = self.store.copy()
            case ("return", _):
                self.store.return_from(self.copy)
            case ("lose answer", _):
                self.store.lose_answer = True
            case ("cross", name, other):
                self.store.before_swap = lambda: self._cross(other)
                self.proxies[name].acquire("g")
                self.store.before_swap = None

    def _cross(self, other):
        self.store.return_from(self.copy)
        _claim(self.proxies[other])

    def check(self):
        for proxy in self.proxies.values():
            for number in proxy.held().values():
                holder = self.holders.setdefault(number, proxy.holder_id)
                assert holder == proxy.holder_id, f"{number} has two holders"


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(_STEPS)
def test_each_number_has_one_holder(steps):
    """Guards against two holders of a number, in any order of the hazards."""
    fleet = _Fleet()
    for step in steps:
        fleet.take(step)
        fleet.check()
