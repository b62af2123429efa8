"""Tests of the mirror over a return of the store, with a fake store."""

import types

import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import store_era
from bronzehold.process import store_mirror as mirror_lib
from bronzehold.process import store_news as news_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from tests import helpers


class FakeDirectory:
    """Decodes "VERSION" and "BORN SEQUENCE [leaving]"."""

    config_key = "config"
    listings_prefix = "listings/"

    def decode_table(self, value):
        return types.SimpleNamespace(version=int(value))

    def decode_listing(self, item):
        born, sequence, *leaving = item.value.decode().split()
        return helpers.listing(
            item.key.removeprefix(self.listings_prefix),
            started_ms=int(born),
            sequence=int(sequence),
            leaving=bool(leaving),
        )


class FakeProcess:
    def __init__(self):
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.tasks = tasks_lib.Tasks(timeline=self.timeline)
        self.listings = {}
        self.in_force = types.SimpleNamespace(version=0)

    def table(self):
        return self.in_force

    def adopt_table(self, table, source):
        del source
        if table.version < self.in_force.version:
            return False
        self.in_force = table
        return True

    def set_listings(self, listings):
        self.listings = listings


class FakeStore:
    """A store whose content a test sets.

    Attributes:
        grown_past: Whether a position of an older era exists again, so that a
            watch from there is answered without an error.
    """

    def __init__(self, era):
        self.era = era
        self.content = {}
        self.revision = 5
        self.server_era = 1
        self.snapshots = 0
        self.grown_past = False
        self.is_away = False

    def _items(self):
        return tuple(
            ports.Item(
                key=key, value=value, revision=revision, era=self.server_era
            )
            for key, (value, revision) in self.content.items()
        )

    def _answer(self):
        if self.is_away:
            raise ports.StoreError("away")
        self.era.observe(self.server_era)

    def list(self, prefix):
        del prefix
        self.snapshots += 1
        self._answer()
        return ports.Snapshot(
            items=self._items(), revision=self.revision, era=self.server_era
        )

    def watch(self, prefix, after, wait_s):
        del prefix, wait_s
        self._answer()
        if after.era != self.server_era:
            if not self.grown_past:
                raise ports.CompactedError("no such position")
            raise ports.StaleEraError("another era")
        items = tuple(i for i in self._items() if i.revision > after.revision)
        return ports.Snapshot(
            items=items, revision=self.revision, era=self.server_era
        )

    def put(self, key, value):
        self.revision += 1
        self.content[key] = (value, self.revision)

    def return_with(self, **content):
        """Returns in the next era with the values of some keys."""
        self.server_era += 1
        self.revision = 5
        self.content = {}
        for key, value in content.items():
            self.put(key.replace("_", "/"), value)


class Harness:
    def __init__(self, monkeypatch):
        self.at = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.at)
        monkeypatch.setattr(mirror_lib, "BATCH_S", 0.0)
        monkeypatch.setattr(news_lib, "WATCHER_RETRY_INTERVAL_S", 0.0)
        self.process = FakeProcess()
        self.era = store_era.StoreEra(timeline=self.process.timeline)
        self.store = FakeStore(self.era)
        self.news = news_lib.StoreNews(
            is_watcher=lambda: True, on_newer_revision=lambda: None
        )
        self.records = []
        self.mirror = mirror_lib.StoreMirror(
            process=self.process,
            store=self.store,
            directory=FakeDirectory(),
            members_prefix="members/",
            on_members=lambda _: None,
            records_prefix="records/",
            on_record=lambda *args: self.records.append(args),
            news=self.news,
            era=self.era,
        )
        self.era.on_rise(self.mirror.forget_before)
        self.era.on_rise(self.news.forget_before)

    def step(self, times=2):
        """Lets the mirror make some calls to the store."""
        steps = iter(range(times))
        stop = self.process.tasks.stop
        is_set, stop.is_set = stop.is_set, lambda: next(steps, None) is None
        self.mirror.run()
        stop.is_set = is_set

    def events(self, kind):
        return [
            entry.event
            for entry in self.process.timeline._entries
            if type(entry.event).__name__ == kind
        ]


@pytest.fixture(name="harness")
def _harness(monkeypatch):
    return Harness(monkeypatch)


@pytest.mark.parametrize("grown_past", [False, True])
def test_everything_is_read_afresh_after_a_return(harness, grown_past):
    """Guards against CONFIG: a change before the same revision was missed."""
    harness.step()
    harness.store.put("config", b"2")
    harness.step()
    harness.store.return_with(config=b"3", listings_e1=b"1 1")
    harness.store.grown_past = grown_past
    harness.step(3)
    assert harness.store.snapshots == 2
    assert harness.process.in_force.version == 3
    assert set(harness.process.listings) == {"e1"}
    (_, changed) = harness.events("StoreEraChanged")
    assert (changed.old, changed.new) == (1, 2)
    assert "watch position 6" in changed.forgotten
    assert not harness.events("PlatformAway")


def test_era_that_another_thread_learns_lets_a_snapshot_be_read(harness):
    """Guards against a watch from a position of an older era."""
    harness.step()
    harness.store.return_with()
    harness.era.observe(2)
    harness.step(1)
    assert harness.store.snapshots == 2


