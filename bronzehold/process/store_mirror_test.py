import dataclasses

import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import validation
from bronzehold.process import store_era
from bronzehold.process import store_mirror as mirror_lib
from bronzehold.process import store_news as news_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from tests import helpers

SNAPSHOT = ports.Snapshot(items=(), revision=5)
MEMBER = ports.Item(key="members/p1", value=b"h:1", revision=6)


class FakeDirectory:
    """Decodes all configurations, and the listings that a test adds."""

    config_key = "config"
    listings_prefix = "listings/"
    listing_error: Exception | None = None
    listings: dict[bytes, object] = {}

    def decode_table(self, value):
        return value

    def decode_listing(self, item):
        if item.value in self.listings:
            return self.listings[item.value]
        raise self.listing_error or ValueError("odd")


class FakeProcess:
    def __init__(self):
        self.timeline = timeline_lib.Timeline(proxy="me", zone="z")
        self.tasks = tasks_lib.Tasks(timeline=self.timeline)
        self.applied = []

    def set_listings(self, listings):
        del listings
        self.applied.append("endpoints")

    def adopt_table(self, table, source):
        del source
        self.applied.append(table)
        return True


class FakeStore:
    """Returns scripted watch responses, then stops the process."""

    def __init__(self, *, process, responses):
        self._process = process
        self._responses = list(responses)
        self.snapshots = 0
        self.watched = []
        self.waits = []
        self.on_list = lambda: None

    def list(self, prefix):
        del prefix
        self.snapshots += 1
        self.on_list()
        return SNAPSHOT

    def watch(self, prefix, after, wait_s):
        del prefix
        self.watched.append(after.revision)
        self.waits.append(wait_s)
        if not self._responses:
            self._process.tasks.stop.set()
            return dataclasses.replace(SNAPSHOT, revision=after.revision)
        response = self._responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


