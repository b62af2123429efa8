"""Replacement of a group's primary by another endpoint.

A change has these steps:

1. Claim the next term in the platform's store by compare-and-swap.
2. Fence: make a majority of endpoints promise to refuse older terms.
3. Wait until every grant for an older term has expired.
4. Choose the endpoint with the most complete log.
5. Promote it, and make the other endpoints replicate from it.

An endpoint refuses any term lower than the one it promised. A change that was
paused, or that runs concurrently with a newer one, therefore has no effect.
"""

import collections.abc
from concurrent import futures
import dataclasses
import json
import time
import uuid

from bronzehold.connection import client
from bronzehold.connection import control
from bronzehold.core import data
from bronzehold.core import events
from bronzehold.core import json_text
from bronzehold.core import structure
from bronzehold.core import validation
from bronzehold.process import etcd_store
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import grant as grant_lib

CALL_TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.02
# The time to wait for an unresponsive primary's answer after a majority has
# answered.
SILENT_PRIMARY_GRACE_S = 0.1
# Lengthens the wait for old grants, in case clocks run at different rates.
CLOCK_DRIFT_FACTOR = 1.05
MAX_PROMOTE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """The parameters of a change.

    Attributes:
        group: The name of the database group.
        endpoints: All endpoints of the group.
        observed_term: The highest term that the proxy has seen.
        primary: The primary to replace, "" if none is known.
        target: The endpoint that should become primary, "" for the best one.
        grant_s: The duration of a grant in seconds, the same on every proxy.
        proxy: The name of the proxy that makes the change.
        why: The reason for the change, for the timeline.
        exclude_primary: Whether the old primary should not be chosen again
            even if its log is the longest. This is set when it answers but its
            log reaches no replica. No write is acknowledged that no replica
            holds, so no acknowledged write is lost.
        primary_silent: Whether the primary does not answer.
    """

    group: str
    endpoints: tuple[data.Endpoint, ...]
    observed_term: int
    primary: str
    target: str
    grant_s: float
    proxy: str
    why: str
    exclude_primary: bool = False
    primary_silent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """The group's record in the platform's store.

    Attributes:
        term: The highest claimed term, 0 if none.
        attempt: The id of the change that claimed the term.
        proxy: The name of the proxy that claimed the term.
    """

    term: int = 0
    attempt: str = ""
    proxy: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Promoted:
    """The result of a change that promoted an endpoint.

    Attributes:
        term: The new primary's term.
        primary: The new primary's name.
    """

    term: int
    primary: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotPromoted:
    """The result of a change that promoted no endpoint.

    Attributes:
        term: The term that the change had claimed.
        why: The reason for the failure.
    """

    term: int
    why: str


Result = Promoted | NotPromoted

ControlCall = collections.abc.Callable[[client.Client], data.EndpointStatus]
CallEndpoint = collections.abc.Callable[[str, ControlCall], data.EndpointStatus]


class _StepFailedError(Exception):
    """A step of a change failed."""


def read_record(
    store: etcd_store.EtcdStore, group: str
) -> etcd_store.VersionedValue:
    """Reads the group's record from the platform's store."""
    return store.get(etcd_store.GROUPS_PREFIX + group)


def parse_record(found: etcd_store.VersionedValue) -> Record:
    """Decodes a group's record; an absent record gets default values.

    Raises:
        etcd_store.EtcdError: The record cannot be read. It may have held a term
            that another proxy has claimed, so no term can be claimed then.
    """
    if not found.value:
        return Record()
    try:
        return structure.structure(
            json_text.parse(found.value), Record, found.key
        )
    except (ValueError, validation.ProblemsError) as exc:
        raise etcd_store.EtcdError(f"record of the group: {exc}") from exc


