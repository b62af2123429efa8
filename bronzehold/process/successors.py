"""Chooses the endpoint that takes over from a group's primary.

Without synchronous replication, the endpoints that answer in time are compared.
With it, a commit is acknowledged once one replica has received it, so any
replica may hold the only copy of a commit. A successor is then chosen only when
all replicas that are listed have stopped receiving and have reported their
logs: nothing can be acknowledged any more, and the longest log holds all that
was.
"""

import collections.abc
from concurrent import futures
import dataclasses
import threading

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import promotion_events
from bronzehold.core import statements
from bronzehold.process import platform_service
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import succession

STATUS_TIMEOUT_S = 0.45
# Comparisons of the logs with that of a primary whose writes are held.
MAX_COMPARISONS = 3
COMPARISON_INTERVAL_S = 0.03
RESUME_RETRY_S = 1.0
# An endpoint that was deposed is promoted only if no other one has answered for
# this long. The one that leads, or a replica that has followed it, is probably
# behind a partition.
DEPOSED_LOG_TIMEOUT_S = 10.0
# Choices that are further apart belong to different losses of a primary.
MAX_CHOICE_INTERVAL_S = 2.0
WORKERS = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """A wait for another candidate than deposed endpoints.

    All times are in seconds of clock.now().

    Attributes:
        since: The time of the first choice that found none.
        latest_at: The time of the latest one.
    """

    since: float
    latest_at: float


