"""The state of one database group, as known to this proxy.

Watchers record the status that they poll from the endpoints. Requests wait
here for a grant, for a log position, or for a replica that is fresh enough. A
grant is the proof from a majority of the endpoints that one of them is the
primary for a limited time.
"""

import collections.abc
import dataclasses
import threading
import time

from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import grant as grant_lib

RECHECK_S = 0.05
WRITE_HOLD_S = 2.0
STALLED = "stalled"
SILENT = "silent"


class Group:
    """The state of a database group, guarded by one condition variable.

    Attributes:
        service: The present configuration of the group's service.
        name: The name of the service.
        timing: The timeouts of failure detection.
        cond: The condition variable; it is notified of each change that a
            request may wait for.
        writes_in_flight: The number of writes in flight from this proxy.
        ack_waiters: The number of requests that wait in wait_replicated.
        applied_waiters: The number of requests that wait for a replica to
            apply a write.
    """

    def __init__(
        self,
        *,
        service: data.Service,
        timing: settings.Timing,
        timeline: timeline_lib.Timeline,
    ):
        self.service = service
        self.name = service.name
        self.timing = timing
        self._timeline = timeline
        self.cond = threading.Condition()
        self._observations: dict[str, grant_lib.Observation] = {}
        self._refusing: set[str] = set()
        self._grant: grant_lib.Grant | None = None
        self._grant_in_force = False
        self._poll_requested_at = 0.0
        self._started = time.monotonic()
        self._progress_at = time.monotonic()
        self._hold_attempt = ""
        self._hold_expires_at = 0.0
        self._last_write: data.Mark | None = None
        self.writes_in_flight = 0
        self.ack_waiters = 0
        self.applied_waiters = 0

    # Updates from the watchers and the catalog.

    def observe(self, observation: grant_lib.Observation) -> None:
        """Records an answered poll."""
        with self.cond:
            old = self._observations.get(observation.endpoint)
            self._observations[observation.endpoint] = observation
            self._refusing.discard(observation.endpoint)
            self._note_progress(old, observation)
            self._note_discarded(old, observation)
            self._update_grant()
            self.cond.notify_all()

    def replace_service(self, service: data.Service) -> None:
        """Applies a new configuration of the service."""
        with self.cond:
            self.service = service
            names = {ep.name for ep in service.endpoints}
            self._observations = {
                k: v for k, v in self._observations.items() if k in names
            }
            self._update_grant()
            self.cond.notify_all()

    def _update_grant(self) -> None:
        found = grant_lib.compute_grant(
            self.name,
            self._observations.values(),
            len(self.service.endpoints),
            self.timing.grant_ms * data.MILLISECOND,
        )
        if found is not None and self._may_replace(found):
            if self._grant is None or found.term != self._grant.term:
                # The stall timeout of a new primary starts now.
                self._progress_at = time.monotonic()
            self._grant = found
        grant = self._grant
        if grant is not None and self._is_replaced(grant.term):
            # An endpoint has promised a later term, so this primary is being
            # replaced: end the grant early.
            self._grant = dataclasses.replace(grant, until=grant.start)
        self._note_grant()

    def _may_replace(self, found: grant_lib.Grant) -> bool:
        old = self._grant
        if old is None or found.term > old.term:
            return True
        return found.term == old.term and found.until > old.until

    def _note_grant(self) -> None:
        grant = self._grant
        if grant is None:
            return
        valid = grant.until > time.monotonic()
        if valid == self._grant_in_force:
            return
        self._grant_in_force = valid
        kind = events.GrantGained if valid else events.GrantLapsed
        self._timeline.add(
            kind(group=self.name, term=grant.term, primary=grant.primary)
        )

    def _note_progress(
        self,
        old: grant_lib.Observation | None,
        observation: grant_lib.Observation,
    ) -> None:
        if observation.status.role is data.Role.PRIMARY:
            return
        if old is None or observation.status.received > old.status.received:
            self._progress_at = observation.received_at

    def _note_discarded(
        self,
        old: grant_lib.Observation | None,
        observation: grant_lib.Observation,
    ) -> None:
        if old is None or observation.status.received >= old.status.received:
            return
        self._timeline.add(
            events.EntriesDiscarded(
                group=self.name,
                term=observation.status.log_term,
                endpoint=observation.endpoint,
                entries=old.status.received - observation.status.received,
            )
        )

    # Queries.

    def tick(self) -> None:
        """Logs the loss of the grant if it has expired."""
        with self.cond:
            self._note_grant()

    def grant(self) -> grant_lib.Grant | None:
        """Returns the grant, None if none is in force now."""
        grant = self._grant
        if grant is None or grant.until <= time.monotonic():
            return None
        return grant

    def last_grant(self) -> grant_lib.Grant | None:
        """Returns the latest grant, also after it has expired."""
        return self._grant

    def term(self) -> int:
        """Returns the highest term that any endpoint has reported."""
        with self.cond:
            terms = [o.status.term for o in self._observations.values()]
        return max(terms, default=0)

    def observation(self, endpoint: str) -> grant_lib.Observation | None:
        """Returns the latest answered poll of an endpoint."""
        return self._observations.get(endpoint)

    def observations(self) -> list[grant_lib.Observation]:
        """Returns the latest answered poll of every endpoint."""
        with self.cond:
            return list(self._observations.values())

    def silent_for(self, endpoint: str) -> float:
        """Returns the time since an endpoint last answered, in seconds."""
        observation = self._observations.get(endpoint)
        since = observation.received_at if observation else self._started
        return time.monotonic() - since

    def is_silent(self, endpoint: str) -> bool:
        """Returns whether an endpoint has been silent beyond its timeout."""
        refused = endpoint in self._refusing
        timing = self.timing
        bound_ms = timing.refused_ms if refused else timing.detect_ms
        return self.silent_for(endpoint) > bound_ms * data.MILLISECOND

    def note_refused(self, endpoint: str) -> None:
        """Records that an endpoint's address refused a connection."""
        with self.cond:
            self._refusing.add(endpoint)

    def primary_failure(self) -> str:
        """Returns the reason to replace the primary, "" if there is none."""
        grant = self._grant
        if grant is None:
            return self._missing_primary()
        if self.is_silent(grant.primary):
            return SILENT
        observation = self._observations.get(grant.primary)
        if observation is None:
            return ""
        if observation.status.role is not data.Role.PRIMARY or (
            observation.status.term > observation.status.log_term
        ):
            fenced_for = time.monotonic() - grant.start
            bound = self.timing.takeover_ms * data.MILLISECOND
            return "fenced" if fenced_for > bound else ""
        return STALLED if self._is_stalled(observation) else ""

    def _missing_primary(self) -> str:
        # A majority answers, but no primary has been found since the start.
        size = len(self.service.endpoints)
        waited = time.monotonic() - self._started
        bound = self.timing.takeover_ms * data.MILLISECOND
        answering = sum(not self.is_silent(name) for name in self._observations)
        if waited > bound and answering >= grant_lib.majority(size):
            return "missing"
        return ""

    def _is_stalled(self, primary: grant_lib.Observation) -> bool:
        others = [
            o
            for o in self._observations.values()
            if o.endpoint != primary.endpoint and not self.is_silent(o.endpoint)
        ]
        if not others or self.service.ack is data.Ack.PRIMARY:
            # With Ack.PRIMARY, writes do not wait for the replicas, so replicas
            # that lag behind do not stall the primary.
            return False
        behind = all(
            o.status.received < primary.status.received for o in others
        )
        if not behind:
            self._progress_at = time.monotonic()
            return False
        idle = time.monotonic() - self._progress_at
        return idle > self.timing.stall_ms * data.MILLISECOND

    def endpoint(self, name: str) -> data.Endpoint | None:
        """Returns the endpoint of a name, None if the group has none."""
        for ep in self.service.endpoints:
            if ep.name == name:
                return ep
        return None

    # Planned changes.

    def hold_writes(self, attempt: str) -> None:
        """Holds new writes back while a planned change is in progress.

        The hold expires after WRITE_HOLD_S unless it is renewed.

        Args:
            attempt: The name of the change; it begins with the proxy's name.
        """
        with self.cond:
            # If two changes run at the same time, all proxies choose the one
            # whose name sorts first.
            if self.hold_attempt() and attempt > self._hold_attempt:
                return
            self._hold_attempt = attempt
            self._hold_expires_at = time.monotonic() + WRITE_HOLD_S
            self.cond.notify_all()

    def release_writes(self, attempt: str) -> None:
        """Releases writes if they are held for this change."""
        with self.cond:
            if self._hold_attempt == attempt:
                self._hold_attempt = ""
                self.cond.notify_all()

    def hold_attempt(self) -> str:
        """Returns the change that writes are held for, "" if none."""
        if self._hold_attempt and time.monotonic() > self._hold_expires_at:
            self._hold_attempt = ""
        return self._hold_attempt

    def drained(self) -> bool:
        """Returns whether writes are held and none is in flight."""
        with self.cond:
            return bool(self.hold_attempt()) and self.writes_in_flight == 0

    # Waits of requests.

    def start_write(self, deadline: float) -> grant_lib.Grant:
        """Waits until the group accepts writes, and counts one as in flight.

        The caller calls end_write once for each return.

        Args:
            deadline: The end of the wait, in seconds of time.monotonic().

        Returns:
            The grant of the primary.

        Raises:
            errors.FailureError: NoPrimary, at the deadline.
        """
        with self.cond:
            while True:
                grant = self._write_grant()
                if grant is not None:
                    self.writes_in_flight += 1
                    return grant
                self._wait(deadline, errors.NoPrimary(group=self.name))

    def _write_grant(self) -> grant_lib.Grant | None:
        grant = self.grant()
        if grant is None or self.hold_attempt():
            return None
        ep = self.endpoint(grant.primary)
        return None if ep is None or ep.leaving else grant

    def end_write(self) -> None:
        """Counts a write as no longer in flight."""
        with self.cond:
            self.writes_in_flight -= 1
            self.cond.notify_all()

    def _wait(self, deadline: float, failure: errors.Failure) -> None:
        left = deadline - time.monotonic()
        if left <= 0:
            raise errors.FailureError(failure)
        self.cond.wait(min(left, RECHECK_S))

    def wait_grant(self, primary: str, term: int, deadline: float) -> bool:
        """Waits for a grant and checks that it is of one primary and term.

        Args:
            primary: The expected primary.
            term: Its term.
            deadline: The end of the wait, in seconds of time.monotonic().

        Returns:
            True if the grant is of this primary and term; False if it is not,
            at the deadline, or once a later term is known.
        """
        with self.cond:
            while True:
                grant = self.grant()
                if grant is not None:
                    return grant.primary == primary and grant.term == term
                left = deadline - time.monotonic()
                if left <= 0 or self._is_replaced(term):
                    return False
                self.cond.wait(min(left, RECHECK_S))

    def is_replaced(self, term: int) -> bool:
        """Returns whether any endpoint has promised a later term."""
        with self.cond:
            return self._is_replaced(term)

    def _is_replaced(self, term: int) -> bool:
        return any(o.status.term > term for o in self._observations.values())

    def wait_replicated(
        self, mark: data.Mark, primary: str, deadline: float
    ) -> bool:
        """Waits until a majority of the endpoints holds a log entry.

        Args:
            mark: The log entry.
            primary: The endpoint that wrote it, which counts as a holder.
            deadline: The end of the wait, in seconds of time.monotonic().

        Returns:
            True if a majority holds the entry; False at the deadline, or once
            a later term is known.
        """
        needed = grant_lib.majority(len(self.service.endpoints)) - 1
        with self.cond:
            self.ack_waiters += 1
            try:
                while True:
                    holding = grant_lib.count_holders(
                        self._observations.values(), mark, primary
                    )
                    if holding >= needed:
                        return True
                    left = deadline - time.monotonic()
                    if left <= 0 or self._is_replaced(mark.term):
                        return False
                    self.cond.wait(min(left, RECHECK_S))
            finally:
                self.ack_waiters -= 1

    def fresh_mark(self, arrived: float, deadline: float) -> data.Mark:
        """Returns a log position of the primary, observed after a read arrived.

        One poll of the primary serves all waiting reads.

        Args:
            arrived: The arrival of the read, in seconds of time.monotonic().
            deadline: The end of the wait, in seconds of time.monotonic().

        Returns:
            The position.

        Raises:
            errors.FailureError: NoPrimary, at the deadline.
        """
        with self.cond:
            self._poll_requested_at = max(self._poll_requested_at, arrived)
            self.cond.notify_all()
            while True:
                mark = self._position_after(arrived)
                if mark is not None:
                    return mark
                self._wait(deadline, errors.NoPrimary(group=self.name))

    def _position_after(self, arrived: float) -> data.Mark | None:
        grant = self.grant()
        observation = self._observations.get(grant.primary) if grant else None
        if (
            grant is None
            or observation is None
            or observation.sent_at < arrived
        ):
            return None
        if {observation.status.log_term, observation.status.term} != {
            grant.term
        }:
            return None
        return data.Mark(
            group=self.name,
            term=grant.term,
            position=observation.status.received,
        )

    def primary_poll_due(self, endpoint: str) -> bool:
        """Returns whether a request waits for a new poll of the primary.

        Args:
            endpoint: The endpoint to be polled; False if it is not the primary.
        """
        grant = self._grant
        observation = self._observations.get(endpoint)
        if grant is None or grant.primary != endpoint:
            return False
        return (
            observation is None or observation.sent_at < self._poll_requested_at
        )

    def wait_changed(
        self,
        check: collections.abc.Callable[[], bool],
        wait_s: float,
    ) -> None:
        """Waits until a check returns true, for a limited time.

        Args:
            check: The check; it is called with the group's lock held.
            wait_s: The longest wait, in seconds.
        """
        with self.cond:
            self.cond.wait_for(check, wait_s)

    def readable_endpoints(
        self, mark: data.Mark | None, max_age: float | None
    ) -> list[data.Placement]:
        """Returns the endpoints that may serve a read now.

        One grant is used for all checks, so that the endpoint marked as the
        primary is the one whose grant was checked, even if the grant expires
        during the call.

        Args:
            mark: The write that the session must see, None for none.
            max_age: The greatest age of the data in seconds, None for any.

        Returns:
            The endpoints, both the replicas and the primary.
        """
        now = time.monotonic()
        with self.cond:
            grant = self._grant
            if grant is None or self._is_mark_lost(mark, grant):
                return []
            return [
                _place(observation.endpoint, grant)
                for observation in self._observations.values()
                if self._is_readable(observation, grant, mark, max_age, now)
            ]

    def mark_lost(self, mark: data.Mark | None) -> bool:
        """Returns whether a mark is known to be lost from the primary's log."""
        with self.cond:
            grant = self._grant
            return grant is not None and self._is_mark_lost(mark, grant)

    def _primary_holds(
        self,
        observation: grant_lib.Observation,
        grant: grant_lib.Grant,
        mark: data.Mark | None,
    ) -> bool:
        if mark is None or mark.term < grant.term:
            return True
        written = self._last_write
        known = observation.status.received
        if written is not None and written.term == grant.term:
            known = max(known, written.position)
        return mark.term == grant.term and mark.position <= known

    def note_write(self, mark: data.Mark) -> None:
        """Records a write that the primary has confirmed to this proxy."""
        with self.cond:
            old = self._last_write
            if old is None or (mark.term, mark.position) > (
                old.term,
                old.position,
            ):
                self._last_write = mark

    def request_primary_poll(self) -> None:
        """Requests a poll of the primary."""
        with self.cond:
            self._poll_requested_at = time.monotonic()
            self.cond.notify_all()

    def _is_mark_lost(
        self, mark: data.Mark | None, grant: grant_lib.Grant
    ) -> bool:
        observation = self._observations.get(grant.primary)
        if (
            mark is None
            or observation is None
            or observation.status.log_term != grant.term
        ):
            return False
        return (
            data.evaluate_mark(mark, observation.status) is data.MarkState.LOST
        )

    def _is_readable(
        self,
        observation: grant_lib.Observation,
        grant: grant_lib.Grant,
        mark: data.Mark | None,
        max_age: float | None,
        now: float,
    ) -> bool:
        ep = self.endpoint(observation.endpoint)
        if ep is None or ep.leaving or self.is_silent(observation.endpoint):
            return False
        if observation.status.log_term != grant.term:
            return False
        if observation.endpoint == grant.primary:
            return grant.until > now and self._primary_holds(
                observation, grant, mark
            )
        if observation.status.role is not data.Role.REPLICA:
            return False
        if not _has_applied(observation, mark):
            return False
        if max_age is None:
            return True
        return grant_lib.effective_age(observation, grant.start, now) <= max_age


def _has_applied(
    observation: grant_lib.Observation, mark: data.Mark | None
) -> bool:
    if mark is None:
        return True
    return data.evaluate_mark(mark, observation.status) is data.MarkState.SEEN


def _place(endpoint: str, grant: grant_lib.Grant) -> data.Placement:
    primary = endpoint == grant.primary
    term = grant.term if primary else 0
    return data.Placement(endpoint=endpoint, is_primary=primary, term=term)
