"""System tests of promotions: a replaced primary acknowledges no write."""

import dataclasses
import threading
import time

import psycopg
import pytest

from bronzehold.connection import executor as executor_lib
from bronzehold.core import data
from bronzehold.core import events
from bronzehold.process import etcd_store
from bronzehold.process import group as group_lib
from bronzehold.tools import history
from bronzehold.tools import local
from bronzehold.tools import workload
from bronzehold.version import change as change_lib
from tests import helpers

MAX_WRITE_GAP_S = 6.0
SHAPE = local.Shape(proxies=3)


def highest_term(deployment) -> int:
    """Returns the highest term that any endpoint has seen."""
    return max(s.endpoint.term for s in deployment.servers.values())


def primary_replaced(deployment, old: str):
    """Returns a condition: another endpoint leads and wrote in a later term."""

    def is_replaced():
        current = deployment.primary("mail")
        return (
            current != old and deployment.servers[current].endpoint.log_term > 1
        )

    return is_replaced


def kill(deployment, victim):
    """Kills an endpoint."""
    victim.kill()


def freeze(deployment, victim):
    """Stops an endpoint from answering until the fault ends."""
    victim.endpoint.faults.change(frozen=True)


def cut_from_proxies(deployment, victim):
    """Blocks the messages of all proxies to an endpoint."""
    names = frozenset(p.cfg.name for p in deployment.proxies)
    victim.endpoint.faults.change(cut_in=names)


def cut_answers_to_proxies(deployment, victim):
    """Blocks the answers of an endpoint to all proxies."""
    names = frozenset(p.cfg.name for p in deployment.proxies)
    victim.endpoint.faults.change(cut_out=names)


def cut_from_replicas(deployment, victim):
    """Blocks the messages of the other endpoints to an endpoint."""
    names = frozenset(deployment.servers) - {victim.endpoint.settings.name}
    victim.endpoint.faults.change(cut_in=names)


def cut_from_all(deployment, victim):
    """Blocks all messages to an endpoint."""
    victim.endpoint.faults.change(cut_in=frozenset("*"))


@pytest.mark.parametrize(
    ("fault", "transactions"),
    [
        (kill, False),
        (kill, True),
        (freeze, False),
        (freeze, True),
        (cut_from_proxies, False),
        (cut_answers_to_proxies, False),
        (cut_from_replicas, False),
        (cut_from_all, True),
    ],
)
def test_replaced_primary(fault, transactions):
    """Guards against lost or duplicate writes when a primary is replaced.

    The primary is killed, frozen or cut from proxies, replicas or both under
    load, and becomes reachable again after its replacement. Writes may be
    interrupted for MAX_WRITE_GAP_S at most, and a primary that survives must
    catch up as a replica.
    """
    with local.running(SHAPE) as deployment:
        fault_times = []

        def during(_work):
            time.sleep(1.0)
            victim = deployment.servers["mail-0"]
            fault_times.append(time.monotonic())
            fault(deployment, victim)
            helpers.wait_for(primary_replaced(deployment, "mail-0"))
            time.sleep(1.5)
            victim.endpoint.faults.change(
                frozen=False, cut_in=frozenset(), cut_out=frozenset()
            )
            time.sleep(1.5)

        plan = workload.Plan(urls=deployment.urls(), transactions=transactions)
        operations, violations = workload.run(plan, during)
        assert violations == []
        gap = history.longest_gap(operations, fault_times[0])
        assert gap is not None and gap < MAX_WRITE_GAP_S
        if fault is not kill:
            helpers.wait_for(lambda: _has_caught_up(deployment, "mail-0"))


def _has_caught_up(deployment, name: str) -> bool:
    """Returns whether an endpoint has received the log of the primary."""
    endpoint = deployment.servers[name].endpoint
    primary = deployment.servers[deployment.primary("mail")].endpoint
    return endpoint.storage.received == primary.storage.received


def test_primary_unreachable_from_one_proxy_is_not_replaced():
    """Guards against replacing a primary for the fault of a single proxy.

    Only the connection of one proxy to the primary is cut; the others still
    reach it.
    """
    with local.running(SHAPE) as deployment:
        deployment.servers["mail-0"].endpoint.faults.change(
            cut_in=frozenset({"proxy-0"})
        )
        time.sleep(3.0)
        assert deployment.primary("mail") == "mail-0"
        assert highest_term(deployment) == 1
        with psycopg.connect(deployment.url(1), autocommit=True) as conn:
            conn.execute("CREATE TABLE t (id INT)")


