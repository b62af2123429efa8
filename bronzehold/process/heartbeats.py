"""The content of heartbeats: what a proxy tells, and what it takes from others.

A heartbeat carries the proxy's view of the groups, its usage, the durations of
long statements, and the configuration if the receiver's is older.
"""

import threading

from bronzehold.core import settings
from bronzehold.process import catalog as catalog_lib
from bronzehold.process import peer_table
from bronzehold.process import quota
from bronzehold.proto import peer_pb2 as pb


class Heartbeats:
    """Makes this proxy's heartbeats and applies those of its peers.

    Attributes:
        address: The address of this proxy's gRPC server.
        stopping: Whether this proxy is stopping; sent to the peers.
    """

    def __init__(self, *, cfg: settings.Settings, catalog: catalog_lib.Catalog):
        self._cfg = cfg
        self._catalog = catalog
        self._lock = threading.Lock()
        self._sequence = 0
        # The change of primary for which each group's writes are to be held.
        self._announced: dict[str, str] = {}
        self.address = ""
        self.stopping = False

    def announce_hold(self, group: str, attempt: str) -> None:
        """Asks all peers to hold a group's writes.

        Args:
            group: Name of the group.
            attempt: Id of the change of primary; "" lets the writes continue.
        """
        with self._lock:
            if attempt:
                self._announced[group] = attempt
            else:
                self._announced.pop(group, None)

    # Sent.

    def make(self, known_revision: int) -> pb.Heartbeat:
        """Returns this proxy's heartbeat.

        Args:
            known_revision: Revision of the receiver's configuration, 0 if it
                is unknown; the document is included if this proxy's is newer.
        """
        document = self._catalog.document
        behind = 0 < known_revision < document.revision or (
            known_revision == 0 and document.revision > 0
        )
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        return pb.Heartbeat(
            proxy=self._cfg.name,
            address=self.address,
            zone=self._cfg.zone,
            stopping=self.stopping,
            revision=document.revision,
            document=self._catalog.encoded if behind else b"",
            groups=self._group_views(),
            sequence=sequence,
            spent=self._own_usage(),
            long_shapes=self._long_shapes(),
        )

    def _group_views(self) -> list[pb.GroupView]:
        # Groups without a failure and without held writes are left out.
        views = []
        for served in self._catalog.all():
            group = served.group
            failure = group.primary_failure()
            hold = self._announced.get(group.name) or group.hold_attempt()
            if not (failure or hold):
                continue
            grant = group.last_grant()
            views.append(
                pb.GroupView(
                    group=group.name,
                    term=grant.term if grant else 0,
                    primary=grant.primary if grant else "",
                    primary_gone=bool(failure),
                    drained=group.drained(),
                    handover=hold,
                )
            )
        return views

    def _own_usage(self) -> list[pb.Spent]:
        counts = []
        for served in self._catalog.all():
            own = served.quota_usage.own_usage()
            if served.service.spend_seconds and own.seconds:
                counts.append(
                    pb.Spent(
                        service=served.service.name,
                        window=own.window,
                        seconds=own.seconds,
                    )
                )
        return counts

    def _long_shapes(self) -> list[pb.LongShape]:
        return [
            pb.LongShape(
                service=served.service.name, shape=shape, seconds=seconds
            )
            for served in self._catalog.all()
            for shape, seconds in (
                served.duration_estimator.long_shapes().items()
            )
        ]

    # Received.

    def apply(
        self,
        previous: peer_table.ReceivedHeartbeat | None,
        heartbeat: pb.Heartbeat,
    ) -> None:
        """Applies the content of a peer's heartbeat.

        Args:
            previous: The heartbeat of the peer before this one, if any.
            heartbeat: The heartbeat.
        """
        if heartbeat.document:
            self._catalog.adopt(heartbeat.document, f"peer {heartbeat.proxy}")
        self._apply_holds(previous, heartbeat)
        self._apply_usage(heartbeat)
        self._apply_long_shapes(heartbeat)

    def _apply_holds(
        self,
        previous: peer_table.ReceivedHeartbeat | None,
        heartbeat: pb.Heartbeat,
    ) -> None:
        own_prefix = f"{heartbeat.proxy}/"
        holds = {
            view.group: view.handover
            for view in heartbeat.groups
            if view.handover.startswith(own_prefix)
        }
        for name, attempt in holds.items():
            served = self._catalog.find(name)
            if served is not None:
                served.group.hold_writes(attempt)
        for view in previous.heartbeat.groups if previous else ():
            ended = (
                view.handover.startswith(own_prefix) and view.group not in holds
            )
            served = self._catalog.find(view.group) if ended else None
            if served is not None:
                served.group.release_writes(view.handover)

    def _apply_usage(self, heartbeat: pb.Heartbeat) -> None:
        for one in heartbeat.spent:
            served = self._catalog.find(one.service)
            if served is not None:
                count = quota.Usage(window=one.window, seconds=one.seconds)
                served.quota_usage.record_peer(heartbeat.proxy, count)

    def _apply_long_shapes(self, heartbeat: pb.Heartbeat) -> None:
        for one in heartbeat.long_shapes:
            served = self._catalog.find(one.service)
            if served is not None:
                served.duration_estimator.add_remote(one.shape, one.seconds)