class Successors:
    """Compares the logs of a group's endpoints; used by one thread.

    Args:
        timeline: The event log of the process.
        stop: Set when the process stops.
    """

    def __init__(
        self, *, timeline: timeline_lib.Timeline, stop: threading.Event
    ):
        self._timeline = timeline
        self._stop = stop
        self._executor = futures.ThreadPoolExecutor(WORKERS)
        # Replicas that may be paused, by service.
        self._paused: dict[str, set[str]] = {}
        self._resumed_at: dict[str, float] = {}
        # Waits for another candidate than deposed endpoints, by service.
        self._waits: dict[str, Wait] = {}
        # Endpoints whose log a choice waits for, by service.
        self._awaited: dict[str, tuple[str, ...]] = {}

    def best(
        self, service: platform_service.PlatformService, leader: str
    ) -> succession.Candidate | None:
        """Returns the best endpoint of those that answer in time.

        Args:
            service: The service.
            leader: The endpoint to replace, "" if none is known.
        """
        names = _others(service, leader)
        successor = _choose(service, self._ask(service, names))
        name = service.limits.name
        if successor is None or not successor.deposed:
            self._waits.pop(name, None)
            return successor
        return successor if self._has_waited(name) else None

    def _has_waited(self, name: str) -> bool:
        """Returns whether another candidate was waited for long enough."""
        now = clock.now()
        wait = self._waits.get(name)
        if wait is None or now - wait.latest_at > MAX_CHOICE_INTERVAL_S:
            wait = Wait(since=now, latest_at=now)
        self._waits[name] = dataclasses.replace(wait, latest_at=now)
        return now - wait.since > DEPOSED_LOG_TIMEOUT_S

    def best_caught_up(
        self, service: platform_service.PlatformService, leader: str
    ) -> succession.Candidate | None:
        """Returns the best endpoint, if possible one that has caught up.

        The logs are compared several times with the primary's, or with the
        newest position that its answers have proved if it does not answer this
        proxy. The writes have to be held, so that it is the last one.

        Args:
            service: The service.
            leader: The primary.
        """
        status = service.probe(leader)
        proof = service.group.proofs.newest()
        position = proof.position if proof is not None else None
        if status is not None:
            position = status.received
        for _ in range(MAX_COMPARISONS):
            successor = self.best(service, leader)
            if position is None or successor is None:
                return successor
            if successor.received >= position:
                return successor
            self._stop.wait(COMPARISON_INTERVAL_S)
        return successor

    def choose(
        self, service: platform_service.PlatformService, leader: str
    ) -> succession.Candidate | None:
        """Returns the endpoint to promote, None if none may be promoted yet.

        With synchronous replication, the replicas are left paused: a promotion
        ends that, and so does resume().

        Args:
            service: The service.
            leader: The endpoint to replace, "" if none is known.
        """
        if not service.limits.synchronous:
            return self.best(service, leader)
        names = _others(service, leader)
        found = self._ask(service, names)
        if not self._is_complete(service, names, found):
            return None
        if any(status.leads for status in found.values()):
            return None
        pause = statements.PauseReplication(
            term=1 + _newest_term(service, found.values())
        )
        self._paused.setdefault(service.limits.name, set()).update(names)
        found = self._ask(service, names, pause)
        if not self._is_complete(service, names, found):
            return None
        successor = _choose(service, found)
        if successor is not None:
            self._timeline.add(
                promotion_events.SuccessorChosen(
                    group=service.limits.name,
                    primary=successor.endpoint,
                    positions=tuple(
                        f"{name}={status.received}"
                        for name, status in sorted(found.items())
                    ),
                )
            )
        return successor

    def _is_complete(
        self,
        service: platform_service.PlatformService,
        names: set[str],
        found: collections.abc.Mapping[str, statements.Status],
    ) -> bool:
        group = service.limits.name
        missing = tuple(sorted(names - set(found)))
        if missing and self._awaited.get(group) != missing:
            self._timeline.add(
                promotion_events.SuccessorAwaited(
                    group=group, endpoints=missing
                )
            )
        self._awaited[group] = missing
        return not missing

    def _ask(
        self,
        service: platform_service.PlatformService,
        names: collections.abc.Iterable[str],
        command: statements.StatusCommand = statements.GET_STATUS,
    ) -> dict[str, statements.Status]:
        """Returns the status of each endpoint that answers in time."""
        asked = {
            name: self._executor.submit(service.probe, name, command)
            for name in names
        }
        futures.wait(asked.values(), STATUS_TIMEOUT_S)
        found = {}
        for name, fut in asked.items():
            exc = fut.exception() if fut.done() else None
            if exc is not None:
                # One endpoint must not keep the others from being compared.
                error = f"{type(exc).__name__}: {exc}"
                self._timeline.add(
                    events.TaskFailed(task=f"status of {name}", error=error)
                )
            elif fut.done() and fut.result() is not None:
                found[name] = fut.result()
        return found

    # Paused replicas.

    def find_paused(self, service: platform_service.PlatformService) -> bool:
        """Finds paused replicas, for resume(); returns whether any answered.

        A pause that this proxy or an earlier token holder has sent may be in
        force without its knowledge.
        """
        names = _others(service, _leader_name(service))
        found = self._ask(service, names)
        paused = {name for name, status in found.items() if status.paused_term}
        if paused:
            self._paused.setdefault(service.limits.name, set()).update(paused)
        return bool(paused)

    def note_promoted(self, name: str) -> None:
        """Records that an endpoint was promoted, which ends all pauses."""
        self._paused.pop(name, None)
        self._awaited.pop(name, None)

    def resume(self, service: platform_service.PlatformService) -> None:
        """Lets the replicas that are paused receive again.

        Those that do not answer are asked again by a later call.
        """
        name = service.limits.name
        self._awaited.pop(name, None)
        if name not in self._paused:
            return
        now = clock.now()
        paused = self._paused[name] & _others(service, _leader_name(service))
        if not paused:
            del self._paused[name]
            return
        if now - self._resumed_at.get(name, -RESUME_RETRY_S) < RESUME_RETRY_S:
            return
        self._resumed_at[name] = now
        answered = self._ask(service, paused, statements.ResumeReplication())
        self._paused[name] = paused - set(answered)


def _leader_name(service: platform_service.PlatformService) -> str:
    leader = service.group.leader()
    return leader.endpoint if leader else ""


def _others(service: platform_service.PlatformService, leader: str) -> set[str]:
    return set(service.group.listings()) - {leader}


def _newest_term(
    service: platform_service.PlatformService,
    found: collections.abc.Iterable[statements.Status],
) -> int:
    reported = [max(status.term, status.paused_term) for status in found]
    return max([service.group.term(), *reported])


def _choose(
    service: platform_service.PlatformService,
    found: collections.abc.Mapping[str, statements.Status],
) -> succession.Candidate | None:
    listings = service.group.listings()
    candidates = (
        succession.Candidate(
            endpoint=name,
            received=status.received,
            leaving=listings[name].leaving,
            deposed=service.group.has_deposed_log(name, status.received),
        )
        for name, status in found.items()
        if name in listings
    )
    return succession.choose_successor(
        candidates, synchronous=service.limits.synchronous
    )