class Change:
    """Runs one change.

    Every step is a method of its own, so that tests can interrupt a change at
    each step.
    """

    def __init__(
        self,
        *,
        attempt: Attempt,
        store: etcd_store.EtcdStore,
        call: CallEndpoint,
        timeline: timeline_lib.Timeline,
    ):
        self.attempt = attempt
        self.term = 0
        self._fenced_at = 0.0
        self._pending: dict[str, futures.Future] = {}
        self.id = f"{attempt.proxy}/{uuid.uuid4().hex[:12]}"
        self._store = store
        self._call_endpoint = call
        self._timeline = timeline
        self._workers = {
            ep.name: futures.ThreadPoolExecutor(1) for ep in attempt.endpoints
        }

    def claim_term(self, found: etcd_store.VersionedValue) -> bool:
        """Claims the next term; returns whether this change owns it.

        Args:
            found: The group's record as it was read.

        Raises:
            etcd_store.EtcdError: The platform does not answer.
        """
        record = parse_record(found)
        term = max(record.term, self.attempt.observed_term) + 1
        wanted = Record(term=term, attempt=self.id, proxy=self.attempt.proxy)
        value = json.dumps(dataclasses.asdict(wanted)).encode()
        match self._store.compare_and_swap(found, value):
            case etcd_store.Swapped():
                self.term = term
                self._timeline.add(
                    events.ChangeStarted(
                        group=self.attempt.group,
                        term=term,
                        attempt=self.id,
                        why=self.attempt.why,
                    )
                )
                return True
        return False

    def run(self) -> Result:
        """Runs all steps after the claim; claim_term must have succeeded."""
        try:
            fenced = self.fence()
            self.wait_for_old_grants(fenced)
            primary = self.promote(self.choose_primary())
        except _StepFailedError as exc:
            why = str(exc)
            self._timeline.add(
                events.ChangeFailed(
                    group=self.attempt.group, term=self.term, why=why
                )
            )
            return NotPromoted(term=self.term, why=why)
        finally:
            for worker in self._workers.values():
                worker.shutdown(wait=False)
        return Promoted(term=self.term, primary=primary)

    def _call_all(
        self,
        call: ControlCall,
        enough: collections.abc.Callable[[dict], bool],
        grace_s: float = CALL_TIMEOUT_S * 2,
        skip_busy: bool = False,
    ) -> dict[str, data.EndpointStatus]:
        """Calls all endpoints in parallel until enough have answered.

        Each endpoint has its own worker thread, so an endpoint that hangs does
        not delay calls to the others.

        Args:
            call: The control call.
            enough: Returns whether the given answers suffice.
            grace_s: The time in seconds to wait for further answers after a
                majority has answered.
            skip_busy: Whether to omit endpoints whose last call has not ended.

        Returns:
            The status of each endpoint that answered, by its name.
        """
        hard_end = time.monotonic() + CALL_TIMEOUT_S * 2
        started: list[futures.Future] = []
        for ep in self.attempt.endpoints:
            if skip_busy and not self._is_free(ep):
                continue
            worker = self._workers[ep.name]
            self._pending[ep.name] = worker.submit(self._call, ep, call)
            started.append(self._pending[ep.name])
        answers: dict[str, data.EndpointStatus] = {}
        waiting = set(started)
        end = hard_end
        while waiting and not enough(answers):
            remaining_s = end - time.monotonic()
            done, waiting = futures.wait(
                waiting, max(0.0, remaining_s), futures.FIRST_COMPLETED
            )
            if not done:
                break
            for name, status in (item.result() for item in done):
                if status is not None:
                    answers[name] = status
            if len(answers) >= self._majority():
                end = min(hard_end, time.monotonic() + grace_s)
        return answers

    def _is_free(self, ep: data.Endpoint) -> bool:
        last_call = self._pending.get(ep.name)
        return last_call is None or last_call.done()

    def _call(
        self, ep: data.Endpoint, call: ControlCall
    ) -> tuple[str, data.EndpointStatus | None]:
        try:
            return ep.name, self._call_endpoint(ep.name, call)
        except client.ClientError:
            return ep.name, None

    def _majority(self) -> int:
        return grant_lib.majority(len(self.attempt.endpoints))

    def fence(self) -> dict[str, data.EndpointStatus]:
        """Makes a majority of endpoints promise the term.

        Returns:
            The status of each endpoint that promised, by its name.

        Raises:
            _StepFailedError: Fewer than a majority promised.
        """
        majority = self._majority()
        primary = self.attempt.primary

        def enough(answers: dict) -> bool:
            # A promise of the old primary shortens the wait for old grants.
            # After a majority has answered, its answer is therefore awaited
            # for up to the time of one call.
            return len(answers) >= majority and primary in answers

        answers = self._call_all(
            lambda conn: control.fence(conn, self.term),
            enough,
            self._primary_grace_s(),
        )
        self._fenced_at = time.monotonic()
        if len(answers) < majority:
            raise _StepFailedError(
                f"only {len(answers)} endpoints promised the term"
            )
        self._timeline.add(
            events.ChangeFenced(
                group=self.attempt.group,
                term=self.term,
                endpoints=",".join(sorted(answers)),
            )
        )
        return answers

    def _primary_grace_s(self) -> float:
        # A primary that did not answer its polls is unlikely to answer now.
        return (
            SILENT_PRIMARY_GRACE_S
            if self.attempt.primary_silent
            else CALL_TIMEOUT_S * 2
        )

    def wait_for_old_grants(
        self, fenced: dict[str, data.EndpointStatus]
    ) -> None:
        """Waits until no write can be acknowledged in an older term.

        This is the case once all grants for older terms have expired. If the
        old primary has promised the new term, its log no longer changes, and
        the wait ends as soon as the target, or without a target any other
        endpoint, holds all of that log.
        """
        started = self._fenced_at
        end = started + self.attempt.grant_s * CLOCK_DRIFT_FACTOR
        old = fenced.get(self.attempt.primary)
        while time.monotonic() < end:
            if old is not None and self._log_held_elsewhere(old):
                break
            time.sleep(POLL_INTERVAL_S)
        waited = time.monotonic() - started
        self._timeline.add(
            events.ChangeWaited(
                group=self.attempt.group,
                term=self.term,
                waited_ms=int(waited / data.MILLISECOND),
            )
        )

    def _log_held_elsewhere(self, old: data.EndpointStatus) -> bool:
        answers = self._statuses(
            lambda found: any(
                self._holds_log(n, s, old) for n, s in found.items()
            ),
            skip_busy=True,
        )
        return any(self._holds_log(n, s, old) for n, s in answers.items())

    def _holds_log(
        self, name: str, status: data.EndpointStatus, old: data.EndpointStatus
    ) -> bool:
        if name == self.attempt.primary:
            return False
        if self.attempt.target and name != self.attempt.target:
            return False
        same = status.log_term == old.log_term
        return same and status.received >= old.received

    def _statuses(
        self,
        enough: collections.abc.Callable[[dict], bool],
        grace_s: float = CALL_TIMEOUT_S * 2,
        *,
        skip_busy: bool = False,
    ) -> dict[str, data.EndpointStatus]:
        return self._call_all(
            lambda conn: control.status(conn, after=-1, wait_ms=0),
            enough,
            grace_s,
            skip_busy=skip_busy,
        )

    def choose_primary(self) -> data.Endpoint:
        """Returns the endpoint to promote: the one with the most complete log.

        Must be called after the wait for old grants. Among equal logs,
        endpoints that are not leaving and are not the old primary come first.

        Raises:
            _StepFailedError: Fewer than a majority that promised the term
                answer.
        """
        total = len(self.attempt.endpoints)
        answers = self._statuses(
            lambda found: len(found) == total, self._primary_grace_s()
        )
        promised = {n: s for n, s in answers.items() if s.term == self.term}
        if len(promised) < self._majority():
            raise _StepFailedError(f"only {len(promised)} endpoints answer")
        self._exclude_primary(promised)
        by_name = {ep.name: ep for ep in self.attempt.endpoints}

        def order(name: str) -> tuple:
            status = promised[name]
            wanted = name == self.attempt.target
            replaced = name == self.attempt.primary
            return (
                status.log_term,
                status.received,
                not by_name[name].leaving,
                not replaced,
                wanted,
                status.applied,
                name,
            )

        return by_name[max(promised, key=order)]

    def _exclude_primary(
        self, promised: dict[str, data.EndpointStatus]
    ) -> None:
        # Every acknowledged write is held by a majority. The old primary is
        # excluded only if enough other endpoints promised the term that one of
        # them must hold each acknowledged write.
        others = len(promised.keys() - {self.attempt.primary})
        missing = len(self.attempt.endpoints) - self._majority()
        if self.attempt.exclude_primary and others > missing:
            promised.pop(self.attempt.primary, None)

    def promote(self, chosen: data.Endpoint) -> str:
        """Promotes an endpoint; called for only one endpoint in a term.

        Returns:
            The endpoint's name.

        Raises:
            _StepFailedError: The endpoint did not answer any of the calls.
        """
        for _ in range(MAX_PROMOTE_ATTEMPTS):
            name, status = self._call(
                chosen, lambda conn: control.promote(conn, self.term)
            )
            if status is not None:
                self._timeline.add(
                    events.ChangePromoted(
                        group=self.attempt.group,
                        term=self.term,
                        primary=name,
                        position=status.received,
                    )
                )
                self._follow(name)
                return name
        raise _StepFailedError(
            f"{chosen.name} did not answer the call to promote it"
        )

    def _follow(self, primary: str) -> None:
        for ep in self.attempt.endpoints:
            if ep.name != primary:
                self._workers[ep.name].submit(
                    self._call,
                    ep,
                    lambda conn: control.follow(conn, primary, self.term),
                )
