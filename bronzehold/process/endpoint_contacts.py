"""The recent answers and failures of the endpoints of a group.

Changes are made by one thread at a time; queries are safe from any thread.
"""

import collections.abc
import dataclasses

from bronzehold.core import clock
from bronzehold.core import endpoint_events
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import succession

# Slightly over twice the probe timeout (probes.PROBE_TIMEOUT_S).
SILENCE_TIMEOUT_S = 0.7
# Covers two refused connections, one probe interval apart.
REFUSED_TIMEOUT_S = 0.12
# An endpoint that answered within this time counts as reached, even if a later
# attempt failed.
RECENT_ANSWER_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class Contact:
    """The recent answers and failures of one endpoint.

    All times are in seconds of clock.now().

    Attributes:
        answered_at: The time of its last answer of any kind.
        failing_since: The time of the first failed attempt after that answer,
            0 if there is none.
        refusing_since: The time of the first refused connection after that
            answer, 0 if there is none.
        position: The last log position that it reported.
        position_at: The time of that report.
    """

    answered_at: float
    failing_since: float = 0.0
    refusing_since: float = 0.0
    position: statements.LogPosition | None = None
    position_at: float = 0.0


class EndpointContacts:
    """The contacts of a group's listed endpoints.

    Args:
        group: The name of the group's service, for events.
        timeline: The event log of the process.
    """

    def __init__(self, *, group: str, timeline: timeline_lib.Timeline):
        self._group = group
        self._timeline = timeline
        self._contacts: dict[str, Contact] = {}

    # Changes.

    def apply_listings(
        self,
        old: collections.abc.Mapping[str, routes.Listing],
        new: collections.abc.Mapping[str, routes.Listing],
    ) -> None:
        """Starts the contacts of new and restarted endpoints, drops others.

        Args:
            old: The listings until now, by id.
            new: The listings from now on, by id.
        """
        now = clock.now()
        for name, listing in new.items():
            old_listing = old.get(name)
            restarted = (
                old_listing is not None
                and old_listing.started_ms != listing.started_ms
            )
            if name not in self._contacts or restarted:
                self._contacts[name] = Contact(answered_at=now)
        for name in set(self._contacts) - set(new):
            del self._contacts[name]

    def note_answer(
        self, endpoint: str, position: statements.LogPosition | None
    ) -> bool:
        """Records an answer.

        Args:
            endpoint: The endpoint that answered.
            position: The log position in the answer, None if it has none.

        Returns:
            Whether the endpoint has refused connections until now.
        """
        contact = self._contacts.get(endpoint)
        if contact is None:
            return False
        contact.answered_at = clock.now()
        if contact.failing_since:
            self._timeline.add_frequent(
                endpoint_events.EndpointAnswers(
                    group=self._group,
                    endpoint=endpoint,
                    after_ms=int(
                        (contact.answered_at - contact.failing_since) * 1000
                    ),
                )
            )
        contact.failing_since = 0.0
        was_refusing = bool(contact.refusing_since)
        contact.refusing_since = 0.0
        if position is not None:
            contact.position = position
            contact.position_at = contact.answered_at
        return was_refusing

    def note_failing(
        self, endpoint: str, *, refused: bool, leads: bool
    ) -> None:
        """Records that an endpoint did not answer or refused a connection.

        Args:
            endpoint: The endpoint.
            refused: Whether it refused a connection.
            leads: Whether it is the primary.
        """
        contact = self._contacts.get(endpoint)
        if contact is None:
            return
        now = clock.now()
        if not contact.failing_since:
            contact.failing_since = now
            self._timeline.add_frequent(
                endpoint_events.EndpointFails(
                    group=self._group,
                    endpoint=endpoint,
                    leads=leads,
                    refused=refused,
                    silent_ms=int((now - contact.answered_at) * 1000),
                )
            )
        if refused:
            contact.refusing_since = contact.refusing_since or now

    def reset(self) -> None:
        """Resets all failures, for use after a suspension of this process.

        The endpoints' silence during a suspension says nothing about them.
        """
        now = clock.now()
        for contact in self._contacts.values():
            contact.answered_at = now
            contact.failing_since = 0.0
            contact.refusing_since = 0.0

    # Queries.

    def get(self, endpoint: str) -> Contact | None:
        """Returns the recent contact of an endpoint, None if not listed."""
        return self._contacts.get(endpoint)

    def reach(self, endpoint: str) -> succession.Reach:
        """Returns the reachability of an endpoint from this proxy."""
        contact = self._contacts.get(endpoint)
        if contact is None or self.is_unreachable(endpoint):
            return succession.Reach.UNREACHABLE
        if clock.now() - contact.answered_at < RECENT_ANSWER_S:
            return succession.Reach.REACHED
        return succession.Reach.UNKNOWN

    def is_failing(self, endpoint: str) -> bool:
        """Returns whether the last attempt to reach an endpoint failed."""
        contact = self._contacts.get(endpoint)
        return contact is None or contact.failing_since > 0

    def is_unreachable(self, endpoint: str) -> bool:
        """Returns whether an endpoint has failed for longer than allowed."""
        contact = self._contacts.get(endpoint)
        if contact is None:
            return True
        now = clock.now()
        if contact.refusing_since:
            return now - contact.refusing_since > REFUSED_TIMEOUT_S
        if not contact.failing_since:
            return False
        return now - contact.answered_at > SILENCE_TIMEOUT_S
