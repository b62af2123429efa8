"""The views of a group that proxies exchange in their digests."""

from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_service
from bronzehold.proto import gossip_pb2 as pb
from bronzehold.version import succession


def own_view(service: platform_service.PlatformService) -> succession.View:
    """Returns this proxy's view of a group."""
    leader = service.group.leader()
    if leader is None:
        return succession.View(
            leader="",
            term=service.group.term(),
            reach=succession.Reach.UNKNOWN,
        )
    return succession.View(
        leader=leader.endpoint,
        term=leader.term,
        reach=service.group.reach(leader.endpoint),
    )


def peer_views(
    heard: gossip_lib.ReceivedDigest, service: str
) -> list[succession.View]:
    """Returns the views of a group in a peer's latest digest."""
    return [
        succession.View(
            leader=view.leader,
            term=view.term,
            reach=_REACH_BY_NUMBER.get(view.reach, succession.Reach.UNKNOWN),
        )
        for view in heard.digest.groups
        if view.service == service
    ]


_REACH_BY_NUMBER = {
    pb.UNTRIED: succession.Reach.UNKNOWN,
    pb.HEARD: succession.Reach.REACHED,
    pb.GONE: succession.Reach.UNREACHABLE,
}
NUMBER_BY_REACH = {reach: number for number, reach in _REACH_BY_NUMBER.items()}
