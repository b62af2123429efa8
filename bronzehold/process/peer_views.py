"""What the live peers tell of a group in their last heartbeats.

Each function takes the heartbeats of the live peers.
"""

import collections.abc

from bronzehold.proto import peer_pb2 as pb


def primary_lost_votes(
    heartbeats: collections.abc.Iterable[pb.Heartbeat], group: str, primary: str
) -> int:
    """Returns the number of peers that report a primary as lost."""
    return sum(
        any(
            view.primary_gone and view.primary in (primary, "")
            for view in _views(heartbeat, group)
        )
        for heartbeat in heartbeats
    )


def all_drained(
    heartbeats: collections.abc.Iterable[pb.Heartbeat], group: str, attempt: str
) -> bool:
    """Returns whether all peers hold writes and have none in flight.

    Args:
        heartbeats: The heartbeats of the live peers.
        group: Name of the group.
        attempt: Id of the change of primary that the writes are held for.
    """
    return all(
        any(
            view.handover == attempt and view.drained
            for view in _views(heartbeat, group)
        )
        for heartbeat in heartbeats
    )


def all_reached_term(
    heartbeats: collections.abc.Iterable[pb.Heartbeat], group: str, term: int
) -> bool:
    """Returns whether all peers have reached a term of a group."""
    return all(
        any(view.term >= term for view in _views(heartbeat, group))
        for heartbeat in heartbeats
    )


def _views(heartbeat: pb.Heartbeat, group: str) -> list[pb.GroupView]:
    return [view for view in heartbeat.groups if view.group == group]
