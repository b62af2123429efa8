"""Holds the writes of all proxies back and lets those in flight end."""

import threading

from bronzehold.core import clock
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_service
from bronzehold.process import write_hold

# Writes in flight get this long to end.
DRAIN_TIMEOUT_S = 0.5
# The time after which a hold ends that is not renewed.
HOLD_S = 0.8
POLL_INTERVAL_S = 0.02


class WriteDrain:
    """Drains the writes of a group before a planned change of its primary.

    Args:
        gossip: The exchange of digests.
        stop: Set when the process stops.
    """

    def __init__(self, *, gossip: gossip_lib.Gossip, stop: threading.Event):
        self._gossip = gossip
        self._stop = stop

    def run(
        self, service: platform_service.PlatformService, attempt: str
    ) -> None:
        """Holds writes, and waits until those in flight have ended.

        Where replicas confirm commits, the hold lasts until the outcome of the
        change is known.

        Args:
            service: The service.
            attempt: The name of the change, for which writes are held.
        """
        deadline = clock.now() + DRAIN_TIMEOUT_S
        service.group.hold_writes(
            write_hold.Hold(
                attempt=attempt,
                expires_at=deadline + HOLD_S,
                until_decided=service.limits.synchronous,
            )
        )
        self._gossip.send_now()
        while clock.now() < deadline and not self._all_drained(
            service, attempt
        ):
            self._stop.wait(POLL_INTERVAL_S)

    def _all_drained(
        self, service: platform_service.PlatformService, attempt: str
    ) -> bool:
        if not service.group.drained():
            return False
        for heard in self._gossip.live_peers().values():
            for view in heard.digest.groups:
                if view.service == service.limits.name and not (
                    view.quiet and view.held_for == attempt
                ):
                    return False
        return True
