"""Decides when peers are asked for entries that the store does not deliver.

A proxy that the store turns away hears from its peers that the store has
changed, and which endpoints leave, but not which ones have started.
"""

from bronzehold.core import ports
from bronzehold.process import store_news as news_lib

# Copies that are read for each change. The first peer asked may not have it
# either.
COPIES_PER_CHANGE = 2


class PeerCopies:
    """The copies of the peers' entries; used by one thread at a time."""

    def __init__(self):
        # The reported position for which copies were read last, and their
        # number.
        self._position = news_lib.START
        self._count = 0

    def are_needed(
        self, report: news_lib.Report | None, *, known: ports.Position
    ) -> bool:
        """Returns whether peers' entries may hold what this proxy lacks.

        Args:
            report: The latest report of the store's position, None for none.
            known: The position up to which this proxy has read the store.
        """
        if report is None or report.position <= known:
            return False
        is_new = report.position > self._position
        return is_new or self._count < COPIES_PER_CHANGE

    def note(self, report: news_lib.Report | None) -> None:
        """Records that a copy was read.

        Args:
            report: The latest report of the store's position, None for none.
        """
        if report is None:
            return
        if report.position > self._position:
            self._position = report.position
            self._count = 0
        self._count += 1
