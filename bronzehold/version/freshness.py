"""Proofs of how far a group's log had grown, and what reads need of it.

A proof says: at this time, every write that had been acknowledged stood at or
below this position. Whoever leads a group proves it with each answer, as of
the time when the statement was sent. A read that may be some seconds old is
right on every endpoint whose log holds a position proved no longer ago.
"""

import collections
import dataclasses
import threading

from bronzehold.core import statements

KEEP_S = 10.0
SPACING_S = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proof:
    """What the primary proved.

    Attributes:
        position: All writes acknowledged before `at` are at or below it.
        at: When, in seconds of clock.now().
    """

    position: statements.LogPosition
    at: float


class Proofs:
    """The proofs of one group, by age; safe to use from many threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._proofs: collections.deque[Proof] = collections.deque()

    def add(self, proof: Proof) -> None:
        """Takes a proof; one of an earlier term is dropped."""
        with self._lock:
            last = self._proofs[-1] if self._proofs else None
            if last is not None and not self._makes_room(last, proof):
                return
            self._proofs.append(proof)
            while proof.at - self._proofs[0].at > KEEP_S:
                self._proofs.popleft()

    def _makes_room(self, last: Proof, proof: Proof) -> bool:
        """Whether a proof is news; drops what it makes superfluous."""
        if proof.position.term > last.position.term:
            # A change of primary may have discarded what the older proofs
            # name, and no endpoint would ever hold it.
            self._proofs.clear()
            return True
        if proof.position.term < last.position.term or proof.at <= last.at:
            return False
        if len(self._proofs) > 1:
            before = self._proofs[-2]
            if proof.at - before.at < SPACING_S:
                self._proofs.pop()
        return True

    def newest(self) -> Proof | None:
        """Returns the latest proof."""
        with self._lock:
            return self._proofs[-1] if self._proofs else None

    def oldest_since(self, at: float) -> Proof | None:
        """Returns the oldest proof that is no older than a time.

        The older the position, the more replicas hold it.
        """
        with self._lock:
            for proof in self._proofs:
                if proof.at >= at:
                    return proof
        return None


def needed(
    proof: Proof, own: statements.LogPosition | None
) -> statements.LogPosition:
    """Returns the position that a read needs.

    Args:
        proof: Proves the age that the read may have.
        own: The session's last write, None where it does not matter.
    """
    if own is None:
        return proof.position
    return max(proof.position, own)
