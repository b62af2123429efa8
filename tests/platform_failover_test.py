"""System tests of failover on the platform path."""

import threading
import time

import pytest

from bronzehold.core import ports
from bronzehold.platform import local as platform_local
from tests import helpers

# One second, and the 0.1 s that the platform itself takes in these tests.
MAX_WRITE_GAP_S = 1.0 + 0.1


@pytest.fixture(name="deployment")
def _deployment():
    """Runs a deployment for each test, once a proxy holds the token."""
    with platform_local.running() as running:
        helpers.wait_for(lambda: token_holder(running) is not None)
        yield running


def token_holder(deployment):
    """Returns the proxy that holds the promotion token, or None."""
    for proxy in deployment.proxies:
        if proxy.tokens.holds(platform_local.SERVICE):
            return proxy
    return None


class Writer(threading.Thread):
    """Writes increasing numbers and records the outcome of each.

    Attributes:
        acknowledged: The acknowledged numbers and their times in seconds.
        not_run: The numbers whose errors say that they were not run.
        unknown: The numbers with any other error.
    """

    def __init__(self, deployment, proxy: int = 0, name: str = "n"):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.proxy = proxy
        self.item_prefix = name
        self.stopped = threading.Event()
        self.acknowledged: list[tuple[int, float]] = []
        self.not_run: list[int] = []
        self.unknown: list[int] = []
        self.start()

    def run(self) -> None:
        session = self.deployment.connect("latest", self.proxy)
        number = 0
        while not self.stopped.wait(0.005):
            number += 1
            answer = session.execute(
                f"WRITE {self.item_prefix}{number} {number}"
            )
            code = answer[0].split(" ")[1]
            if answer[0].startswith("COMPLETE"):
                self.acknowledged.append((number, time.monotonic()))
            elif code in ("BUSY", "READONLY", "ABORTED"):
                self.not_run.append(number)
            else:
                self.unknown.append(number)

    def stop(self) -> None:
        self.stopped.set()
        self.join(5.0)

    def gap(self) -> float:
        """Returns the longest time between acknowledged writes, in seconds."""
        times = [at for _, at in self.acknowledged]
        pairs = zip(times, times[1:], strict=False)
        return max(later - one for one, later in pairs)


def written_values(deployment) -> list[int]:
    """Returns the numbers in the log of the primary."""
    log = deployment.group.primary().log
    return [int(v) for e in log for _, v in e.writes]


def check_writes(deployment, writer: Writer) -> None:
    """Checks that no write is there twice or despite a not-run error."""
    found = written_values(deployment)
    assert len(found) == len(set(found))
    assert not set(writer.not_run) & set(found)


def test_a_killed_primary_is_replaced_within_a_second(deployment):
    """Guards against a slow failover, and wrong outcomes during it."""
    writer = Writer(deployment)
    time.sleep(0.5)
    deployment.group.primary().kill()
    time.sleep(2.0)
    writer.stop()
    assert writer.gap() < MAX_WRITE_GAP_S
    check_writes(deployment, writer)
    assert len(deployment.store.promotion_orders) >= 1


def test_a_silent_primary_is_replaced(deployment):
    """Guards against keeping a primary that accepts but answers nothing."""
    writer = Writer(deployment)
    time.sleep(0.5)
    old = deployment.group.primary()
    old.faults.change(frozen=True)
    time.sleep(3.0)
    old.faults.change(frozen=False)
    time.sleep(0.5)
    writer.stop()
    assert deployment.group.primary() is not old
    check_writes(deployment, writer)
    assert writer.gap() < MAX_WRITE_GAP_S + 1.0


def test_a_working_primary_is_not_replaced(deployment):
    """Guards against needless failovers under normal load."""
    writer = Writer(deployment)
    time.sleep(3.0)
    writer.stop()
    assert not deployment.store.promotion_orders
    assert not (writer.not_run or writer.unknown)


def test_a_leaving_primary_is_replaced_without_losing_a_write(deployment):
    """Guards against failed or lost writes in a planned failover."""
    writer = Writer(deployment, proxy=1)
    time.sleep(0.5)
    old = deployment.group.primary()
    deployment.publish_listings(draining=frozenset({old.name}))
    helpers.wait_for(lambda: deployment.group.primary() is not old)
    time.sleep(0.5)
    writer.stop()
    assert not (writer.not_run or writer.unknown)
    found = set(written_values(deployment))
    assert {number for number, _ in writer.acknowledged} <= found