def _write_across_replacement(monkeypatch) -> tuple[str, int]:
    """Freezes a primary during a write, replaces it and unfreezes it.

    Returns:
        The outcome of the write, and the number of its rows in the end.
    """
    # A proxy normally stops waiting for a silent endpoint. This disables the
    # check, so that the late answer arrives.
    monkeypatch.setattr(
        executor_lib.Executor,
        "_make_abort_check",
        lambda _self, _place: lambda: "",
    )
    service = dataclasses.replace(SHAPE.service, ack=data.Ack.PRIMARY)
    shape = dataclasses.replace(SHAPE, service=service)
    outcomes = []

    def write(conn):
        try:
            conn.execute("INSERT INTO t VALUES (1)")
            outcomes.append("done")
        except psycopg.Error as exc:
            outcomes.append(exc.sqlstate)

    with local.running(shape) as deployment:
        conn = psycopg.connect(deployment.url(0), autocommit=True)
        conn.execute("CREATE TABLE t (id INT)")
        time.sleep(0.5)
        victim = deployment.servers["mail-0"].endpoint
        # The write has reached the endpoint before it freezes. The commands of
        # the other proxies reach it only after its answer has been sent.
        others = {p.cfg.name for p in deployment.proxies[1:]}
        victim.faults.change(frozen=True)
        thread = threading.Thread(target=write, args=(conn,))
        thread.start()
        helpers.wait_for(primary_replaced(deployment, "mail-0"))
        victim.faults.change(cut_in=frozenset(others))
        victim.faults.change(frozen=False)
        thread.join(10)
        conn.close()
        victim.faults.change(cut_in=frozenset())
        with psycopg.connect(deployment.url(1), autocommit=True) as other:
            other.execute("SET bronzehold.max_age = 0")
            rows = other.execute("SELECT id FROM t").fetchall()
    return outcomes[0], len(rows)


def test_late_answer_of_a_replaced_primary_is_not_acknowledged(monkeypatch):
    """Guards against acknowledging a write that a promotion discards.

    A frozen primary answers after its replacement. Its grant has expired by
    then, so the proxy must not report the write as done.
    """
    outcome, row_count = _write_across_replacement(monkeypatch)
    assert outcome in ("08007", "25006")
    assert row_count == 0


def test_without_grants_the_late_answer_is_acknowledged(monkeypatch):
    """Shows that the check of the grant prevents the false acknowledgement.

    With every grant taken as valid, the late answer is reported as done
    although the row is lost.
    """
    monkeypatch.setattr(
        group_lib.Group, "wait_grant", lambda *_args, **_kwargs: True
    )
    outcome, row_count = _write_across_replacement(monkeypatch)
    assert (outcome, row_count) == ("done", 0)


class _SimulatedCrash(BaseException):
    """The proxy that runs the promotion crashes at this step."""


def _run_promotions(deployment, prepare, stopped, finish):
    """Kills the primary under load and returns the violations of the history.

    Args:
        deployment: The deployment.
        prepare: Changes each promotion before it runs.
        stopped: The event that a promotion has stopped at the chosen step.
        finish: Is called under load once another promotion has replaced the
            primary.
    """
    for proxy in deployment.proxies:
        proxy.failover.prepare = prepare

    def during(_work):
        time.sleep(0.5)
        deployment.servers["mail-0"].kill()
        helpers.wait_for(stopped.is_set)
        helpers.wait_for(primary_replaced(deployment, "mail-0"), 15)
        finish()

    _, violations = workload.run(workload.Plan(urls=deployment.urls()), during)
    return violations


PROMOTION_STEPS = ("fence", "wait_for_old_grants", "choose_primary", "promote")


@pytest.mark.parametrize("step", PROMOTION_STEPS)
def test_promotion_is_completed_when_its_proxy_crashes(step):
    """Guards against a group without a primary after a proxy crash.

    The proxy that runs the promotion crashes at one of its steps. Another proxy
    must replace the primary, without a violation of the history.
    """
    with local.running(SHAPE) as deployment:
        crashed = threading.Event()

        def prepare(change):
            if crashed.is_set():
                return change

            def crash(*_args):
                crashed.set()
                raise _SimulatedCrash

            setattr(change, step, crash)
            return change

        def finish():
            time.sleep(1.0)

        assert _run_promotions(deployment, prepare, crashed, finish) == []


@pytest.mark.parametrize(
    "step", ["wait_for_old_grants", "choose_primary", "promote"]
)
def test_promotion_resumed_after_a_newer_one_breaks_no_guarantee(step):
    """Guards against a second primary after a promotion resumes.

    A promotion freezes at one of its steps, another proxy promotes a replica in
    the meantime, and then the first promotion continues with its older term.
    """
    with local.running(SHAPE) as deployment:
        frozen, thaw = threading.Event(), threading.Event()

        def prepare(change):
            if frozen.is_set():
                return change
            real = getattr(change, step)

            def pause(*args):
                frozen.set()
                thaw.wait(20)
                return real(*args)

            setattr(change, step, pause)
            return change

        def finish():
            time.sleep(0.5)
            thaw.set()
            time.sleep(2.0)

        assert _run_promotions(deployment, prepare, frozen, finish) == []


