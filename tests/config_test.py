"""System tests of the configuration: what was accepted stays in force."""

import dataclasses
import json
import pathlib
import threading
import time

import pytest

from bronzehold.core import data
from bronzehold.core import events
from bronzehold.process import catalog as catalog_lib
from bronzehold.process import etcd_store
from bronzehold.tools import local
from bronzehold.tools import operators
from bronzehold.version import config
from tests import helpers

IN_FORCE_BOUND_S = 10.0
SHAPE = local.Shape(proxies=3)
HEADER = "service,endpoint,host,port,zone,connections,slots,max_age_ms"


def operator_settings(deployment) -> operators.OperatorSettings:
    """Returns settings for operator commands on a deployment."""
    return operators.OperatorSettings(
        platform=f"{local.HOST}:{deployment.platform.port}",
        zones={"zone-1": "region-1"},
    )


def write_sheet(
    folder, deployment, max_age: int, name: str = "sheet.csv"
) -> str:
    """Writes a configuration sheet of a deployment and returns its path."""
    rows = [
        f"mail,{ep.name},{ep.host},{ep.port},{ep.zone},16,2,{max_age}"
        for ep in deployment.services[0].endpoints
    ]
    path = folder / name
    path.write_text("\n".join([HEADER, *rows]) + "\n")
    return str(path)


def discard_line(_line: str):
    return None


def wait_for(check):
    """Waits for a condition within IN_FORCE_BOUND_S."""
    helpers.wait_for(check, IN_FORCE_BOUND_S)


def in_force(deployment, revision: int):
    """Returns a condition: all proxies have adopted a revision."""
    return lambda: all(
        p.catalog.revision >= revision for p in deployment.proxies
    )


def test_only_one_of_several_racing_operators_succeeds(tmp_path):
    """Guards against overwriting the configuration of another operator.

    Four operators apply at once on a slow platform; one succeeds and the others
    must be told that they lost the race.
    """
    with local.running(SHAPE) as deployment:
        results = []

        def apply(number: int):
            path = write_sheet(
                tmp_path, deployment, 100 + number, f"{number}.csv"
            )
            results.append(
                operators.apply(
                    operator_settings(deployment), path, discard_line
                )
            )

        deployment.platform.store.change(slow_s=0.2)
        threads = [threading.Thread(target=apply, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        kinds = [type(r) for r in results]
        assert kinds.count(operators.InForce) == 1
        assert kinds.count(operators.Conflict) == 3


def test_lost_answer_of_apply_is_resolved(tmp_path):
    """Guards against reporting an applied configuration as failed.

    The platform stores the document, but its answer is lost.
    """
    with local.running(SHAPE) as deployment:
        deployment.platform.store.change(lose_answers=1)
        path = write_sheet(tmp_path, deployment, 50)
        result = operators.apply(
            operator_settings(deployment), path, discard_line
        )
        assert isinstance(result, operators.InForce), result
        assert result.revision == 2


def test_own_change_is_found_beneath_a_later_one():
    """Guards against reporting a change that was stored as a lost race.

    After a lost answer, an operator may find the document of a later writer,
    which contains the id of the operator's own change.
    """
    old = config.successor(config.EMPTY, author="a", services=())
    ours = config.successor(old, author="b", services=())
    later = config.successor(ours, author="c", services=())
    assert config.contains(later, ours.change_id)
    assert not config.contains(later, "other")


def test_proxy_without_the_platform_adopts_the_document_of_a_peer():
    """Guards against an outdated proxy when its platform connection fails."""
    with local.running(SHAPE) as deployment:
        isolated = deployment.proxies[2]
        isolated.store.close()
        time.sleep(0.3)
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))
        sources = [
            e.event.source
            for e in isolated.timeline.entries_after(0)
            if isinstance(e.event, events.ConfigAdopted)
        ]
        assert sources[-1].startswith("peer")


def test_proxy_without_platform_and_peers_stays_outdated():
    """Shows that the document comes from peers if the platform is cut.

    With the exchange between proxies blocked too, the disconnected proxy keeps
    its old revision.
    """
    with local.running(SHAPE) as deployment:
        isolated = deployment.proxies[2]
        for proxy in deployment.proxies:
            proxy.peers.blocked |= {p.cfg.name for p in deployment.proxies}
        isolated.store.close()
        time.sleep(0.3)
        revision = deployment.configure(tuple(deployment.services))
        time.sleep(3.0)
        assert not in_force(deployment, revision)()


def test_proxy_started_in_an_outage_is_configured_by_its_seeds():
    """Guards against a proxy that can't start while the platform is down.

    The new proxy gets the document and a grant through its seed.
    """
    with local.running(SHAPE) as deployment:
        deployment.platform.store.change(absent=True)
        seed = deployment.proxies[0].peers.address
        for proxy in deployment.proxies[1:]:
            proxy.close()
        late_proxy = deployment.add_proxy(seeds=(seed,))
        wait_for(lambda: late_proxy.catalog.revision == 1)
        service = late_proxy.catalog.find("mail")
        wait_for(lambda: service.group.grant() is not None)


def test_configuration_is_adopted_from_a_slow_platform():
    """Guards against timeouts on a platform that answers after 0.8 s."""
    with local.running(SHAPE) as deployment:
        deployment.platform.store.change(slow_s=0.8)
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))


