"""Mirrors the store: the configuration, the endpoints and the proxies.

One watch follows all keys, starting from a snapshot. A watch that fails or
times out is resumed at its last revision. If the store has compacted that
revision, the mirror starts again from a new snapshot. A proxy that need not
watch reads the changes when its peers report some (see store_news.py).
"""

import collections.abc
import dataclasses
import random
import threading
import typing

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import validation
from bronzehold.process import platform_process
from bronzehold.process import store_news as news_lib

_EncodedT = typing.TypeVar("_EncodedT")
_DecodedT = typing.TypeVar("_DecodedT")

# Time for which further changes are collected after some have been read. When a
# fleet starts, every proxy and endpoint that registers wakes all watches.
BATCH_S = 0.3
# Time for which an entry that disappeared is kept. Entries whose lease expired
# while the store was unreachable are registered again within two seconds.
LAPSE_GRACE_S = 2.5
# Time for which peers are told that an endpoint was removed.
REMOVED_REPORT_S = 20.0


class StoreMirror:
    """The task that follows the store and applies its changes."""

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        store: ports.Store,
        directory: ports.Directory,
        members_prefix: str,
        on_members: collections.abc.Callable[[dict[str, bytes]], None],
        records_prefix: str,
        on_record: collections.abc.Callable[[str, bytes, int], None],
        news: news_lib.StoreNews,
    ):
        self._news = news
        self._process = process
        self._store = store
        self._directory = directory
        self._members_prefix = members_prefix
        self._on_members = on_members
        self._records_prefix = records_prefix
        self._on_record = on_record
        self._raw_items: dict[str, ports.Item] = {}
        # Removed endpoints by id and start time, with the time of removal.
        self._removed: dict[str, float] = {}
        # Endpoints by id and start time that peers report as leaving.
        self._reported_leaving: set[str] = set()
        self._lock = threading.Lock()
        self._listings: dict[str, routes.Listing] = {}
        # Endpoints whose entry has disappeared, with the time of that.
        self._missing: dict[str, float] = {}
        self._members: dict[str, bytes] = {}
        # The revision up to which all changes are known.
        self._revision = 0
        # The newest revision of an entry that is no member's. Peers exchange
        # digests, so they need not read the store when a member registers.
        self._newest_relevant = 0
        # Revisions of invalid entries by key; each is recorded only once.
        self._refused_revisions: dict[str, int] = {}
        self._unreachable = False

    def run(self) -> None:
        """Follows the store until the process stops."""
        stop = self._process.tasks.stop
        while not stop.is_set():
            try:
                self._follow()
            except ports.CompactedError:
                self._revision = 0
            except ports.StoreError as exc:
                self._record_unreachable(str(exc))
                interval_s = self._news.retry_interval_s()
                stop.wait(interval_s * random.uniform(0.5, 1.5))  # noqa: S311
            self._expire()

    def _follow(self) -> None:
        """Reads the changes, or waits until there may be some."""
        if not self._revision:
            started_at = clock.now()
            self._revision = self._newest_relevant = self._load_snapshot()
            self._news.note_read(self._revision, started_at)
        match self._news.next_step(self._revision):
            case news_lib.Read(wait_s=wait_s):
                self._read_changes(wait_s)
            case news_lib.Wait(timeout_s=timeout_s):
                self._news.wait(timeout_s)

    def _read_changes(self, wait_s: float) -> None:
        if wait_s and not self._unreachable:
            self._news.set_watched(self._newest_relevant)
        started_at = clock.now()
        try:
            snapshot = self._store.watch("", self._revision, wait_s)
        finally:
            self._news.set_watched(None)
        self._record_reachable()
        self._news.note_read(snapshot.revision, started_at)
        self._apply(snapshot.items)
        self._revision = snapshot.revision
        relevant = [
            item.revision
            for item in snapshot.items
            if not item.key.startswith(self._members_prefix)
        ]
        self._newest_relevant = max([self._newest_relevant, *relevant])
        if relevant and wait_s:
            self._news.note_report(
                news_lib.Report(revision=self._newest_relevant, at=started_at)
            )
        if snapshot.items or not wait_s:
            self._wait_for_more_changes()

    def _wait_for_more_changes(self) -> None:
        """Waits, so that changes which come together are read in one call."""
        self._process.tasks.stop.wait(BATCH_S)

    def _load_snapshot(self) -> int:
        snapshot = self._store.list("")
        self._record_reachable()
        listed_keys = {
            item.key
            for item in snapshot.items
            if item.key.startswith(self._directory.listings_prefix)
        }
        now = clock.now()
        prefix = self._directory.listings_prefix
        for name in self._listings:
            if prefix + name not in listed_keys:
                self._missing.setdefault(name, now)
        for name in self._members:
            self._raw_items.pop(self._members_prefix + name, None)
        self._members = {}
        self._apply(snapshot.items, is_snapshot=True)
        return snapshot.revision

    def _record_unreachable(self, why: str) -> None:
        if not self._unreachable:
            self._unreachable = True
            self._process.timeline.add(events.PlatformAway(why=why))

    def _record_reachable(self) -> None:
        if self._unreachable:
            self._unreachable = False
            # Entries that disappeared meanwhile get the full time to return.
            now = clock.now()
            self._missing = dict.fromkeys(self._missing, now)
            self._process.timeline.add(events.PlatformBack())

    # Applying changes.

    def _apply(
        self,
        items: collections.abc.Iterable[ports.Item],
        *,
        is_snapshot: bool = False,
    ) -> None:
        with self._lock:
            self._apply_locked(items, is_snapshot=is_snapshot)

    def _apply_locked(
        self, items: collections.abc.Iterable[ports.Item], *, is_snapshot: bool
    ) -> None:
        members_changed = is_snapshot
        listings_changed = is_snapshot
        configs = []
        for item in items:
            if item.key == self._directory.config_key:
                configs.append(item)
            elif item.key.startswith(self._directory.listings_prefix):
                self._apply_listing(item)
                listings_changed = True
            elif item.key.startswith(self._members_prefix):
                self._apply_member(item)
                members_changed = True
            elif item.key.startswith(self._records_prefix) and item.value:
                service = item.key.removeprefix(self._records_prefix)
                self._on_record(service, item.value, item.revision)
        # The proxies come first: they determine which endpoints this one uses.
        if members_changed:
            self._on_members(dict(self._members))
        for item in configs:
            self._apply_config(item)
        if listings_changed:
            self._publish()

    def _apply_config(self, item: ports.Item) -> None:
        if item.value is None:
            return
        table = _decode(self._directory.decode_table, item.value)
        if isinstance(table, _Undecodable):
            self._process.timeline.add(
                events.ConfigRefused(source="store", problems=table.why)
            )
            return
        self._raw_items[item.key] = item
        self._process.adopt_table(table, "store")

    def _apply_listing(self, item: ports.Item) -> None:
        name = item.key.removeprefix(self._directory.listings_prefix)
        if item.value is None:
            self._refused_revisions.pop(item.key, None)
            if name in self._listings:
                self._missing.setdefault(name, clock.now())
            return
        listing = _decode(self._directory.decode_listing, item)
        if isinstance(listing, _Undecodable):
            # Another program may have overwritten the entry of an endpoint that
            # works; it writes its own again with its next heartbeat.
            if name in self._listings:
                self._missing.setdefault(name, clock.now())
            self._raw_items.pop(item.key, None)
            if self._refused_revisions.get(item.key) != item.revision:
                self._refused_revisions[item.key] = item.revision
                self._process.timeline.add(
                    events.ListingRefused(key=item.key, why=listing.why)
                )
            return
        self._missing.pop(name, None)
        self._raw_items[item.key] = item
        self._listings[name] = listing

    def _apply_member(self, item: ports.Item) -> None:
        name = item.key.removeprefix(self._members_prefix)
        if item.value is None:
            self._members.pop(name, None)
            self._raw_items.pop(item.key, None)
        else:
            self._members[name] = item.value
            self._raw_items[item.key] = item

    def _expire(self) -> None:
        if self._unreachable:
            return
        now = clock.now()
        expired = [
            n for n, at in self._missing.items() if now - at > LAPSE_GRACE_S
        ]
        for name in expired:
            del self._missing[name]
            listing = self._listings.pop(name, None)
            if listing is not None:
                self._removed[_incarnation(listing)] = now
            self._raw_items.pop(self._directory.listings_prefix + name, None)
        self._removed = {
            incarnation: at
            for incarnation, at in self._removed.items()
            if now - at < REMOVED_REPORT_S
        }
        if expired:
            self._publish()

    def _publish(self) -> None:
        listings = dict(self._listings)
        if self._unreachable:
            for name, listing in listings.items():
                if _incarnation(listing) in self._reported_leaving:
                    listings[name] = dataclasses.replace(listing, leaving=True)
        else:
            self._reported_leaving.clear()
        self._process.set_listings(listings)

    def store_unreachable(self) -> bool:
        """Returns whether the last call to the store failed."""
        return self._unreachable

    # Exchange with the peers.

    def leaving(self) -> list[str]:
        """Returns the endpoints that are leaving or were removed lately.

        They are identified by id and start time, for the peers.
        """
        incarnations = [
            _incarnation(listing)
            for listing in list(self._listings.values())
            if listing.leaving
        ]
        return incarnations + list(self._removed)

    def mark_leaving(self, incarnations: collections.abc.Iterable[str]) -> None:
        """Marks endpoints as leaving that a peer reports as leaving.

        The report is used only while the store is unreachable; otherwise the
        store is more up to date.

        Args:
            incarnations: The endpoints as leaving() of the peer returns them.
        """
        if not self._unreachable:
            return
        new = set(incarnations) - self._reported_leaving
        if new:
            self._reported_leaving |= new
            self._publish()

    def raw_entries(self) -> list[tuple[str, bytes]]:
        """Returns the keys and undecoded values of the store's valid entries.

        They are the configuration, the endpoints and the registered proxies.
        """
        return [
            (item.key, item.value)
            for item in list(self._raw_items.values())
            if item.value is not None
        ]

    def apply_peer_entries(
        self, entries: collections.abc.Iterable[tuple[str, bytes]], peer: str
    ) -> None:
        """Applies store entries received from a peer.

        The configuration is always applied, the endpoints and the registered
        proxies only if this proxy has no endpoints.

        Args:
            entries: Keys and undecoded values.
            peer: Name of the peer.
        """
        has_listings = bool(self._listings)
        items = [
            ports.Item(key=key, value=value, revision=0)
            for key, value in entries
            if not (has_listings and key != self._directory.config_key)
        ]
        self._process.timeline.count(f"entries from {peer}")
        self._apply(items)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Undecodable:
    why: str


def _decode(
    decode: collections.abc.Callable[[_EncodedT], _DecodedT],
    encoded: _EncodedT,
) -> _DecodedT | _Undecodable:
    """Decodes one entry, so that no entry can keep the others from use."""
    try:
        return decode(encoded)
    except validation.ProblemsError as exc:
        return _Undecodable(why=str(exc))
    except Exception as exc:  # noqa: BLE001
        # Other programs write the entries, and the changes that come with this
        # one must be applied whatever it holds.
        return _Undecodable(why=f"{type(exc).__name__}: {exc}")


def _incarnation(listing: routes.Listing) -> str:
    return f"{listing.id}@{listing.started_ms}"