@pytest.fixture(name="run_mirror")
def _run_mirror(monkeypatch):
    monkeypatch.setattr(news_lib, "WATCHER_RETRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(mirror_lib, "BATCH_S", 0.0)

    def run_mirror(
        *responses,
        is_watcher=True,
        reported_revision=None,
        listing_error=None,
    ):
        directory = FakeDirectory()
        directory.listing_error = listing_error
        process = FakeProcess()
        store = FakeStore(process=process, responses=responses)
        news = news_lib.StoreNews(
            is_watcher=lambda: is_watcher, on_newer_revision=lambda: None
        )
        if reported_revision is not None:
            store.on_list = lambda: news.note_report(
                news_lib.Report(
                    position=ports.Position(era=0, revision=reported_revision),
                    at=clock.now(),
                )
            )
        mirror = mirror_lib.StoreMirror(
            process=process,
            store=store,
            directory=directory,
            members_prefix="members/",
            on_members=lambda _: process.applied.append("proxies"),
            records_prefix="records/",
            on_record=lambda *_: None,
            news=news,
            era=store_era.StoreEra(timeline=process.timeline),
        )
        mirror.run()
        store.mirror = mirror
        store.last_report = news.report()
        store.applied = process.applied
        return store

    return run_mirror


def test_failed_watch_is_resumed_at_its_revision(run_mirror):
    """A lost connection must not make the mirror read everything again.

    With a large configuration, each snapshot is expensive.
    """
    snapshot = ports.Snapshot(items=(), revision=9)
    unreachable = ports.StoreError("away")
    store = run_mirror(snapshot, unreachable, unreachable)
    assert store.snapshots == 1
    assert store.watched == [5, 9, 9, 9]


def test_compacted_watch_starts_again_from_a_snapshot(run_mirror):
    snapshot = ports.Snapshot(items=(), revision=9)
    store = run_mirror(snapshot, ports.CompactedError("gone"))
    assert store.snapshots == 2
    assert store.watched == [5, 9, 5]


def test_changes_that_come_together_cost_one_call(run_mirror, monkeypatch):
    """Answers the pattern of a fleet that starts at once.

    Every proxy and endpoint that registered ended the watches of all others.
    The changes that were read are applied before the wait.
    """
    waits = []

    def record_wait(mirror):
        waits.append(mirror)

    monkeypatch.setattr(
        mirror_lib.StoreMirror, "_wait_for_more_changes", record_wait
    )
    record = dataclasses.replace(MEMBER, key="records/grp", value=None)
    run_mirror(
        ports.Snapshot(items=(MEMBER,), revision=6),
        ports.Snapshot(items=(MEMBER, record), revision=7),
        ports.Snapshot(items=(), revision=7),
    )
    assert len(waits) == 2, "an empty answer is no reason to wait"


def test_proxy_that_does_not_watch_reads_what_its_peers_report(run_mirror):
    store = run_mirror(is_watcher=False, reported_revision=9)
    assert store.watched == [5]
    assert store.waits == [0.0]


def test_registrations_of_proxies_are_not_reported_to_peers(run_mirror):
    """A fleet that starts must not make every proxy read N times."""
    store = run_mirror(
        ports.Snapshot(items=(MEMBER,), revision=6),
        ports.Snapshot(items=(), revision=6),
    )
    assert store.last_report is None
    record = dataclasses.replace(MEMBER, key="records/grp", value=None)
    store = run_mirror(ports.Snapshot(items=(record, MEMBER), revision=8))
    assert store.last_report.position == record.position


def test_proxies_are_known_before_the_endpoints(run_mirror):
    """Answers the pattern of a fleet that starts at once.

    A proxy that knew the endpoints first took itself for the only one, and
    opened a connection to each of them to probe it.
    """
    assert run_mirror().applied == ["proxies", "endpoints"]


def test_peers_get_the_registered_proxies_with_the_endpoints(run_mirror):
    """Answers the pattern of a fleet that starts at once.

    A proxy that had the endpoints from a peer, before its own snapshot, took
    itself for the only one.
    """
    gone = dataclasses.replace(MEMBER, value=None, revision=7)
    registered = ports.Snapshot(items=(MEMBER,), revision=6)
    entries = run_mirror(registered).mirror.raw_entries()
    assert entries == [(MEMBER.key, MEMBER.value)]
    removed = ports.Snapshot(items=(gone,), revision=7)
    assert run_mirror(registered, removed).mirror.raw_entries() == []
    forgotten = ports.CompactedError("gone")
    assert run_mirror(registered, forgotten).mirror.raw_entries() == []


@pytest.mark.parametrize(
    "error",
    [
        validation.ProblemsError(()),
        RecursionError("nested"),
        ValueError("digits"),
        OverflowError("large"),
    ],
)
def test_entry_that_cannot_be_decoded_does_not_stop_the_changes_after_it(
    run_mirror, error
):
    """Guards against CONFIG: an odd entry ended the mirror for ever."""
    odd = ports.Item(key="listings/odd", value=b"[[[", revision=6)
    config = ports.Item(key="config", value=b"table", revision=7)
    store = run_mirror(
        ports.Snapshot(items=(odd,), revision=6),
        ports.Snapshot(items=(config,), revision=7),
        listing_error=error,
    )
    assert store.watched == [5, 6, 7]
    assert b"table" in store.applied
    assert store.mirror.raw_entries() == [("config", b"table")]


def test_endpoint_whose_entry_is_overwritten_is_kept_for_a_while(
    run_mirror, monkeypatch
):
    """Guards against LOST: one odd write dropped a primary that worked.

    Its connections were closed and another endpoint was promoted.
    """
    listing = helpers.listing("e1", leads=True)
    monkeypatch.setitem(FakeDirectory.listings, b"good", listing)
    good = ports.Item(key="listings/e1", value=b"good", revision=6)
    odd = ports.Item(key="listings/e1", value=b"[[[", revision=7)
    mirror = run_mirror(
        ports.Snapshot(items=(good,), revision=6),
        ports.Snapshot(items=(odd,), revision=7),
    ).mirror
    assert set(mirror._listings) == {"e1"}
    assert mirror.raw_entries() == []
    monkeypatch.setattr(mirror_lib, "LAPSE_GRACE_S", -1.0)
    mirror._expire()
    assert not mirror._listings


def _mirror_with_listing(run_mirror, monkeypatch, *, unreachable):
    """Returns a mirror that lists one endpoint."""
    listings = {
        b"old": helpers.listing("a", started_ms=10),
        b"again": helpers.listing("a", started_ms=20),
        b"new": helpers.listing("b", started_ms=30),
    }
    monkeypatch.setattr(FakeDirectory, "listings", listings)
    item = ports.Item(key="listings/a", value=b"old", revision=6)
    responses = [ports.Snapshot(items=(item,), revision=6)]
    if unreachable:
        responses.append(ports.StoreError("turned away"))
    mirror = run_mirror(*responses).mirror
    mirror._unreachable = unreachable
    return mirror


@pytest.mark.parametrize(
    ("entry", "unreachable", "is_used"),
    [
        (("listings/b", b"new"), True, True),
        (("listings/a", b"again"), True, True),
        (("listings/a", b"old"), True, False),
        (("listings/b", b"new"), False, False),
        (("listings/b", b"odd"), True, False),
        (("members/p1", b"h:1"), True, False),
    ],
)
def test_endpoint_that_has_started_is_taken_from_peers_without_the_store(
    run_mirror, monkeypatch, entry, unreachable, is_used
):
    """Guards against DRAIN: a proxy knew only endpoints that leave."""
    mirror = _mirror_with_listing(
        run_mirror, monkeypatch, unreachable=unreachable
    )
    before = dict(mirror._listings)
    mirror.apply_peer_entries([entry], "p2")
    assert (mirror._listings != before) == is_used
