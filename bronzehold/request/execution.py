"""Execution of one statement: its pool slot, lane and measured duration."""

import time
import uuid

from bronzehold.core import data
from bronzehold.process import lanes
from bronzehold.process import pool as pool_lib
from bronzehold.process import service as service_lib


class Execution:
    """Holds a slot of a pool while a statement runs; used by one task.

    A statement that was expected to be short is reclassified as long once it
    has run for longer than the threshold. It then no longer holds a slot of
    the short work on this proxy. It also occupies a lane of its endpoint, even
    if none is free, so that no more long work is sent there.
    """

    def __init__(
        self,
        *,
        served: service_lib.ServiceRuntime,
        pool: pool_lib.Pool,
        shape: int,
        length: data.RequestLength,
    ):
        self._served = served
        self._pool = pool
        self._shape = shape
        self._length = length
        self._started = time.monotonic()
        self._lane = ""

    def start(self) -> None:
        """Starts measuring the duration, just before the statement is sent."""
        self._started = time.monotonic()

    def check_duration(self) -> None:
        """Reclassifies the statement if it has become long; it still runs."""
        if self._length is data.RequestLength.LONG:
            return
        elapsed_s = time.monotonic() - self._started
        if elapsed_s > self._served.duration_estimator.long_threshold_s():
            self._length = data.RequestLength.LONG
            self._served.duration_estimator.record(self._shape, elapsed_s)
            self._pool.mark_long()
            self._occupy_lane()

    def _occupy_lane(self) -> None:
        self._lane = uuid.uuid4().hex
        place = (self._pool.endpoint.name, lanes.UNBOUNDED)
        wanted = lanes.LaneRequest(
            request_id=self._lane, endpoints=(place,), hold_s=lanes.MAX_HOLD_S
        )
        self._served.env.acquire_lane(self._served.group.name, wanted)

    def end(self, duration_s: float | None) -> None:
        """Releases the slot and the lane.

        Args:
            duration_s: Seconds the statement ran, None if it did not.
        """
        if duration_s is not None:
            self._served.duration_estimator.record(self._shape, duration_s)
        self._pool.end_statement(duration_s, self._length)
        if self._lane:
            self._served.env.release_lane(self._served.group.name, self._lane)
