"""Mirrors the store: the configuration, the endpoints and the proxies.

One watch follows all keys, starting from a snapshot. A watch that fails or
times out is resumed at its last revision. If the store has compacted that
revision, the mirror starts again from a new snapshot. A proxy that need not
watch reads the changes when its peers report some (see store_news.py).

If the store has returned from an older copy (see store_era.py), the mirror also
starts again from a snapshot. What it acted on before stays in force if the copy
is older.
"""

import collections.abc
import dataclasses
import random
import threading

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.core import events
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import store_events
from bronzehold.process import entry_decoding
from bronzehold.process import listing_order
from bronzehold.process import peer_copies
from bronzehold.process import platform_process
from bronzehold.process import store_era
from bronzehold.process import store_news as news_lib

# Time for which further changes are collected after some have been read. When a
# fleet starts, every proxy and endpoint that registers wakes all watches.
BATCH_S = 0.3
# Time for which an entry that disappeared is kept. Entries whose lease expired
# while the store was unreachable are registered again within two seconds.
LAPSE_GRACE_S = 2.5
# Time for which peers are told that an endpoint was removed.
REMOVED_REPORT_S = 20.0
# Time after a return for which peers' reports of leaving endpoints count also
# while the store answers: the endpoints need some seconds to write again.
RETURN_REPORTS_S = 10.0


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
        era: store_era.StoreEra,
    ):
        self._news = news
        self._era = era
        self._process = process
        self._store = store
        self._directory = directory
        self._members_prefix = members_prefix
        self._on_members = on_members
        self._records_prefix = records_prefix
        self._on_record = on_record
        self._raw_items: dict[str, ports.Item] = {}
        # Endpoints removed lately by id and start time.
        self._removed: dict[str, listing_order.Removed] = {}
        # The end of the time for which RETURN_REPORTS_S gives the reason.
        self._reports_count_until = 0.0
        # Endpoints by id and start time that peers report as leaving.
        self._reported_leaving: set[str] = set()
        self._lock = threading.Lock()
        self._listings: dict[str, routes.Listing] = {}
        # Endpoints whose entry has disappeared, with the time of that.
        self._missing: dict[str, float] = {}
        self._members: dict[str, bytes] = {}
        # The position up to which all changes are known.
        self._position: ports.Position | None = None
        # The newest position of an entry that is no member's. Peers exchange
        # digests, so they need not read the store when a member registers.
        self._newest_relevant = news_lib.START
        # Positions of unused entries by key; each is recorded only once.
        self._unused_positions: dict[str, ports.Position] = {}
        self._unreachable = False
        self._copies = peer_copies.PeerCopies()

    def run(self) -> None:
        """Follows the store until the process stops."""
        stop = self._process.tasks.stop
        while not stop.is_set():
            try:
                self._follow()
            except ports.CompactedError:
                self._position = None
            except ports.StaleEraError:
                self._discard_position()
            except ports.StoreError as exc:
                self._record_unreachable(str(exc))
                interval_s = self._news.retry_interval_s()
                stop.wait(interval_s * random.uniform(0.5, 1.5))  # noqa: S311
            self._expire()

    def _discard_position(self) -> None:
        """Lets a snapshot be read, at once if the store has returned."""
        position, self._position = self._position, None
        if position is None or position.era == self._era.current():
            # The answer was older than the era. The pause keeps a store whose
            # answers are of several eras from being asked without end.
            self._process.tasks.stop.wait(self._news.retry_interval_s())

    def _follow(self) -> None:
        """Reads the changes, or waits until there may be some."""
        position = self._position
        if position is None or position.era != self._era.current():
            started_at = clock.now()
            position = self._load_snapshot()
            self._position = self._newest_relevant = position
            self._news.note_read(position, started_at)
        match self._news.next_step(position):
            case news_lib.Read(wait_s=wait_s):
                self._read_changes(position, wait_s)
            case news_lib.Wait(timeout_s=timeout_s):
                self._news.wait(timeout_s)

    def _read_changes(self, position: ports.Position, wait_s: float) -> None:
        if wait_s and not self._unreachable:
            self._news.set_watched(self._newest_relevant)
        started_at = clock.now()
        try:
            snapshot = self._store.watch("", position, wait_s)
        finally:
            self._news.set_watched(None)
        self._record_reachable()
        self._news.note_read(snapshot.position, started_at)
        self._apply(snapshot.items)
        self._position = snapshot.position
        relevant = [
            item.position
            for item in snapshot.items
            if not item.key.startswith(self._members_prefix)
        ]
        self._newest_relevant = max([self._newest_relevant, *relevant])
        if relevant and wait_s:
            self._news.note_report(
                news_lib.Report(position=self._newest_relevant, at=started_at)
            )
        if snapshot.items or not wait_s:
            self._wait_for_more_changes()

    def _wait_for_more_changes(self) -> None:
        """Waits, so that changes which come together are read in one call."""
        self._process.tasks.stop.wait(BATCH_S)

    def forget_before(self, era: int) -> str:
        """Lets everything be read afresh, since positions are no longer valid.

        Args:
            era: The era of the store.

        Returns:
            A description of what is forgotten.
        """
        self._reports_count_until = clock.now() + RETURN_REPORTS_S
        position = self._position
        if position is None or position.era >= era:
            return ""
        return f"watch position {position.revision}"

    def _load_snapshot(self) -> ports.Position:
        snapshot = self._store.list("")
        self._record_reachable()
        is_copy = snapshot.era != self._newest_relevant.era
        if is_copy:
            # Entries that are missing get the full time to be written again.
            self._missing = {}
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
        self._apply(snapshot.items, is_snapshot=True, is_copy=is_copy)
        return snapshot.position

    def _record_unreachable(self, why: str) -> None:
        if not self._unreachable:
            self._unreachable = True
            self._process.timeline.add(store_events.PlatformAway(why=why))

    def _record_reachable(self) -> None:
        if self._unreachable:
            self._unreachable = False
            # Entries that disappeared meanwhile get the full time to return.
            now = clock.now()
            self._missing = dict.fromkeys(self._missing, now)
            self._process.timeline.add(store_events.PlatformBack())

    # Applying changes.

    def _apply(
        self,
        items: collections.abc.Iterable[ports.Item],
        *,
        is_snapshot: bool = False,
        is_copy: bool = False,
    ) -> None:
        with self._lock:
            self._apply_locked(items, is_snapshot=is_snapshot, is_copy=is_copy)

    def _apply_locked(
        self,
        items: collections.abc.Iterable[ports.Item],
        *,
        is_snapshot: bool,
        is_copy: bool,
    ) -> None:
        members_changed = is_snapshot
        listings_changed = is_snapshot
        configs = []
        for item in items:
            if item.key == self._directory.config_key:
                configs.append(item)
            elif item.key.startswith(self._directory.listings_prefix):
                self._apply_listing(item, is_copy=is_copy)
                listings_changed = True
            elif item.key.startswith(self._members_prefix):
                self._apply_member(item)
                members_changed = True
            elif item.key.startswith(self._records_prefix) and item.value:
                service = item.key.removeprefix(self._records_prefix)
                self._on_record(service, item.value, item.era)
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
        table = entry_decoding.decode(self._directory.decode_table, item.value)
        if isinstance(table, entry_decoding.Undecodable):
            self._process.timeline.add(
                events.ConfigRefused(source="store", problems=table.why)
            )
            return
        if self._process.adopt_table(table, "store"):
            # Peers that lack the configuration get the one in force.
            self._raw_items[item.key] = item
        else:
            self._record_older(
                item,
                found=str(table.version),
                known=str(self._process.table().version),
            )

    def _record_older(
        self, item: ports.Item, *, found: str, known: str
    ) -> None:
        """Records an entry that is older than what is in force, once."""
        if self._unused_positions.get(item.key) == item.position:
            return
        self._unused_positions[item.key] = item.position
        self._process.timeline.add(
            store_events.StoreEntryDiscarded(
                key=item.key, era=item.era, found=found, known=known
            )
        )

    def _apply_listing(self, item: ports.Item, *, is_copy: bool) -> None:
        name = item.key.removeprefix(self._directory.listings_prefix)
        if item.value is None:
            self._unused_positions.pop(item.key, None)
            if name in self._listings:
                self._missing.setdefault(name, clock.now())
            return
        listing = entry_decoding.decode(self._directory.decode_listing, item)
        if isinstance(listing, entry_decoding.Undecodable):
            # Another program may have overwritten the entry of an endpoint that
            # works; it writes its own again with its next heartbeat.
            if name in self._listings:
                self._missing.setdefault(name, clock.now())
            self._raw_items.pop(item.key, None)
            if self._unused_positions.get(item.key) != item.position:
                self._unused_positions[item.key] = item.position
                self._process.timeline.add(
                    endpoint_events.ListingRefused(
                        key=item.key, why=listing.why
                    )
                )
            return
        if self._era.current():
            latest = self._latest_listing(item, listing, is_copy=is_copy)
            if latest is None:
                return
            listing = latest
        self._missing.pop(name, None)
        self._raw_items[item.key] = item
        self._listings[name] = listing

    def _latest_listing(
        self, item: ports.Item, found: routes.Listing, *, is_copy: bool
    ) -> routes.Listing | None:
        """Returns the listing to act on, None if the one found is older."""
        known = self._listings.get(found.id)
        removed = self._removed.get(listing_order.incarnation(found))
        latest = listing_order.latest(
            known,
            found,
            removed=removed.listing if removed else None,
            is_copy=is_copy,
        )
        if latest is None:
            if known is None and removed is not None:
                removed.was_found = True
            before = known or (removed.listing if removed else found)
            self._record_older(
                item,
                found=f"born {found.started_ms}, sequence {found.sequence}",
                known=f"born {before.started_ms}, sequence {before.sequence}",
            )
        else:
            self._removed.pop(listing_order.incarnation(found), None)
        return latest

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
                self._removed[listing_order.incarnation(listing)] = (
                    listing_order.Removed(listing=listing, at=now)
                )
            self._raw_items.pop(self._directory.listings_prefix + name, None)
        for incarnation, removed in list(self._removed.items()):
            if now - removed.at >= REMOVED_REPORT_S:
                # A peer's entries may have removed it meanwhile.
                self._removed.pop(incarnation, None)
                if removed.was_found:
                    # It may have been written after the return and before the
                    # snapshot was read.
                    self._position = None
        have_reports_ended = 0 < self._reports_count_until <= now
        if have_reports_ended:
            self._reports_count_until = 0.0
        if expired or have_reports_ended:
            self._publish()

    def _use_reports(self) -> bool:
        """Returns whether peers' reports of leaving endpoints count.

        Otherwise the store is more up to date.
        """
        return self._unreachable or clock.now() < self._reports_count_until

    def _publish(self) -> None:
        listings = dict(self._listings)
        if self._use_reports():
            for name, listing in listings.items():
                if listing_order.incarnation(listing) in self._reported_leaving:
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
            listing_order.incarnation(listing)
            for listing in list(self._listings.values())
            if listing.leaving
        ]
        return incarnations + list(self._removed)

    def mark_leaving(self, incarnations: collections.abc.Iterable[str]) -> None:
        """Marks endpoints as leaving that a peer reports as leaving.

        The report is used only while the store is unreachable, or has just
        returned from an older copy; otherwise the store is more up to date.

        Args:
            incarnations: The endpoints as leaving() of the peer returns them.
        """
        if not self._use_reports():
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

    def lacks_reported_change(self) -> bool:
        """Returns whether peers' entries may hold what this proxy lacks.

        This is so while the store turns this proxy away, and a peer has
        reported a newer position of it.
        """
        return self._unreachable and self._copies.are_needed(
            self._news.report(), known=self._newest_relevant
        )

    def apply_peer_entries(
        self, entries: collections.abc.Iterable[tuple[str, bytes]], peer: str
    ) -> None:
        """Applies store entries received from a peer.

        The configuration is always applied. The registered proxies are applied
        only if this proxy has no endpoints; the endpoints also while the store
        is unreachable, if they have started since it was read.

        Args:
            entries: Keys and undecoded values.
            peer: Name of the peer.
        """
        items = [
            ports.Item(key=key, value=value, revision=0)
            for key, value in entries
        ]
        if self._listings:
            items = [item for item in items if self._is_peer_item_used(item)]
        self._process.timeline.count(f"entries from {peer}")
        self._copies.note(self._news.report())
        self._apply(items)

    def _is_peer_item_used(self, item: ports.Item) -> bool:
        """Returns whether a peer's entry may add to those of the store."""
        if item.key == self._directory.config_key:
            return True
        prefix = self._directory.listings_prefix
        if not self._unreachable or not item.key.startswith(prefix):
            return False
        found = entry_decoding.decode(self._directory.decode_listing, item)
        if isinstance(found, entry_decoding.Undecodable):
            return False
        if listing_order.incarnation(found) in self._removed:
            return False
        known = self._listings.get(item.key.removeprefix(prefix))
        return known is None or known.started_ms < found.started_ms
