"""Acquires a lane before long work is sent to an endpoint.

A lane is the right to run one long statement on an endpoint. process/lanes.py
limits the number of lanes of each endpoint over all proxies.
"""

import collections.abc
import contextlib
import time
import uuid

from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.process import lanes
from bronzehold.process import service as service_lib

RETRY_INTERVAL_S = 0.05
# The lane expires after this multiple of the expected duration, in case it is
# not released.
EXPIRY_FACTOR = 4


@contextlib.contextmanager
def hold(
    served: service_lib.ServiceRuntime,
    find_places: collections.abc.Callable[[], list[data.Placement]],
    deadline: float,
    expected_s: float,
) -> collections.abc.Iterator[data.Placement]:
    """Holds a lane for the duration of a with block.

    Args:
        served: The service.
        find_places: Returns the places where the work may run, best first.
        deadline: The time on the monotonic clock until which to wait.
        expected_s: The expected duration of the work in seconds.

    Yields:
        The place of the acquired lane.

    Raises:
        errors.FailureError: Overloaded, when no lane is free before the
            deadline.
    """
    request = uuid.uuid4().hex
    group = served.group.name
    env = served.env
    try:
        while True:
            places = {place.endpoint: place for place in find_places()}
            wanted = lanes.LaneRequest(
                request_id=request,
                endpoints=tuple(_lane_counts(served, list(places))),
                hold_s=expected_s * EXPIRY_FACTOR,
            )
            endpoint = env.acquire_lane(group, wanted) if places else ""
            if endpoint in places:
                break
            if time.monotonic() + RETRY_INTERVAL_S > deadline:
                expected_ms = int(expected_s / data.MILLISECOND)
                raise errors.FailureError(
                    errors.Overloaded(endpoint=group, expected_ms=expected_ms)
                )
            time.sleep(RETRY_INTERVAL_S)
        yield places[endpoint]
    finally:
        env.release_lane(group, request)


def _lane_counts(
    served: service_lib.ServiceRuntime, endpoints: list[str]
) -> collections.abc.Iterator[tuple[str, int]]:
    for name in endpoints:
        ep = served.group.endpoint(name)
        if ep is not None:
            yield name, lanes.lane_count(ep)