def test_older_configuration_is_neither_used_nor_passed_on(harness):
    """Guards against CONFIG: a proxy that starts takes it from this one."""
    harness.store.put("config", b"7")
    harness.step()
    harness.store.return_with(config=b"6")
    harness.step(3)
    assert harness.process.in_force.version == 7
    assert harness.mirror.raw_entries() == [("config", b"7")]
    (event,) = harness.events("StoreEntryDiscarded")
    assert (event.key, event.found, event.known) == ("config", "6", "7")
    harness.store.put("config", b"8")
    harness.step(1)
    assert harness.mirror.raw_entries() == [("config", b"8")]


def test_listing_that_falls_back_is_not_used(harness):
    """Guards against work for an endpoint that drains."""
    harness.store.put("listings/e1", b"3 10 leaving")
    harness.step()
    harness.store.return_with(listings_e1=b"3 9")
    harness.step(3)
    assert harness.process.listings["e1"].leaving
    assert harness.mirror.raw_entries() == [("listings/e1", b"3 10 leaving")]
    (event,) = harness.events("StoreEntryDiscarded")
    assert event.known == "born 3, sequence 10"
    harness.store.put("listings/e1", b"3 11")
    harness.step(1)
    assert harness.process.listings["e1"].leaving
    harness.store.put("listings/e1", b"4 1")
    harness.step(1)
    assert not harness.process.listings["e1"].leaving


def test_listings_without_eras_are_used_as_before(harness):
    harness.store.server_era = 0
    harness.store.put("listings/e1", b"3 10 leaving")
    harness.step()
    harness.store.put("listings/e1", b"3 9")
    harness.step(1)
    assert not harness.process.listings["e1"].leaving


def test_listings_that_vanish_get_time_to_be_written_again(harness):
    """Guards against LOST: an endpoint that works was dropped.

    It was missing already, for nearly the whole time, when the store returned.
    """
    harness.store.put("listings/e1", b"1 1")
    harness.store.put("listings/e2", b"1 1")
    harness.step()
    harness.store.return_with(listings_e2=b"1 1")
    harness.step(3)
    harness.at += mirror_lib.LAPSE_GRACE_S - 0.1
    harness.store.return_with(listings_e2=b"1 1")
    harness.step(3)
    harness.at += 0.2
    harness.step(1)
    assert set(harness.process.listings) == {"e1", "e2"}
    harness.at += mirror_lib.LAPSE_GRACE_S
    harness.step(1)
    assert set(harness.process.listings) == {"e2"}


def test_endpoint_that_was_removed_does_not_come_back(harness):
    """Guards against work for an endpoint that ended in the lost seconds."""
    harness.store.put("listings/e1", b"1 4")
    harness.store.put("listings/e2", b"1 4")
    harness.step()
    harness.store.put("listings/e1", None)
    harness.step(1)
    harness.at += mirror_lib.LAPSE_GRACE_S + 0.1
    harness.step(1)
    harness.store.return_with(listings_e1=b"1 4", listings_e2=b"1 4")
    harness.step(3)
    assert set(harness.process.listings) == {"e2"}
    # It had lost its lease only, and writes again.
    harness.store.put("listings/e1", b"1 4")
    harness.step(1)
    assert set(harness.process.listings) == {"e1", "e2"}
    assert harness.mirror.leaving() == []


def test_endpoint_that_writes_again_before_the_snapshot_is_used_later(harness):
    """Guards against LOST: an endpoint that runs is not used for ever.

    Its entry looks like that of one that ended in the lost seconds.
    """
    harness.store.put("listings/e1", b"1 4")
    harness.step()
    harness.store.put("listings/e1", None)
    harness.step(1)
    harness.at += mirror_lib.LAPSE_GRACE_S + 0.1
    harness.step(1)
    harness.store.return_with(listings_e1=b"1 4")
    harness.step(3)
    assert not harness.process.listings
    harness.at += mirror_lib.REMOVED_REPORT_S
    harness.step(2)
    assert set(harness.process.listings) == {"e1"}


def test_reports_of_leaving_endpoints_count_for_a_while(harness):
    """Guards against work for a draining endpoint by a proxy that starts.

    It knows the endpoint from the copy only; its peers know better.
    """
    harness.store.put("listings/e1", b"1 4")
    harness.step()
    harness.mirror.mark_leaving(["e1@1"])
    assert harness.process.listings["e1"].leaving
    harness.at += mirror_lib.RETURN_REPORTS_S
    harness.step(1)
    assert not harness.process.listings["e1"].leaving
    harness.mirror.mark_leaving(["e1@1"])
    assert not harness.process.listings["e1"].leaving


def test_records_come_with_the_era_in_which_they_were_read(harness):
    harness.store.put("records/g", b"r")
    harness.step()
    harness.store.return_with(records_g=b"r")
    harness.step(3)
    assert harness.records == [("g", b"r", 1), ("g", b"r", 2)]


def test_late_answer_is_no_outage(harness):
    """Guards against a proxy that takes itself for cut off from the store."""
    harness.step()
    harness.era.observe(2)
    late = ports.StaleEraError("late")
    answers = iter([late, late])

    def list_late(prefix):
        for error in answers:
            raise error
        harness.store.server_era = 2
        return FakeStore.list(harness.store, prefix)

    harness.store.list = list_late
    harness.step(4)
    assert not harness.events("PlatformAway")
    assert harness.mirror._position.era == 2
