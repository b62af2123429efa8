"""Decides when a group's primary is changed, and which proxy does it.

A primary is replaced when more than half of the proxies find it failing, when
it is leaving, or when an operator requests it. All proxies compute the same
ranking; each delays its attempt by its rank, and the store lets only one proxy
win a term. `version.change` carries the change out.
"""

import collections.abc
import threading
import time

from bronzehold.connection import client
from bronzehold.connection import control
from bronzehold.core import data
from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.process import catalog as catalog_lib
from bronzehold.process import etcd_store
from bronzehold.process import group as group_lib
from bronzehold.process import peer_views
from bronzehold.process import peers as peers_lib
from bronzehold.process import service as service_lib
from bronzehold.process import tasks as tasks_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.proto import peer_pb2 as pb
from bronzehold.version import change as change_lib
from bronzehold.version import grant as grant_lib

CHECK_S = 0.05
# A proxy starts a change later by this delay for each proxy ranked before it.
RANK_DELAY_S = 0.3
LEAVING_RANK_DELAY_S = 5.0
LEAVING = "leaving"
DRAIN_TIMEOUT_S = 5.0
LEAVING_DRAIN_TIMEOUT_S = 60.0
CHANGE_RETRY_S = 0.5
# Writes stay held at most this long for the proxies to learn of a new term.
TERM_SPREAD_TIMEOUT_S = 1.0
FOLLOW_RETRY_S = 0.5