def test_a_primary_is_replaced_while_the_store_is_unavailable(deployment):
    """Guards against a failover that depends on the store.

    The store refuses all requests but the failover itself.
    """
    deployment.store.error_status = 503
    time.sleep(0.3)
    deployment.store.error_status = 0
    writer = Writer(deployment)
    time.sleep(0.3)
    store_server = deployment.store
    answer = store_server.handle_call
    store_server.handle_call = lambda method, path, *rest: (
        answer(method, path, *rest) if path == "/failover" else (503, {})
    )
    deployment.group.primary().kill()
    time.sleep(2.0)
    writer.stop()
    assert writer.gap() < MAX_WRITE_GAP_S
    check_writes(deployment, writer)


def test_an_unanswered_failover_is_resolved_by_reading_the_state(deployment):
    """Guards against a second failover to another endpoint.

    The first failover takes effect, but its answer is lost.
    """
    deployment.store.lose_promotion_answers = 1
    writer = Writer(deployment)
    time.sleep(0.3)
    deployment.group.primary().kill()
    time.sleep(2.5)
    writer.stop()
    assert {order[1] for order in deployment.store.promotion_orders} == {
        deployment.group.primary().name
    }
    check_writes(deployment, writer)


def test_an_unanswered_failover_is_fenced_by_a_later_token(deployment):
    """Guards against a delayed failover that takes effect later.

    The proxy must send a failover with a newer token, after which the platform
    refuses the older one.
    """
    proxy = token_holder(deployment)
    token = proxy.tokens.known(platform_local.SERVICE).number
    deployment.store.lose_promotion_answers = 1
    deployment.group.primary().kill()
    helpers.wait_for(
        lambda: (
            deployment.store._highest_tokens.get(platform_local.SERVICE, 0)
            > token
        )
    )
    # The fencing failover names the current primary, so it changes nothing.
    leader = deployment.group.primary().name
    assert deployment.store.promotion_orders[-1][1] == leader
    assert deployment.group.term == 2


def test_writes_continue_when_a_planned_failover_is_unanswered(deployment):
    """Guards against a long write pause when a planned failover is lost.

    The platform never answers the failover; the old primary must take writes
    again.
    """
    writer = Writer(deployment)
    time.sleep(0.3)
    answer = deployment.store.handle_call
    deployment.store.handle_call = lambda method, path, *rest: (
        (0, {}) if path == "/failover" else answer(method, path, *rest)
    )
    old = deployment.group.primary()
    deployment.publish_listings(draining=frozenset({old.name}))
    time.sleep(3.0)
    writer.stop()
    assert writer.gap() < 2.2
    check_writes(deployment, writer)


def test_another_proxy_acquires_the_token_of_a_stopped_holder(deployment):
    """Guards against a group without failover after its token holder stops."""
    first = token_holder(deployment)
    token = first.tokens.known(platform_local.SERVICE).number
    first.close()
    (other,) = [p for p in deployment.proxies if p is not first]
    helpers.wait_for(lambda: other.tokens.holds(platform_local.SERVICE))
    assert other.tokens.known(platform_local.SERVICE).number > token
    old = deployment.group.primary()
    old.kill()
    helpers.wait_for(lambda: deployment.group.primary() is not old)
    deployment.proxies.remove(first)


def test_a_superseded_token_is_not_used_again(deployment):
    """Guards against failovers with a token that a newer one supersedes."""
    proxy = token_holder(deployment)
    token = proxy.tokens.known(platform_local.SERVICE).number
    deployment.store._highest_tokens[platform_local.SERVICE] = token + 1
    deployment.group.primary().kill()
    time.sleep(1.5)
    used = [o[3] for o in deployment.store.promotion_orders]
    assert all(number > token for number in used)


def test_a_lost_answer_to_a_write_is_an_unknown_outcome(deployment):
    """Guards against a wrong outcome or a second run after a lost answer."""
    session = deployment.connect("own")
    session.rows("WRITE a 1")
    deployment.group.primary().faults.change(lose_answers=1)
    assert session.execute("WRITE a 2")[0].startswith("ERROR INDOUBT")
    # The session itself need not see a write that was not acknowledged.
    assert deployment.connect("latest").rows("READ a") == ["2"]
    assert [w for e in deployment.group.primary().log for w in e.writes] == [
        ("a", "1"),
        ("a", "2"),
    ]


