"""Client of the platform's failover call, which promotes an endpoint.

process/promotions.py decides when to promote and holds the fencing token.
"""

from bronzehold.core import ports
from bronzehold.platform import store

# The platform usually answers within 20 ms, and an order without an answer can
# safely be repeated.
REQUEST_TIMEOUT_S = 0.25
HTTP_CONFLICT = 409
# Status 409 is returned both for an endpoint that is not running and for an
# outdated fencing token; this text in the body identifies the former.
NOT_RUNNING_TEXT = "no such server is running"


class Promoter:
    """Implements ports.Promoter."""

    def __init__(self, *, address: str):
        self._http = store.HttpClient(address=address)

    def promote(
        self, *, service: str, endpoint: str, holder: str, token: int
    ) -> ports.OrderOutcome:
        """Orders the platform to make an endpoint the primary of its service.

        Args:
            service: Name of the service.
            endpoint: Id of the endpoint to promote.
            holder: Proxy that holds the fencing token.
            token: Fencing token; the platform rejects orders with a lower one
                than it has seen.
        """
        try:
            response = self._http.call(
                "POST",
                "/failover",
                {"service": service, "id": endpoint},
                timeout_s=REQUEST_TIMEOUT_S,
                headers={"Duty-Holder": holder, "Fencing-Token": str(token)},
            )
        except ports.StoreError as exc:
            return ports.Unanswered(reason=str(exc))
        if response.status == store.HTTP_OK:
            return ports.Ordered()
        if response.status == HTTP_CONFLICT:
            if NOT_RUNNING_TEXT in response.text():
                return ports.NotRunning()
            return ports.Outranked()
        return ports.Unanswered(reason=f"status {response.status}")
