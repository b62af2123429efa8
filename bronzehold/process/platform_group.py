"""The state of a group whose primary the platform fences.

The endpoints of such a group promise no terms to the proxies. Each answer of
the primary proves that it leads, and the platform ensures that there is only
one primary. So, unlike in `group`, no majority is needed and no grant has to
expire. Statements and probes record what the endpoints answer; requests wait
here for a primary.
"""

import collections.abc
import dataclasses
import threading

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.core import promotion_events
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import endpoint_contacts
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import write_hold
from bronzehold.version import freshness
from bronzehold.version import succession

RECHECK_S = 0.05
# Bounds of the time for which a catch-up estimate is used after the endpoint's
# last report: at least some round trips, at most half of the shortest data age
# that a route tolerates.
MIN_ESTIMATE_VALID_S = 0.1
MAX_ESTIMATE_VALID_S = 0.8
# Endpoints that are not listed any more are remembered as earlier primaries up
# to this number: one behind a partition may be listed again.
MAX_LED_TERMS = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leader:
    """The primary of a group.

    Attributes:
        endpoint: The id of the endpoint.
        term: Its term; 0 while it is known only from the endpoint's listing.
    """

    endpoint: str
    term: int


class PlatformGroup:
    """The state of one group, guarded by one condition variable.

    Attributes:
        name: The name of the group's service.
        proofs: The freshness proofs that the primary's answers gave.
        cond: The condition variable; it is notified of each change that a
            request may wait for.
    """

    def __init__(
        self,
        *,
        name: str,
        timeline: timeline_lib.Timeline,
        limit_deadline: collections.abc.Callable[
            [float], float
        ] = lambda deadline: deadline,
    ):
        self.name = name
        # A planned stop makes deadlines earlier, also during a wait.
        self._limit_deadline = limit_deadline
        self.proofs = freshness.Proofs()
        self.cond = threading.Condition()
        self._timeline = timeline
        self._listings: dict[str, routes.Listing] = {}
        self._contacts = endpoint_contacts.EndpointContacts(
            group=name, timeline=timeline
        )
        self._leader: Leader | None = None
        self._term = 0
        # The latest term in which each endpoint was found to lead.
        self._led_terms: dict[str, int] = {}
        self._leaderless_since = clock.now()
        self._reached_by_peer_at: dict[str, float] = {}
        self._hold = write_hold.WriteHold()

    # Updates from the directory.

    def set_listings(self, listings: dict[str, routes.Listing]) -> None:
        """Applies the endpoints that the directory lists now."""
        with self.cond:
            old = self._listings
            self._listings = dict(listings)
            self._contacts.apply_listings(old, listings)
            if len(self._led_terms) > MAX_LED_TERMS:
                self._led_terms = {
                    name: term
                    for name, term in self._led_terms.items()
                    if name in listings
                }
            leader = self._leader
            if leader is not None and leader.endpoint not in listings:
                self._clear_leader("no longer listed")
            if self._leader is None and not self._term:
                # No endpoint has reported a term yet: use the listing's claim.
                for listing in listings.values():
                    if listing.leads:
                        self._leader = Leader(endpoint=listing.id, term=0)
            self.cond.notify_all()

    def listings(self) -> dict[str, routes.Listing]:
        """Returns the listings of the endpoints, by id."""
        return self._listings

    # Answers and failures of the endpoints.

    def note_status(
        self, endpoint: str, status: statements.Status, sent: float
    ) -> None:
        """Records the answer to a status request.

        Args:
            endpoint: The endpoint that answered.
            status: The answer.
            sent: The time of the request, in seconds of clock.now().
        """
        with self.cond:
            self._note_answer(endpoint, status.received)
            if status.leads:
                self._led_terms[endpoint] = status.term
                self._set_leader(endpoint, status.term)
            elif self._is_leader(endpoint) and status.term >= self._term:
                self._clear_leader("reports the replica role")
        if status.leads:
            self._add_proof(status.term, status.received, sent)

    def note_primary_answer(
        self,
        endpoint: str,
        position: statements.LogPosition | None,
        sent: float,
    ) -> None:
        """Records an answer that only the primary gives.

        Args:
            endpoint: The endpoint that answered.
            position: The log position in the answer, None if it has none.
            sent: The time of the statement, in seconds of clock.now().
        """
        with self.cond:
            self._note_answer(endpoint, position)
        if position is not None:
            self._add_proof(position.term, position, sent)

    def _add_proof(
        self, term: int, position: statements.LogPosition, sent: float
    ) -> None:
        with self.cond:
            if term < self._term:
                return
        self.proofs.add(freshness.Proof(position=position, at=sent))

    def note_answered(
        self, endpoint: str, position: statements.LogPosition | None = None
    ) -> None:
        """Records that an endpoint has answered."""
        with self.cond:
            self._note_answer(endpoint, position)

    def _note_answer(
        self, endpoint: str, position: statements.LogPosition | None
    ) -> None:
        if self._contacts.note_answer(endpoint, position):
            self.cond.notify_all()

    def note_not_leading(self, endpoint: str) -> None:
        """Records that an endpoint refused work as it is not the primary."""
        with self.cond:
            self._note_answer(endpoint, None)
            if self._is_leader(endpoint):
                self._clear_leader("refuses writes")

    def note_failing(self, endpoint: str, *, refused: bool) -> None:
        """Records that an endpoint did not answer or refused a connection."""
        with self.cond:
            self._contacts.note_failing(
                endpoint, refused=refused, leads=self._is_leader(endpoint)
            )

    def reset_contacts(self) -> None:
        """Resets all failures, for use after a suspension of this process.

        The endpoints' silence during a suspension says nothing about them.
        """
        with self.cond:
            self._contacts.reset()

    def _is_leader(self, endpoint: str) -> bool:
        return self._leader is not None and self._leader.endpoint == endpoint

    def _set_leader(self, endpoint: str, term: int) -> None:
        if term < self._term or endpoint not in self._listings:
            return
        leader = Leader(endpoint=endpoint, term=term)
        if self._leader == leader:
            return
        leaderless_s = (
            0.0 if self._leader else clock.now() - self._leaderless_since
        )
        self._leader = leader
        if term > self._term and self._hold.release_decided(leader=endpoint):
            self._note_released(f"{endpoint} leads term {term}")
        self._term = term
        self._timeline.add(
            events.PrimaryFound(
                group=self.name,
                term=term,
                primary=endpoint,
                gap_ms=int(leaderless_s * 1000),
            )
        )
        self.cond.notify_all()

    def _clear_leader(self, reason: str) -> None:
        leader = self._leader
        self._leader = None
        self._leaderless_since = clock.now()
        self._timeline.add(
            events.PrimaryLost(
                group=self.name,
                term=self._term,
                primary=leader.endpoint if leader else "",
                why=reason,
            )
        )
        self.cond.notify_all()

    def apply_peer_leader(self, endpoint: str, term: int) -> None:
        """Applies a peer's report of the primary of a later term."""
        with self.cond:
            if term > self._term:
                self._set_leader(endpoint, term)

    # Planned changes.

    def hold_writes(self, hold: write_hold.Hold) -> None:
        """Holds new writes back while a change of primary is in progress."""
        with self.cond:
            is_new = self._hold.attempt() != hold.attempt
            if self._hold.start(hold):
                self.cond.notify_all()
                if is_new:
                    self._timeline.add(
                        promotion_events.WritesHeld(
                            group=self.name,
                            attempt=hold.attempt,
                            until_decided=hold.until_decided,
                        )
                    )

    def renew_hold(self, attempt: str, until: float) -> None:
        """Extends the hold if writes are held for this change."""
        with self.cond:
            self._hold.renew(attempt, until)

    def release_writes(self, attempt: str) -> None:
        """Releases writes if they are held for this change."""
        with self.cond:
            if self._hold.release(attempt):
                self._note_released("the change has ended")

    def release_fenced(self, token: int) -> None:
        """Releases writes that wait for an order that has been fenced.

        Args:
            token: The fencing token of the fence.
        """
        with self.cond:
            if self._hold.release_fenced(token):
                self._note_released(f"fenced under token {token}")

    def _note_released(self, reason: str) -> None:
        self._timeline.add(
            promotion_events.WritesReleased(group=self.name, why=reason)
        )
        self.cond.notify_all()

    def write_hold(self) -> write_hold.Hold:
        """Returns the hold of writes in force."""
        with self.cond:
            return self._hold.current()

    def hold_attempt(self) -> str:
        """Returns the change that writes are held for, "" if none."""
        return self.write_hold().attempt

    def drained(self) -> bool:
        """Returns whether writes are held and none is in flight."""
        with self.cond:
            return self._hold.is_drained()

    def has_writes_in_flight(self) -> bool:
        """Returns whether writes of this proxy are in flight."""
        return self._hold.in_flight > 0

    def start_write(self, deadline: float) -> Leader | None:
        """Waits until the primary accepts writes, and counts one as in flight.

        The caller calls end_write once for each primary returned.

        Args:
            deadline: The end of the wait, in seconds of clock.now().

        Returns:
            The primary, None at the deadline.
        """
        with self.cond:
            while not self._accepts_connections() or self._hold.is_held():
                left = self._limit_deadline(deadline) - clock.now()
                if left <= 0:
                    return None
                self.cond.wait(min(left, RECHECK_S))
            self._hold.in_flight += 1
            return self._leader

    def await_outcome(self, term: int, deadline: float) -> bool:
        """Waits while an order to promote another endpoint may be carried out.

        Where replicas confirm commits, what the primary acknowledges meanwhile
        may be missing in the log of the other endpoint.

        Args:
            term: The term of the commit.
            deadline: The end of the wait, in seconds of clock.now().

        Returns:
            Whether a commit that was acknowledged before the call is kept.
        """
        with self.cond:
            if not self._hold.current().is_order_open():
                return True
            while self._hold.current().is_order_open():
                left = deadline - clock.now()
                if left <= 0:
                    return False
                self.cond.wait(min(left, RECHECK_S))
            return self._term <= term

    def _accepts_connections(self) -> bool:
        """Returns whether a primary is known and refuses no connections."""
        if self._leader is None:
            return False
        contact = self._contacts.get(self._leader.endpoint)
        return contact is None or not contact.refusing_since

    def end_write(self) -> None:
        """Counts a write, or a transaction that may write, as ended."""
        with self.cond:
            self._hold.in_flight -= 1

    # Queries.

    def leader(self) -> Leader | None:
        """Returns the primary, None if none is known."""
        return self._leader

    def has_deposed_log(
        self, endpoint: str, received: statements.LogPosition
    ) -> bool:
        """Returns whether a replica's log ends in a term in which it led.

        It may then hold commits that the promotion of another endpoint has
        rolled back, and lack all commits since.

        Args:
            endpoint: The id of the endpoint, which does not lead.
            received: The last position in its log.
        """
        return self._led_terms.get(endpoint) == received.term

    def term(self) -> int:
        """Returns the highest term in which an endpoint was found to lead."""
        return self._term

    def wait_leader(self, deadline: float) -> Leader | None:
        """Waits for a primary that refuses no connections.

        Args:
            deadline: The end of the wait, in seconds of clock.now().

        Returns:
            The primary, None at the deadline.
        """
        with self.cond:
            while not self._accepts_connections():
                left = self._limit_deadline(deadline) - clock.now()
                if left <= 0:
                    return None
                self.cond.wait(min(left, RECHECK_S))
            return self._leader

    def catch_up_s(
        self, endpoint: str, required: statements.LogPosition
    ) -> float:
        """Estimates the time until an endpoint's log holds a position.

        An estimate is used for a limited time after the endpoint's last report.
        After that, 0 is returned, so that the endpoint is tried again.

        Args:
            endpoint: The id of the endpoint.
            required: The position that its log must hold.

        Returns:
            The remaining time in seconds; 0 if it may hold the position.
        """
        contact = self._contacts.get(endpoint)
        if contact is None or contact.position is None:
            return 0.0
        observed = freshness.ObservedPosition(
            position=contact.position, at=contact.position_at
        )
        remaining_s = self.proofs.catch_up_s(observed, required)
        position_age_s = clock.now() - contact.position_at
        estimate_valid_s = min(
            max(remaining_s / 2, MIN_ESTIMATE_VALID_S), MAX_ESTIMATE_VALID_S
        )
        return remaining_s if position_age_s < estimate_valid_s else 0.0

    def contact(self, endpoint: str) -> endpoint_contacts.Contact | None:
        """Returns the recent contact of an endpoint, None if not listed."""
        return self._contacts.get(endpoint)

    def leaderless_s(self) -> float:
        """Returns the time without a reachable primary, in seconds."""
        with self.cond:
            now = clock.now()
            if self._leader is None:
                return now - self._leaderless_since
            contact = self._contacts.get(self._leader.endpoint)
            if contact is None or not contact.failing_since:
                return 0.0
            return now - contact.failing_since

    def primary_unreachable(self) -> bool:
        """Returns whether no primary is known, or the known one is failing."""
        leader = self._leader
        if leader is None:
            return True
        contact = self._contacts.get(leader.endpoint)
        if contact is None:
            return True
        silent_s = clock.now() - contact.answered_at
        return (
            contact.failing_since > 0
            and silent_s > endpoint_contacts.RECENT_ANSWER_S
        )

    def note_peer_reached(self, endpoint: str) -> None:
        """Records that a peer has recently reached an endpoint that leads."""
        with self.cond:
            self._reached_by_peer_at[endpoint] = clock.now()

    def primary_reached_by_peers(self) -> bool:
        """Returns whether a peer still reaches a primary that fails here.

        Such a primary is not replaced.
        """
        leader = self._leader
        if leader is None:
            return False
        contact = self._contacts.get(leader.endpoint)
        if contact is None:
            return False
        reported_at = self._reached_by_peer_at.get(leader.endpoint, 0.0)
        # A peer's report may be this old on arrival, and so date from before
        # the primary became unreachable.
        reached_since = reported_at - endpoint_contacts.RECENT_ANSWER_S
        return (
            reached_since > contact.failing_since > 0
            and clock.now() - reported_at < endpoint_contacts.RECENT_ANSWER_S
        )

    def reach(self, endpoint: str) -> succession.Reach:
        """Returns the reachability of an endpoint from this proxy."""
        return self._contacts.reach(endpoint)

    def is_failing(self, endpoint: str) -> bool:
        """Returns whether the last attempt to reach an endpoint failed."""
        return self._contacts.is_failing(endpoint)

    def is_unreachable(self, endpoint: str) -> bool:
        """Returns whether an endpoint has failed for longer than allowed."""
        return self._contacts.is_unreachable(endpoint)
