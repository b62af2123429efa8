"""The part of the process that the callers of the platform path use."""

import collections.abc
import typing

from bronzehold.core import routes
from bronzehold.process import metrics
from bronzehold.process import platform_service
from bronzehold.process import rate_limiter as rate_limiter_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib


class Host(typing.Protocol):
    """The part of the process that a caller uses.

    Attributes:
        name: The name of the proxy.
        timeline: The log of events.
        metrics: The metrics.
        shutdown: The planned stop of the proxy.
        rate_limiter: The limits of the workspaces.
        keys_confirmed: Returns whether keys may be trusted.
    """

    name: str
    timeline: timeline_lib.Timeline
    metrics: metrics.Metrics
    shutdown: shutdown_lib.Shutdown
    rate_limiter: rate_limiter_lib.RateLimiter | None
    keys_confirmed: collections.abc.Callable[[], bool]

    def table(self) -> routes.Table:
        """Returns the current routing table."""

    def find_route(self, database: str) -> routes.Route | None:
        """Returns the route of a database, None if it is unknown."""

    def service(self, name: str) -> platform_service.PlatformService | None:
        """Returns a service by its name, None if it is unknown."""
