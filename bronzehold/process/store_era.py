"""The era of the store: the number of times that it returned from a copy.

After a return, what was written since the copy is lost, and revisions and
leases are issued again. Whatever a process remembers of the store is therefore
valid in one era only. This module knows the highest era that the store has
answered with, and tells the components when it rises.
"""

import collections.abc
import threading

from bronzehold.core import ports
from bronzehold.core import store_events
from bronzehold.process import timeline as timeline_lib


class StoreEra:
    """The highest era seen in answers; safe to use from any thread.

    A store without eras is in era 0.
    """

    def __init__(self, *, timeline: timeline_lib.Timeline):
        self._timeline = timeline
        self._lock = threading.Lock()
        self._era = 0
        self._listeners: list[collections.abc.Callable[[int], str]] = []

    def on_rise(self, forget: collections.abc.Callable[[int], str]) -> None:
        """Adds a function to call after each rise, before any use of the era.

        Args:
            forget: Forgets what belongs to eras before its argument. It makes
                no calls to the store, and returns a description of what it has
                forgotten, "" for nothing.
        """
        self._listeners.append(forget)

    def current(self) -> int:
        """Returns the highest era seen."""
        return self._era

    def observe(self, era: int) -> bool:
        """Records the era of an answer.

        Returns:
            False if the answer is of an older era, and so out of date.
        """
        with self._lock:
            old = self._era
            if era <= old:
                return era == old
            self._era = era
            # Under the lock, so that no thread uses an answer of the new era
            # while others still hold what belongs to the old one.
            forgotten = [forget(era) for forget in self._listeners]
        self._timeline.add(
            store_events.StoreEraChanged(
                old=old, new=era, forgotten=", ".join(filter(None, forgotten))
            )
        )
        return True

    def discard(
        self, call: str, *, answered: int, expected: int
    ) -> ports.StaleEraError:
        """Records a discarded call and returns the error to raise.

        Args:
            call: The call.
            answered: The era of its answer, or the highest era seen if the call
                was not sent.
            expected: The era that the call was based on.
        """
        self._timeline.add_frequent(
            store_events.StoreAnswerDiscarded(
                call=call, answered=answered, expected=expected
            )
        )
        return ports.StaleEraError(
            f"{call} of era {expected}, the answer is of era {answered}"
        )
