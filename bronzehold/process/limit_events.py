"""Reports limits that take effect, as events and as counts."""

import collections.abc

from bronzehold.core import events
from bronzehold.process import timeline as timeline_lib


def reporter(
    timeline: timeline_lib.Timeline, bound: str, limit: int
) -> collections.abc.Callable[[str, int, int], None]:
    """Returns a function that reports what a limit has done.

    Its arguments are the action, the bytes or connections that it was done to,
    and those of the whole process; see events.LimitReached.
    """

    def report(action: str, amount: int, used: int) -> None:
        timeline.count(f"{bound}: {action}")
        timeline.add_frequent(
            events.LimitReached(
                bound=bound,
                action=action,
                amount=amount,
                used=used,
                limit=limit,
            )
        )

    return report