def test_missed_watch_events_are_recovered_by_rereading():
    """Guards against an outdated proxy when the watch delivers no events.

    The proxy must find the new revision when it rereads the key.
    """
    timing = dataclasses.replace(SHAPE.timing, reread_s=1)
    shape = dataclasses.replace(SHAPE, timing=timing, proxies=1)
    with local.running(shape) as deployment:
        deployment.platform.store.events_after = lambda revision, _req: (
            time.sleep(0.1) or ([], revision)
        )
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))


def test_older_document_is_not_adopted_after_a_newer():
    """Guards against reverting the configuration to an older revision.

    An old document arrives late from the platform or from a peer.
    """
    with local.running(SHAPE) as deployment:
        proxy = deployment.proxies[0]
        old = proxy.catalog.encoded
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))
        for source in ("platform", "peer proxy-1"):
            proxy.catalog.adopt(old, source)
            assert proxy.catalog.revision == revision


def test_adopting_any_document_reverts_the_revision(monkeypatch):
    """Shows that the comparison of revisions prevents the reversal.

    Without it, a late old document replaces the newer one.
    """

    def adopt_any(self, text, source):
        self.document = config.decode(text, source)

    with local.running(dataclasses.replace(SHAPE, proxies=1)) as deployment:
        proxy = deployment.proxies[0]
        old = proxy.catalog.encoded
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))
        monkeypatch.setattr(catalog_lib.Catalog, "adopt", adopt_any)
        proxy.catalog.adopt(old, "platform")
        assert proxy.catalog.revision < revision


def test_configuration_of_840_services_is_stored_and_read_back():
    """Guards against a limit below the size of a large configuration.

    The document of 840 services with three endpoints each has more than 400,000
    bytes and must fit in MAX_DOCUMENT_BYTES, about one megabyte.
    """
    services = tuple(
        data.Service(
            name=f"service-{i:04}",
            endpoints=tuple(
                data.Endpoint(
                    name=f"service-{i:04}-endpoint-{j}",
                    host="127.0.0.1",
                    port=1 + j,
                    zone="zone-1",
                    region="region-1",
                    connections=16,
                    slots=2,
                )
                for j in range(3)
            ),
        )
        for i in range(840)
    )
    new = config.successor(config.EMPTY, author="x", services=services)
    text = config.encode(new)
    assert 400_000 < len(text) < operators.MAX_DOCUMENT_BYTES
    store = local.Deployment(shape=local.Shape(proxies=0))
    try:
        store.platform.start()
        found = store.store.get(etcd_store.CONFIG_KEY)
        assert isinstance(
            store.store.compare_and_swap(found, text), etcd_store.Swapped
        )
        stored = store.store.get(etcd_store.CONFIG_KEY)
        assert config.decode(stored.value, "platform") == new
    finally:
        store.close()


def test_apply_reports_the_proxies_that_lag(tmp_path):
    """Guards against reporting a configuration as in force too early.

    One proxy doesn't adopt it; the operator must get its name.
    """
    with local.running(SHAPE) as deployment:
        lagging_proxy = deployment.proxies[1]
        lagging_proxy.catalog.adopt = lambda *_args: None
        cfg = dataclasses.replace(operator_settings(deployment), in_force_s=1.0)
        path = write_sheet(tmp_path, deployment, 50)
        result = operators.apply(cfg, path, discard_line)
        assert result == operators.NotInForce(
            revision=2, lagging=(lagging_proxy.cfg.name,)
        )


def test_apply_reports_an_unavailable_platform(tmp_path):
    """Guards against an unclear result when the platform is unavailable."""
    with local.running(SHAPE) as deployment:
        deployment.platform.store.change(absent=True)
        path = write_sheet(tmp_path, deployment, 50)
        result = operators.apply(
            operator_settings(deployment), path, discard_line
        )
        assert isinstance(result, operators.PlatformUnavailable)


def test_change_of_two_endpoints_of_a_group_at_once_is_refused(tmp_path):
    """Guards against replacing a majority of a group in one change."""
    with local.running(SHAPE) as deployment:
        path = write_sheet(tmp_path, deployment, 50)
        lines = pathlib.Path(path).read_text().replace("mail-1", "new-1")
        lines = lines.replace("mail-2", "new-2")
        (tmp_path / "two.csv").write_text(lines)
        result = operators.apply(
            operator_settings(deployment),
            str(tmp_path / "two.csv"),
            discard_line,
        )
        assert isinstance(result, operators.Rejected)


def test_invalid_documents_are_not_adopted():
    """Guards against adopting invalid content of the configuration key."""
    with local.running(SHAPE) as deployment:
        proxy = deployment.proxies[0]
        for text in (b"{", b"[]", json.dumps({"revision": 9}).encode()):
            proxy.catalog.adopt(text, "platform")
        assert proxy.catalog.revision == 1


@pytest.mark.parametrize("survivor", [0])
def test_proxies_restarted_in_an_outage_are_configured_by_the_survivor(
    survivor,
):
    """Guards against losing the configuration in a restart during an outage.

    All proxies but one stop while the platform is down, and new ones start with
    the remaining proxy as their seed.
    """
    with local.running(SHAPE) as deployment:
        revision = deployment.configure(tuple(deployment.services))
        wait_for(in_force(deployment, revision))
        deployment.platform.store.change(absent=True)
        remaining = deployment.proxies[survivor]
        for proxy in list(deployment.proxies):
            if proxy is not remaining:
                proxy.close()
        deployment.proxies[:] = [remaining]
        for _ in range(2):
            deployment.add_proxy(
                name=f"again-{len(deployment.proxies)}",
                seeds=(remaining.peers.address,),
            )
        wait_for(in_force(deployment, revision))
