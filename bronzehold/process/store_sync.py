"""Keeps this proxy synchronized with the platform's store.

It reads the configuration, the registered proxies and the instances that are
leaving, and registers this proxy. Watches deliver changes immediately; a
periodic reread with jitter covers changes that a stale watch has missed. While
the store is unreachable, the last known configuration stays in force.
"""

import collections.abc
import json
import random
import threading

from bronzehold.core import addresses
from bronzehold.core import json_text
from bronzehold.core import settings
from bronzehold.core import store_events
from bronzehold.process import catalog as catalog_lib
from bronzehold.process import etcd_store
from bronzehold.process import peer_table
from bronzehold.process import peers as peers_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib

# The pause before a watch restarts, and between rereads while the store is
# unreachable.
RETRY_S = 0.5
RENEWALS_PER_LEASE = 3


class StoreSync:
    """The tasks that read from the store and register this proxy in it."""

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        timeline: timeline_lib.Timeline,
        catalog: catalog_lib.Catalog,
        store: etcd_store.EtcdStore,
        peers: peers_lib.Peers,
        tasks: tasks_lib.Tasks,
    ):
        self._cfg = cfg
        self._timeline = timeline
        self._catalog = catalog
        self._store = store
        self._peers = peers
        self._tasks = tasks
        self._registered = True
        self._lease = 0
        self._lock = threading.Lock()
        self._unreachable = False

    def start(self) -> None:
        """Starts the background tasks."""
        self._tasks.spawn_lasting("register", self._register_forever)
        self._tasks.spawn_lasting("reread", self._reread_forever)
        for prefix in (
            etcd_store.CONFIG_KEY,
            etcd_store.PROXIES_PREFIX,
            etcd_store.INSTANCES_KEY,
        ):
            self._tasks.spawn_lasting(
                f"watch {prefix}", lambda p=prefix: self._watch_forever(p)
            )

    def unregister(self) -> None:
        """Removes this proxy from the list of proxies for good."""
        with self._lock:
            self._registered = False
            lease, self._lease = self._lease, 0
        if lease:
            self._call_store(lambda: self._store.revoke_lease(lease))

    def _call_store(self, call: collections.abc.Callable[[], None]) -> bool:
        try:
            call()
        except etcd_store.EtcdError as exc:
            self._record_unreachable(str(exc))
            return False
        self._record_reachable()
        return True

    def _record_unreachable(self, reason: str) -> None:
        with self._lock:
            changed, self._unreachable = not self._unreachable, True
        if changed and not self._tasks.stop.is_set():
            self._timeline.add(store_events.PlatformAway(why=reason[:80]))

    def _record_reachable(self) -> None:
        with self._lock:
            changed, self._unreachable = self._unreachable, False
        if changed:
            self._timeline.add(store_events.PlatformBack())

    # Registration.

    def _register_forever(self) -> None:
        interval_s = self._cfg.timing.lease_s / RENEWALS_PER_LEASE
        while not self._tasks.stop.is_set():
            with self._lock:
                registered = self._registered
            if registered:
                self._call_store(self._register)
            self._tasks.stop.wait(interval_s)

    def _register(self) -> None:
        if self._lease and self._store.renew_lease(self._lease):
            return
        lease = self._store.grant_lease(self._cfg.timing.lease_s)
        value = json.dumps(
            {"address": self._peers.address, "zone": self._cfg.zone}
        )
        key = etcd_store.PROXIES_PREFIX + self._cfg.name
        self._store.put(key, value.encode(), lease)
        with self._lock:
            registered = self._registered
            self._lease = lease if registered else 0
        if not registered:
            self._store.revoke_lease(lease)

    # Reading the store.

    def _reread_forever(self) -> None:
        interval_s = self._cfg.timing.reread_s
        while not self._tasks.stop.is_set():
            self._call_store(self._reread)
            jitter = random.uniform(0.5, 1.5)  # noqa: S311
            wait_s = RETRY_S if self._unreachable else interval_s * jitter
            self._tasks.stop.wait(wait_s)

    def _reread(self) -> None:
        self._read_config()
        self._read_members()
        self._read_instances()

    def _read_config(self) -> None:
        found = self._store.get(etcd_store.CONFIG_KEY)
        self._catalog.adopt(found.value, "platform")

    def _read_members(self) -> None:
        self._peers.set_members(read_members(self._store))

    def _read_instances(self) -> None:
        found = self._store.get(etcd_store.INSTANCES_KEY)
        names = _leaving_names(found.value)
        if names is None:
            self._timeline.count("leaving instances that cannot be read")
        else:
            self._catalog.mark_leaving(names)

    def _watch_forever(self, prefix: str) -> None:
        while not self._tasks.stop.is_set():
            try:
                for change in self._store.watch(prefix, self._tasks.stop):
                    self._apply_change(prefix, change)
            except etcd_store.EtcdError as exc:
                self._record_unreachable(str(exc))
            self._tasks.stop.wait(RETRY_S)

    def _apply_change(
        self, prefix: str, change: etcd_store.VersionedValue
    ) -> None:
        if prefix == etcd_store.CONFIG_KEY and change.value:
            self._catalog.adopt(change.value, "platform")
            return
        match prefix:
            case etcd_store.CONFIG_KEY:
                self._call_store(self._read_config)
            case etcd_store.PROXIES_PREFIX:
                self._call_store(self._read_members)
            case _:
                self._call_store(self._read_instances)


def read_members(store: etcd_store.EtcdStore) -> dict[str, peer_table.Member]:
    """Returns the proxies that are registered in the store, by name.

    A registration that cannot be read names no proxy.

    Raises:
        etcd_store.EtcdError: The store did not answer.
    """
    members = {}
    for found in store.list(etcd_store.PROXIES_PREFIX):
        name = found.key.removeprefix(etcd_store.PROXIES_PREFIX)
        address = _member_address(found.value)
        if address is not None:
            members[name] = peer_table.Member(name=name, address=address)
    return members


def _leaving_names(value: bytes) -> frozenset[str] | None:
    """Decodes the instances that leave; None if the value is no such list."""
    try:
        fields = json_text.parse(value or b"{}")
    except ValueError:
        return None
    match fields:
        case {"leaving": [*names]} if all(isinstance(n, str) for n in names):
            return frozenset(names)
        case {"leaving": _}:
            return None
        case {}:
            return frozenset()
        case _:
            return None


def _member_address(value: bytes) -> str | None:
    """Decodes the address in a registration; None if it holds no address."""
    try:
        fields = json_text.parse(value)
    except ValueError:
        return None
    match fields:
        case {"address": str(address)} if addresses.is_ip(address):
            return address
        case _:
            return None
