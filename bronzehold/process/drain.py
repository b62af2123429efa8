"""A planned stop of a proxy on the platform path.

First the readiness check fails, while connections are still accepted until the
load balancer has noticed. Then the port closes, and so does each caller's
connection once it has no open transaction. Requests that could not be answered
before the exit are refused (see shutdown), and all others are answered.
"""

import collections.abc
import time

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.process import open_connections
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib

STOP_POLL_S = 0.02
# The time for the load balancer to stop sending connections. It checks
# readiness once a second and removes an instance after two failed checks.
READINESS_NOTICE_S = 2.2
# The time before the port closes from which quiet connections are closed, so
# that the process can exit soon afterwards.
CLOSE_LEAD_S = 0.2
# The part of the stop time in which every request is accepted.
UNCONDITIONAL_SHARE = 0.5
# The part of the stop time that is reserved for the process to exit.
EXIT_RESERVE_S = 0.5
# The time before it in which the last answers are sent.
ANSWER_RESERVE_S = 0.3


def make_schedule(started_at: float, stop_s: float) -> shutdown_lib.Schedule:
    """Returns the schedule of a stop.

    Args:
        started_at: The time of the signal, in seconds of clock.now().
        stop_s: The time after which the platform kills the process.
    """
    exit_at = started_at + stop_s - EXIT_RESERVE_S
    return shutdown_lib.Schedule(
        unconditional_until=started_at + stop_s * UNCONDITIONAL_SHARE,
        answer_by=exit_at - ANSWER_RESERVE_S,
        exit_at=exit_at,
    )


class Drain:
    """Brings the work of a process to its end."""

    def __init__(
        self,
        *,
        schedule: shutdown_lib.Schedule,
        callers: open_connections.OpenConnections[
            open_connections.CallerConnection
        ],
        forwarded: open_connections.OpenConnections,
        timeline: timeline_lib.Timeline,
        close_port: collections.abc.Callable[[], None],
    ):
        self._schedule = schedule
        self._callers = callers
        self._forwarded = forwarded
        self._timeline = timeline
        self._close_port = close_port

    def run(self, notice_s: float) -> None:
        """Returns when all work has ended, or when the process has to exit.

        Args:
            notice_s: The time for which connections are still accepted.
        """
        callers = self._callers.list()
        self._timeline.add(events.ProxyStopping(callers=len(callers)))
        lead_s = min(CLOSE_LEAD_S, notice_s)
        time.sleep(notice_s - lead_s)
        closes_at = clock.now() + lead_s
        self._stop_callers(lambda: clock.now() < closes_at)
        self._close_port()
        self._timeline.add(
            events.CallersPortClosed(
                callers=len(self._callers.list()),
                busy=self._callers.count_busy(),
            )
        )
        self._stop_callers(
            lambda: clock.now() < self._schedule.answer_by and self._has_work()
        )
        self._end_all()

    def _stop_callers(
        self, goes_on: collections.abc.Callable[[], bool]
    ) -> None:
        """Closes the connections that become quiet while goes_on holds."""
        while goes_on():
            for caller in self._callers.list():
                caller.stop()
            time.sleep(STOP_POLL_S)

    def _has_work(self) -> bool:
        return bool(self._callers.list() or self._forwarded.count_busy())

    def _end_all(self) -> None:
        """Ends all transactions and waits for the last answers."""
        ended = self._callers.count_busy() + self._forwarded.count_busy()
        for connection in (*self._callers.list(), *self._forwarded.list()):
            connection.end()
        while clock.now() < self._schedule.exit_at and self._has_work():
            time.sleep(STOP_POLL_S)
        remaining = (*self._callers.list(), *self._forwarded.list())
        cut = sum(c.report_cut("the process exits") for c in remaining)
        self._timeline.add(events.ProxyStopped(ended=ended, cut=cut))