class Failover:
    """The task that monitors and changes the primaries of all groups."""

    def __init__(
        self,
        *,
        cfg: settings.Settings,
        timeline: timeline_lib.Timeline,
        catalog: catalog_lib.Catalog,
        store: etcd_store.EtcdStore,
        peers: peers_lib.Peers,
        tasks: tasks_lib.Tasks,
    ):
        self._cfg = cfg
        self._timeline = timeline
        self._catalog = catalog
        self._store = store
        self._peers = peers
        self._tasks = tasks
        self._lock = threading.Lock()
        self._changing: set[str] = set()
        self._reason_since: dict[str, float] = {}
        self._not_before: dict[str, float] = {}
        self._seen_records: dict[str, tuple[str, float]] = {}
        self._follow_ordered_at: dict[str, float] = {}
        # Tests set this hook to wrap the changes that this proxy makes.
        self.prepare = lambda change: change

    def start(self) -> None:
        """Starts the task."""
        self._tasks.spawn_lasting("changes", self._run)

    def _run(self) -> None:
        while not self._tasks.stop.wait(CHECK_S):
            for served in self._catalog.all():
                served.group.tick()
                self._check_group(served)
                self._repoint_replicas(served)

    def _check_group(self, served: service_lib.ServiceRuntime) -> None:
        name = served.group.name
        now = time.monotonic()
        if name in self._changing or now < self._not_before.get(name, 0.0):
            return
        reason = self._change_reason(served)
        if not reason:
            self._reason_since.pop(name, None)
            return
        since = self._reason_since.setdefault(name, now)
        rank_delay_s = (
            LEAVING_RANK_DELAY_S if reason == LEAVING else RANK_DELAY_S
        )
        if now - since < self._peers.rank(name) * rank_delay_s:
            return
        with self._lock:
            self._changing.add(name)
        self._tasks.spawn(
            f"change {name}", lambda: self._run_change(served, reason)
        )

    def _heartbeats(self) -> collections.abc.Collection[pb.Heartbeat]:
        return self._peers.live_peers().values()

    def _change_reason(self, served: service_lib.ServiceRuntime) -> str:
        group = served.group
        if group.hold_attempt():
            return ""
        failure = group.primary_failure()
        grant = group.last_grant()
        primary = grant.primary if grant else ""
        if failure:
            votes = 1 + peer_views.primary_lost_votes(
                self._heartbeats(), group.name, primary
            )
            agreed = votes * 2 > self._peers.voter_count()
            return failure if agreed else ""
        ep = group.endpoint(primary)
        if ep is not None and ep.leaving and group.grant() is not None:
            has_staying_endpoint = any(
                not e.leaving for e in group.service.endpoints
            )
            return LEAVING if has_staying_endpoint else ""
        return ""

    def _run_change(
        self, served: service_lib.ServiceRuntime, reason: str
    ) -> None:
        name = served.group.name
        try:
            if reason == LEAVING:
                self._make_planned_change(
                    served, target="", drain_s=LEAVING_DRAIN_TIMEOUT_S
                )
            else:
                self._log_suspicion(served, reason)
                self._make_unplanned_change(served, reason)
        except etcd_store.EtcdError as exc:
            self._log_failure(name, 0, f"platform: {exc}"[:80])
        finally:
            self._not_before[name] = time.monotonic() + CHANGE_RETRY_S
            with self._lock:
                self._changing.discard(name)

    def _log_suspicion(
        self, served: service_lib.ServiceRuntime, reason: str
    ) -> None:
        grant = served.group.last_grant()
        self._timeline.add(
            events.PrimarySuspected(
                group=served.group.name,
                term=grant.term if grant else 0,
                primary=grant.primary if grant else "",
                why=reason,
            )
        )

    def _log_failure(
        self, group: str, term: int, reason: str
    ) -> change_lib.NotPromoted:
        self._timeline.add(
            events.ChangeFailed(group=group, term=term, why=reason)
        )
        return change_lib.NotPromoted(term=term, why=reason)

    def _win_term(
        self,
        served: service_lib.ServiceRuntime,
        reason: str,
        target: str,
        found: etcd_store.VersionedValue,
    ) -> change_lib.Change | None:
        """Wins the next term unless another proxy's change is in progress.

        Returns:
            The change to run, None if the term was not won.
        """
        group = served.group
        timing = self._cfg.timing
        record = change_lib.parse_record(found)
        if self._change_in_progress(group.name, record, group.term()):
            return None
        grant = group.last_grant()
        attempt = change_lib.Attempt(
            group=group.name,
            endpoints=served.service.endpoints,
            observed_term=group.term(),
            primary=grant.primary if grant else "",
            target=target,
            grant_s=timing.grant_ms * data.MILLISECOND,
            proxy=self._cfg.name,
            why=reason,
            exclude_primary=reason == group_lib.STALLED,
            primary_silent=reason == group_lib.SILENT,
        )
        change = self.prepare(
            change_lib.Change(
                attempt=attempt,
                store=self._store,
                call=served.call_control,
                timeline=self._timeline,
            )
        )
        return change if change.claim_term(found) else None

    def _change_in_progress(
        self, group: str, record: change_lib.Record, observed: int
    ) -> bool:
        grant = self._catalog.find(group).group.grant()
        if grant is not None and grant.term >= record.term:
            return False
        if record.term < observed or not record.attempt:
            return False
        if record.proxy == self._cfg.name:
            # This proxy makes one change at a time, so its recorded one has
            # ended.
            return False
        now = time.monotonic()
        last_record = self._seen_records.get(group)
        if last_record is None or last_record[0] != record.attempt:
            self._seen_records[group] = (record.attempt, now)
            return True
        return (
            now - last_record[1]
            < self._cfg.timing.takeover_ms * data.MILLISECOND
        )

    def _make_unplanned_change(
        self, served: service_lib.ServiceRuntime, reason: str
    ) -> change_lib.Result | None:
        found = change_lib.read_record(self._store, served.group.name)
        if not served.group.primary_failure():
            # Another proxy completed a change while this one read the record.
            return None
        change = self._win_term(served, reason, "", found)
        return change.run() if change is not None else None

    # Planned changes.

    def promote(self, group: str, target: str) -> change_lib.Result:
        """Makes a planned change for an operator.

        Args:
            group: The name of the database group.
            target: The endpoint to promote, "" for the best candidate.

        Returns:
            The result of the change.

        Raises:
            etcd_store.EtcdError: The store does not answer.
        """
        served = self._catalog.find(group)
        if served is None:
            return change_lib.NotPromoted(
                term=0, why=f"service {group!r} does not exist"
            )
        if target and served.group.endpoint(target) is None:
            return change_lib.NotPromoted(
                term=0,
                why=f"endpoint {target!r} does not exist in {group!r}",
            )
        with self._lock:
            if group in self._changing:
                return change_lib.NotPromoted(
                    term=0, why="another change is in progress"
                )
            self._changing.add(group)
        try:
            return self._make_planned_change(
                served, target=target, drain_s=DRAIN_TIMEOUT_S
            )
        finally:
            with self._lock:
                self._changing.discard(group)

    def _make_planned_change(
        self, served: service_lib.ServiceRuntime, *, target: str, drain_s: float
    ) -> change_lib.Result:
        group = served.group
        grant = group.grant()
        if grant is None:
            return self._log_failure(group.name, 0, "no primary holds a grant")
        if target == grant.primary:
            return change_lib.Promoted(term=grant.term, primary=target)
        attempt = f"{self._cfg.name}/{time.time_ns()}"
        started = time.monotonic()
        try:
            if not self._drain(group, attempt, started + drain_s):
                return self._log_failure(
                    group.name, 0, "writes did not end in time"
                )
            waited = time.monotonic() - started
            self._timeline.add(
                events.ChangeDrained(
                    group=group.name,
                    term=grant.term,
                    waited_ms=int(waited / data.MILLISECOND),
                )
            )
            found = change_lib.read_record(self._store, group.name)
            change = self._win_term(served, "planned", target, found)
            if change is None:
                return self._log_failure(
                    group.name, 0, "another proxy's attempt won the term first"
                )
            result = change.run()
            self._wait_for_term(group, result)
            return result
        finally:
            self._peers.announce_hold(group.name, "")
            group.release_writes(attempt)

    def _drain(self, group, attempt: str, deadline: float) -> bool:
        self._peers.announce_hold(group.name, attempt)
        while time.monotonic() < deadline:
            group.hold_writes(attempt)
            if group.hold_attempt() != attempt:
                return False
            drained = group.drained()
            if drained and peer_views.all_drained(
                self._heartbeats(), group.name, attempt
            ):
                return True
            if self._tasks.stop.wait(CHECK_S):
                return False
        return False

    def _wait_for_term(self, group, result: change_lib.Result) -> None:
        """Waits until all proxies know the new primary.

        The writes are released only after that.
        """
        if isinstance(result, change_lib.NotPromoted):
            return
        deadline = time.monotonic() + TERM_SPREAD_TIMEOUT_S
        group.wait_grant(result.primary, result.term, deadline)
        while time.monotonic() < deadline:
            if peer_views.all_reached_term(
                self._heartbeats(), group.name, result.term
            ):
                return
            self._tasks.stop.wait(CHECK_S)

    # Replication sources.

    def _repoint_replicas(self, served: service_lib.ServiceRuntime) -> None:
        """Orders endpoints that follow another endpoint to follow the primary.

        Only the proxy of rank 0 sends the orders.
        """
        group = served.group
        grant = group.grant()
        if grant is None or self._peers.rank(group.name) != 0:
            return
        for observation in group.observations():
            status = observation.status
            if (
                observation.endpoint == grant.primary
                or status.term > grant.term
            ):
                continue
            if status.following == grant.primary and (
                status.role is data.Role.REPLICA
            ):
                continue
            now = time.monotonic()
            if (
                now - self._follow_ordered_at.get(observation.endpoint, 0.0)
                < FOLLOW_RETRY_S
            ):
                continue
            self._follow_ordered_at[observation.endpoint] = now
            self._tasks.spawn(
                f"follow {observation.endpoint}",
                lambda name=observation.endpoint: self._follow(
                    served, name, grant
                ),
            )

    def _follow(
        self,
        served: service_lib.ServiceRuntime,
        name: str,
        grant: grant_lib.Grant,
    ) -> None:
        try:
            served.call_control(
                name,
                lambda conn: control.follow(conn, grant.primary, grant.term),
            )
        except client.ClientError:
            return
        self._timeline.add(
            events.FollowOrdered(
                group=grant.group,
                term=grant.term,
                endpoint=name,
                primary=grant.primary,
            )
        )