def test_a_read_whose_answer_is_lost_runs_on_another_endpoint(deployment):
    """Guards against failing a read that can be repeated safely."""
    session = deployment.connect("bounded")
    for endpoint in deployment.group.endpoints.values():
        if not endpoint.is_primary:
            endpoint.faults.change(lose_answers=1)
    assert session.rows("READ a") == [""]


def test_an_unanswered_read_runs_on_another_endpoint_in_time(deployment):
    """Guards against a read that waits for its answer until the deadline.

    One replica drops a single answer, but goes on answering others.
    """
    # The endpoint answers other requests, so it isn't considered silent.
    busy = deployment.connect("bounded")
    stopped = threading.Event()

    def keep_busy() -> None:
        while not stopped.wait(0.02):
            busy.execute("READ other")

    thread = threading.Thread(target=keep_busy, daemon=True)
    thread.start()
    time.sleep(0.3)
    replicas = [
        e for e in deployment.group.endpoints.values() if not e.is_primary
    ]
    session = deployment.connect("bounded")
    for _ in range(5):
        for endpoint in replicas:
            endpoint.answers_to_drop = 0
        replicas[0].answers_to_drop = 1
        assert session.rows("READ a") == [""]
    stopped.set()
    thread.join(5.0)


def test_a_transaction_on_a_lost_primary_is_aborted(deployment):
    """Guards against a transaction that continues without its first writes."""
    session = deployment.connect("latest")
    session.rows("BEGIN")
    session.rows("WRITE lost 1")
    deployment.group.primary().drop_connections()
    answer = session.execute("WRITE lost 2")
    assert answer[0].startswith("ERROR ABORTED")
    assert answer[-1] == "READY E -"
    session.rows("ROLLBACK")
    assert session.rows("READ lost") == [""]


def test_reads_avoid_lagging_replicas(deployment):
    """Guards against reads that are older than their route allows.

    The replicas lag by 30 s.
    """
    for endpoint in deployment.group.endpoints.values():
        if not endpoint.is_primary:
            endpoint.faults.change(lag_s=30.0)
    writer = deployment.connect("latest")
    own = deployment.connect("own")
    bounded = deployment.connect("bounded")
    writer.rows("WRITE b 1")
    own.rows("WRITE c 2")
    assert own.rows("READ c") == ["2"]
    time.sleep(1.6)
    assert bounded.rows("READ b") == ["1"]


def test_a_silent_replica_delays_reads_only_briefly(deployment):
    """Guards against reads that wait for a silent replica each time.

    The first read may take 1.2 s, the next one 0.3 s.
    """
    session = deployment.connect("bounded")
    session.rows("READ a")
    for endpoint in deployment.group.endpoints.values():
        if not endpoint.is_primary:
            endpoint.faults.change(frozen=True)
    started = time.monotonic()
    assert session.rows("READ a") == [""]
    assert time.monotonic() - started < 1.2
    started = time.monotonic()
    assert session.rows("READ a") == [""]
    assert time.monotonic() - started < 0.3
    for endpoint in deployment.group.endpoints.values():
        endpoint.faults.change(frozen=False)


def test_a_planned_stop_interrupts_no_request(deployment):
    """Guards against requests that run but aren't answered in a stop."""
    outcomes = []
    stopped = threading.Event()

    def read_until_stopped() -> None:
        while not stopped.is_set():
            try:
                session = deployment.connect("own", proxy=0)
            except OSError:
                return
            _ask_until_closed(deployment, session, outcomes, stopped)

    threads = [
        threading.Thread(target=read_until_stopped, daemon=True)
        for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    deployment.proxies[0].drain()
    deployment.proxies[0]._listener.close()
    stopped.set()
    for thread in threads:
        thread.join(3.0)
    assert "cut" not in outcomes
    assert outcomes.count("ok") > 50


def _ask_until_closed(deployment, session, outcomes, stopped) -> None:
    """Sends reads until the connection closes and records the outcomes."""
    while not stopped.wait(0.01):
        try:
            name = session.send("READ a")
        except OSError:
            return
        try:
            session.read_answer()
            outcomes.append("ok")
        except (ports.TransportError, OSError):
            # A request that no endpoint ran may be repeated; one that ran
            # must have been answered.
            run = any(r.request_id == name for r in deployment.group.executed)
            outcomes.append("cut" if run else "closed")
            return
