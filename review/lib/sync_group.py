"""A stand-in of a database group with sync_replicas 1.

It adds to the project's stand-in what the users' page says of such a group: a
commit is acknowledged once one replica has received it. A backend may also be
told to answer STATUS with BUSY, as one without a free slot does.
"""

import time

from bronzehold.core import statements
from bronzehold.platform import standin_group

POLL_S = 0.002


class SyncEndpoint(standin_group.Endpoint):
    """A backend whose commits wait for a replica.

    Attributes:
        has_full_queue: Whether STATUS is answered with BUSY.
        busy_status_count: The number of such answers.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.has_full_queue = False
        self.busy_status_count = 0

    def is_received(self, position: statements.LogPosition) -> bool:
        """Returns whether a replica has received a position."""
        with self.group.lock:
            return any(
                endpoint is not self and endpoint.last_position() >= position
                for endpoint in self.group.endpoints.values()
            )

    def _serve(self, sock) -> None:
        standin_group.wire.set_socket_options(sock)
        self._open_sockets.add(sock)
        session = _SyncSession(endpoint=self, sock=sock)
        try:
            session.serve()
        except (Exception, OSError):  # noqa: BLE001
            # A dropped connection can end its session at any point.
            return
        finally:
            self._open_sockets.discard(sock)
            sock.close()


class SyncGroup(standin_group.Group):
    """A group of such backends."""

    def __init__(self, *, settings: standin_group.GroupSettings):
        super().__init__(settings=settings)
        self.endpoints = {
            name: SyncEndpoint(group=self, name=name, zone=zone)
            for name, zone in settings.zones.items()
        }
        next(iter(self.endpoints.values())).is_primary = True


class _SyncSession(standin_group._Session):
    def _send_status(self) -> None:
        if self._endpoint.has_full_queue:
            self._endpoint.busy_status_count += 1
            self._send_error("BUSY", self._endpoint.name)
            return
        super()._send_status()

    def _send_outcome(self, request_id: str, *rows: str) -> None:
        if self._endpoint.is_primary and not rows and self._state == "I":
            # A commit, or a single write.
            position = self._endpoint.last_position()
            while not self._endpoint.is_received(position):
                if not self._endpoint.running:
                    raise ConnectionError("the backend has crashed")
                time.sleep(POLL_S)
        super()._send_outcome(request_id, *rows)
