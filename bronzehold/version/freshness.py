"""Freshness proofs, and the log positions that reads require.

A proof pairs a time with a log position: every write acknowledged before that
time is at or below the position. Each answer of a group's primary is a proof
as of the time when the statement was sent. A read that tolerates data of some
age is correct on every endpoint whose log holds the position of a proof that is
no older than that.
"""

import bisect
import dataclasses
import operator
import threading

from bronzehold.core import clock
from bronzehold.core import statements

# Proofs older than this, relative to the newest, expire.
RETENTION_S = 10.0
# Expired proofs are removed in batches of at least this time span.
DROP_BATCH_S = 2.0
# A proof is removed if its neighbours are closer together than this.
MIN_SPACING_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """An upper bound on the positions of the writes acknowledged by a time.

    Attributes:
        position: The log position; all writes acknowledged before `at` are at
            or below it.
        at: The time, in seconds of clock.now().
    """

    position: statements.LogPosition
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ObservedPosition:
    """The log position that an endpoint last reported.

    Attributes:
        position: The last position in the endpoint's log.
        at: The time of the report, in seconds of clock.now().
    """

    position: statements.LogPosition
    at: float


class Proofs:
    """The recent proofs of one group, ordered by time. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        # Sorted by time, and therefore almost sorted by position.
        self._proofs: list[Proof] = []

    def add(self, proof: Proof) -> None:
        """Adds a proof unless it is of an earlier term or out of order."""
        with self._lock:
            last = self._proofs[-1] if self._proofs else None
            if last is not None and not self._accepts(last, proof):
                return
            self._proofs.append(proof)
            if proof.at - self._proofs[0].at > RETENTION_S:
                keep_from = proof.at - RETENTION_S + DROP_BATCH_S
                del self._proofs[: self._first_since(keep_from)]

    def _accepts(self, last: Proof, proof: Proof) -> bool:
        """Returns whether to add a proof; removes the proofs it supersedes."""
        if proof.position.term > last.position.term:
            # The change of primary may have discarded the positions of older
            # proofs; no endpoint would ever reach them.
            self._proofs.clear()
            return True
        if proof.position.term < last.position.term or proof.at <= last.at:
            return False
        if len(self._proofs) > 1:
            previous = self._proofs[-2]
            if proof.at - previous.at < MIN_SPACING_S:
                self._proofs.pop()
        return True

    def newest(self) -> Proof | None:
        """Returns the latest proof, None if there is none."""
        with self._lock:
            return self._proofs[-1] if self._proofs else None

    def oldest_since(self, at: float) -> Proof | None:
        """Returns the oldest proof that is no older than a time.

        The older a proof is, the more replicas hold its position.
        """
        with self._lock:
            index = self._first_since(at)
            found = self._proofs[index : index + 1]
        return found[0] if found else None

    def _first_since(self, at: float) -> int:
        return bisect.bisect_left(self._proofs, at, key=_AT)

    def catch_up_s(
        self, observed: ObservedPosition, required: statements.LogPosition
    ) -> float:
        """Estimates the time until an endpoint's log holds a position.

        The endpoint's lag behind the primary, as of its last report, is
        assumed to stay constant.

        Args:
            observed: The position that the endpoint last reported.
            required: The position that the endpoint's log must hold.

        Returns:
            The remaining time in seconds of clock.now(); 0 if the endpoint
            should hold the position by now.
        """
        if observed.position >= required:
            return 0.0
        with self._lock:
            last = bisect.bisect_right(
                self._proofs, observed.position, key=_POSITION
            )
            first = bisect.bisect_left(self._proofs, required, key=_POSITION)
            if not self._proofs:
                return 0.0
            # The primary passed the observed position soon after this proof.
            passed_at = self._proofs[max(0, last - 1)].at
            known = first < len(self._proofs)
            needed_at = self._proofs[first].at if known else clock.now()
        lag_s = max(0.0, observed.at - passed_at)
        return max(0.0, needed_at + lag_s - clock.now())


_AT = operator.attrgetter("at")
_POSITION = operator.attrgetter("position")


def required_position(
    proof: Proof, own: statements.LogPosition | None
) -> statements.LogPosition:
    """Returns the position that an endpoint must hold to serve a read.

    Args:
        proof: A proof no older than the data age that the read tolerates.
        own: The position of the session's last write, None if the read need
            not see it.
    """
    if own is None:
        return proof.position
    return max(proof.position, own)
