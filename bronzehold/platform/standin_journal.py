"""The journal from which the stand-in store rebuilds an older copy."""

import dataclasses
import time


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Copy:
    """The content of the store at an earlier time.

    Attributes:
        items: The keys, as the store keeps them.
        history: The changes up to that time.
        revision: The revision at that time.
        leases: TTLs in seconds by id, of the leases that were valid.
        last_lease: The highest id of a lease that had been granted.
    """

    items: dict[str, dict]
    history: list[dict]
    revision: int
    leases: dict[int, float]
    last_lease: int


@dataclasses.dataclass(kw_only=True, slots=True)
class _Lease:
    granted_at: float
    ttl_s: float
    ended_at: float | None = None


class Journal:
    """All changes with their times; the store's lock guards it."""

    def __init__(self):
        self._changes: list[tuple[float, dict]] = []
        self._leases: dict[int, _Lease] = {}

    def note_change(self, change: dict) -> None:
        """Records a written item or a tombstone."""
        self._changes.append((time.monotonic(), change))

    def note_lease(self, lease_id: int, ttl_s: float) -> None:
        """Records that a lease was granted."""
        self._leases[lease_id] = _Lease(
            granted_at=time.monotonic(), ttl_s=ttl_s
        )

    def note_lease_end(self, lease_id: int) -> None:
        """Records that a lease expired or was revoked."""
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.ended_at = time.monotonic()

    def restore(self, age_s: float, first_revision: int) -> Copy:
        """Returns the content of some time ago and forgets all after it.

        Args:
            age_s: The age of the content in seconds.
            first_revision: The revision before the first change.
        """
        at = time.monotonic() - age_s
        self._changes = [entry for entry in self._changes if entry[0] <= at]
        self._leases = {
            lease_id: lease
            for lease_id, lease in self._leases.items()
            if lease.granted_at <= at
        }
        history = [change for _, change in self._changes]
        items: dict[str, dict] = {}
        for change in history:
            if "tombstone" in change:
                items.pop(change["key"], None)
            else:
                items[change["key"]] = change
        valid = {}
        for lease_id, lease in self._leases.items():
            if lease.ended_at is None or lease.ended_at > at:
                lease.ended_at = None
                valid[lease_id] = lease.ttl_s
        return Copy(
            items=items,
            history=history,
            revision=history[-1]["revision"] if history else first_revision,
            leases=valid,
            last_lease=max(self._leases, default=0),
        )