def _make_change(deployment, proxy, target: str = "") -> change_lib.Change:
    """Returns a promotion of the first group by a proxy, not started yet."""
    service_cfg = deployment.services[0]
    attempt = change_lib.Attempt(
        group="mail",
        endpoints=service_cfg.endpoints,
        observed_term=1,
        primary="mail-0",
        target=target,
        grant_s=1.0,
        proxy=proxy.cfg.name,
        why="test",
    )
    service = proxy.catalog.find("mail")
    return change_lib.Change(
        attempt=attempt,
        store=proxy.store,
        call=service.call_control,
        timeline=proxy.timeline,
    )


def test_only_one_of_two_racing_proxies_claims_the_term():
    """Guards against two promotions with the same term.

    Two proxies read the same group record and claim its next term.
    """
    with local.running(SHAPE) as deployment:
        changes = [_make_change(deployment, p) for p in deployment.proxies[:2]]
        found = change_lib.read_record(deployment.store, "mail")
        claimed = [change.claim_term(found) for change in changes]
        assert claimed == [True, False]


def test_lost_answer_of_a_term_claim_is_resolved_by_reading():
    """Guards against giving up a term that was claimed.

    The platform stores the claim, but its answer is lost; the proxy must read
    the record back.
    """
    with local.running(SHAPE) as deployment:
        change = _make_change(deployment, deployment.proxies[0])
        found = change_lib.read_record(deployment.store, "mail")
        deployment.platform.store.change(lose_answers=1)
        assert change.claim_term(found)
        record = change_lib.parse_record(
            change_lib.read_record(deployment.store, "mail")
        )
        assert (record.term, record.attempt) == (change.term, change.id)


def test_promote_is_repeated_on_the_same_endpoint_after_a_lost_answer():
    """Guards against two primaries in one term.

    The answer to the first promote command is lost. The proxy must repeat it on
    the same endpoint and not choose another.
    """
    with local.running(SHAPE) as deployment:
        change = _make_change(deployment, deployment.proxies[0], "mail-1")
        assert change.claim_term(
            change_lib.read_record(deployment.store, "mail")
        )
        change.wait_for_old_grants(change.fence())
        chosen = change.choose_primary()
        calls = []
        real = change._call

        def lose_first(ep, call):
            calls.append(ep.name)
            answer = real(ep, call)
            return (ep.name, None) if len(calls) == 1 else answer

        change._call = lose_first
        assert change.promote(chosen) == chosen.name
        assert set(calls[:2]) == {chosen.name}
        primaries = [
            name
            for name, server in deployment.servers.items()
            if server.endpoint.role is data.Role.PRIMARY
            and server.endpoint.log_term == change.term
        ]
        assert primaries == [chosen.name]


def test_promotion_of_an_older_term_is_refused():
    """Guards against promoting a replica after a newer term has begun.

    A second proxy fences the group with its newer term before the first proxy
    sends its promote command.
    """
    with local.running(SHAPE) as deployment:
        first = _make_change(deployment, deployment.proxies[0])
        assert first.claim_term(
            change_lib.read_record(deployment.store, "mail")
        )
        first.wait_for_old_grants(first.fence())
        chosen = first.choose_primary()
        second = _make_change(deployment, deployment.proxies[1])
        assert second.claim_term(
            change_lib.read_record(deployment.store, "mail")
        )
        second.fence()
        server = deployment.servers[chosen.name]
        helpers.wait_for(lambda: server.endpoint.term == second.term)
        with pytest.raises(change_lib._StepFailedError):
            first.promote(chosen)


def test_promotion_waits_until_the_platform_is_available():
    """Guards against a promotion without a claimed term.

    The platform is unavailable when the primary is killed; the promotion must
    wait and then complete.
    """
    with local.running(SHAPE) as deployment:

        def during(_work):
            deployment.platform.store.change(absent=True)
            time.sleep(0.5)
            deployment.servers["mail-0"].kill()
            time.sleep(3.0)
            assert deployment.primary("mail") == "mail-0"
            deployment.platform.store.change(absent=False)
            helpers.wait_for(primary_replaced(deployment, "mail-0"), 10)
            time.sleep(1.0)

        operations, violations = workload.run(
            workload.Plan(urls=deployment.urls()), during
        )
        assert violations == []
        assert history.longest_gap(operations, 0) < 10


