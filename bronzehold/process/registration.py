"""Registers this proxy in the store, where its peers find its address.

The registration is a key under a lease. It disappears when the proxy stops
renewing the lease, so peers do not need to remove a proxy that has crashed.

The store may return from an older copy. A lease of before is then not used
again, since its number may have been given to another process.
"""

import json
import threading
import time

from bronzehold.core import addresses
from bronzehold.core import json_text
from bronzehold.core import ports
from bronzehold.process import platform_process
from bronzehold.version import members as members_lib

LEASE_TTL_S = 4.0
RENEW_INTERVAL_S = 1.3
RETRY_DELAY_S = 0.4
# A list of the proxies is handled at most this long after it was read.
LIST_DELAY_S = 1.0


class Registration:
    """The task that keeps this proxy registered.

    Args:
        process: The process, for its stop event and its counters.
        store: The store.
        key: Key of this proxy in the store.
        own: This proxy as its peers see it.
    """

    def __init__(
        self,
        *,
        process: platform_process.PlatformProcess,
        store: ports.Store,
        key: str,
        own: members_lib.Member,
    ):
        self._process = process
        self._store = store
        self._key = key
        self._value = encode(own)
        self._lease: ports.Lease | None = None
        self._registered_at: float | None = None
        self._is_missing = False
        self._wake = threading.Event()
        self._is_removed = False

    def run(self) -> None:
        """Registers, and renews the lease until removal or process stop."""
        while not (self._process.tasks.stop.is_set() or self._is_removed):
            wait_s = RENEW_INTERVAL_S
            try:
                self._renew_or_register()
            except ports.StoreError as exc:
                self._process.timeline.count(f"registration: {exc}")
                wait_s = RETRY_DELAY_S
            self._wake.wait(wait_s)
            self._wake.clear()

    def _renew_or_register(self) -> None:
        if self._lease is None or not self._store.renew_lease(self._lease):
            self._lease = self._store.grant_lease(LEASE_TTL_S)
            self._is_missing = True
        if self._is_missing:
            self._is_missing = False
            try:
                self._write_key(self._lease)
            except ports.StaleEraError:
                # The key may be bound to another process's lease by now.
                self._lease = None
                raise
            except ports.StoreError:
                self._is_missing = True
                raise

    def _write_key(self, lease: ports.Lease) -> None:
        item = self._store.get(self._key)
        self._store.swap(item, self._value, lease)
        self._registered_at = time.monotonic()

    def forget_before(self, era: int) -> str:
        """Describes a lease of an older era, which is not used again.

        Args:
            era: The era of the store.
        """
        lease = self._lease
        if lease is None or lease.era >= era:
            return ""
        return f"lease {lease.id}"

    def register_again(self) -> None:
        """Writes the key again after it was removed from the store.

        A list without the key may have been read before the key was written.
        Shortly after a registration, the key is therefore written only with the
        next renewal.
        """
        registered_at = self._registered_at
        if self._is_removed or registered_at is None:
            return
        self._is_missing = True
        if time.monotonic() - registered_at > LIST_DELAY_S:
            self._wake.set()

    def remove(self) -> None:
        """Removes the registration and stops renewing it."""
        self._is_removed = True
        self._wake.set()
        lease = self._lease
        if lease is None:
            return
        try:
            self._store.revoke_lease(lease)
        except ports.StoreError as exc:
            self._process.timeline.count(f"registration: {exc}")


def encode(member: members_lib.Member) -> bytes:
    """Encodes the registration of a proxy."""
    return json.dumps({"address": member.address, "zone": member.zone}).encode()


def decode(name: str, value: bytes) -> members_lib.Member | None:
    """Decodes the registration of a proxy.

    Args:
        name: The name of the proxy.
        value: The value of its key.

    Returns:
        The proxy; None if the value is not a registration.
    """
    try:
        fields = json_text.parse(value)
    except ValueError:
        return None
    match fields:
        case {"zone": str(zone), "address": str(address)} if (
            name.isprintable()
            and zone.isprintable()
            and addresses.is_ip(address)
        ):
            return members_lib.Member(name=name, zone=zone, address=address)
        case _:
            return None
