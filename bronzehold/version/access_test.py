from bronzehold.core import routes
from bronzehold.version import access


def _route(*, public=False):
    return routes.Route(
        name="r",
        database="db",
        service="s",
        freshness=routes.Latest(),
        timeout_s=1.0,
        target_latency_s=0.3,
        priority=0,
        public=public,
    )


def _table(**fields):
    return routes.Table(
        version=1, routes={}, services={}, idle_transaction_s=3.0, **fields
    )


WORKSPACES = {"w": routes.Workspace(name="w", rate_per_s=None, burst=0)}
WITH_KEY = _table(workspaces=WORKSPACES, workspace_by_key={"k1": "w"})


def test_a_key_decides_the_workspace():
    granted = access.check(WITH_KEY, _route(), "k1")
    assert granted == access.Granted(workspace="w")


def test_an_unknown_or_missing_key_is_denied():
    for key in ("k2", "", "w", "K1", "k1 "):
        assert access.check(WITH_KEY, _route(), key) == access.Denied()


def test_a_public_route_needs_no_key():
    granted = access.check(WITH_KEY, _route(public=True), "k2")
    assert granted == access.Granted(workspace="")


def test_a_configuration_without_workspaces_needs_no_key():
    # Deployments that name no workspaces are served as before.
    granted = access.check(_table(), _route(), "anything")
    assert granted == access.Granted(workspace="")


def test_no_caller_is_let_in_if_all_workspaces_were_removed():
    # An empty list is not the same as a configuration without workspaces.
    empty = _table(workspaces={})
    assert access.check(empty, _route(), "k1") == access.Denied()


def test_keys_do_not_appear_in_the_text_of_a_table():
    # A configuration may end up in a log line.
    assert "k1" not in repr(WITH_KEY)