@pytest.mark.parametrize("step", ["fence", "wait_for_old_grants", "promote"])
def test_promotion_with_a_claimed_term_needs_no_platform(step):
    """Guards against a promotion that stops when the platform fails.

    The platform becomes unavailable at a step after the term was claimed.
    """
    with local.running(SHAPE) as deployment:

        def prepare(change):
            real = getattr(change, step)

            def make_platform_absent(*args):
                deployment.platform.store.change(absent=True)
                return real(*args)

            setattr(change, step, make_platform_absent)
            return change

        for proxy in deployment.proxies:
            proxy.failover.prepare = prepare

        def during(_work):
            time.sleep(0.5)
            deployment.servers["mail-0"].kill()
            helpers.wait_for(primary_replaced(deployment, "mail-0"))
            time.sleep(1.0)

        _, violations = workload.run(
            workload.Plan(urls=deployment.urls()), during
        )
        assert violations == []


def test_replica_killed_during_its_promotion_is_replaced():
    """Guards against a group that stays without a primary.

    The replica that was chosen dies just before its promotion, so that a second
    promotion is needed.
    """
    shape = dataclasses.replace(SHAPE, endpoints=5)
    with local.running(shape) as deployment:

        def prepare(change):
            real = change.promote

            def kill_chosen(chosen):
                deployment.servers[chosen.name].kill()
                deployment.proxies[0].failover.prepare = lambda c: c
                return real(chosen)

            change.promote = kill_chosen
            return change

        deployment.proxies[0].failover.prepare = prepare

        def during(_work):
            time.sleep(0.5)
            deployment.servers["mail-0"].kill()
            time.sleep(12.0)

        operations, violations = workload.run(
            workload.Plan(urls=deployment.urls()), during
        )
        assert violations == []
        assert history.longest_gap(operations, 0) < 2 * MAX_WRITE_GAP_S


def test_divergent_log_entries_are_discarded_and_counted():
    """Guards against silently losing entries that only the old primary had.

    The primary writes five rows while it is cut from its replicas. After its
    replacement it must discard and count them, and the session that wrote them
    must get an error, not an older read.
    """
    service = dataclasses.replace(SHAPE.service, ack=data.Ack.PRIMARY)
    shape = dataclasses.replace(SHAPE, service=service)
    with local.running(shape) as deployment:
        with psycopg.connect(deployment.url(0), autocommit=True) as conn:
            conn.execute("CREATE TABLE t (id INT)")
            time.sleep(0.5)
            cut_from_replicas(deployment, deployment.servers["mail-0"])
            time.sleep(0.3)
            for i in range(5):
                conn.execute(f"INSERT INTO t VALUES ({i})")
            cut_from_all(deployment, deployment.servers["mail-0"])
            helpers.wait_for(primary_replaced(deployment, "mail-0"))
            deployment.servers["mail-0"].endpoint.faults.change(
                cut_in=frozenset()
            )
            victim = deployment.servers["mail-0"].endpoint
            helpers.wait_for(lambda: victim.discarded_entries == 5)
            helpers.wait_for(lambda: _has_caught_up(deployment, "mail-0"))

            def discard_is_recorded():
                return any(
                    isinstance(e.event, events.EntriesDiscarded)
                    and e.event.entries == 5
                    for p in deployment.proxies
                    for e in p.timeline.entries_after(0)
                )

            helpers.wait_for(discard_is_recorded)
            # The session that wrote them gets an error, not an older read.
            with pytest.raises(psycopg.Error, match="was lost") as caught:
                conn.execute("SELECT count(*) FROM t")
            assert caught.value.sqlstate == "72000"


def test_planned_promotion_fails_no_request():
    """Guards against failed requests during planned promotions.

    Each endpoint becomes the primary in turn under load.
    """
    with local.running(SHAPE) as deployment:

        def during(_work):
            time.sleep(0.5)
            for target in ("mail-1", "mail-2", "mail-0"):
                result = deployment.proxies[0].failover.promote("mail", target)
                assert isinstance(result, change_lib.Promoted), result
                assert result.primary == target
                time.sleep(0.5)

        operations, violations = workload.run(
            workload.Plan(urls=deployment.urls()), during
        )
        assert violations == []
        writes = [op for op in operations if isinstance(op, history.Write)]
        outcomes = {op.outcome for op in writes}
        assert outcomes == {history.Outcome.DONE}
        assert history.longest_gap(operations, 0) < MAX_WRITE_GAP_S


def test_missing_group_record_is_parsed_as_the_default():
    """Guards against a failure to parse a record that isn't stored yet."""
    found = etcd_store.VersionedValue(key="k", value=b"", revision=0)
    assert change_lib.parse_record(found) == change_lib.Record()


def test_outdated_suspicion_does_not_replace_a_working_primary():
    """Guards against an unplanned promotion while the primary works.

    A proxy acts on a suspicion that no longer holds.
    """
    with local.running(SHAPE) as deployment:
        proxy = deployment.proxies[1]
        service = proxy.catalog.find("mail")
        assert (
            proxy.failover._make_unplanned_change(service, group_lib.SILENT)
            is None
        )
        assert highest_term(deployment) == 1
