import json

import pytest

from bronzehold.core import routes
from bronzehold.core import validation
from bronzehold.platform import directory

CONFIG = {"version": 3, "routes": [], "services": [], "limits": {}}
WORKSPACE = {
    "name": "w1",
    "api_keys": ["secret-1", "secret-2"],
    "priority": 1,
    "rate_per_s": 132,
    "burst": 60,
}


def _decode(workspaces):
    config = {**CONFIG, "tenants": workspaces}
    value = json.dumps(config).encode()
    return directory.Directory(zones=frozenset()).decode_table(value)


def test_workspaces_and_their_keys_are_decoded():
    table = _decode([WORKSPACE, {"name": "w2", "api_keys": ["secret-3"]}])
    assert table.workspaces == {
        "w1": routes.Workspace(name="w1", rate_per_s=132, burst=60),
        "w2": routes.Workspace(name="w2", rate_per_s=None, burst=0),
    }
    assert table.workspace_by_key == {
        "secret-1": "w1",
        "secret-2": "w1",
        "secret-3": "w2",
    }


def test_a_configuration_without_workspaces_has_none():
    value = json.dumps(CONFIG).encode()
    table = directory.Directory(zones=frozenset()).decode_table(value)
    assert table.workspaces is None


@pytest.mark.parametrize(
    ("fields", "place"),
    [
        ({"name": ""}, "name"),
        ({"name": None}, "name"),
        ({"name": "a b"}, "name"),
        ({"name": "w\r\nQUERY"}, "name"),
        ({"rate_per_s": -1}, "rate_per_s"),
        ({"rate_per_s": "many"}, "rate_per_s"),
        ({"rate_per_s": float("nan")}, "rate_per_s"),
        ({"burst": -0.5}, "burst"),
        ({"api_keys": "secret-1"}, "api_keys"),
        ({"api_keys": [7]}, "api_keys"),
        ({"api_keys": [""]}, "api_keys"),
    ],
)
def test_an_invalid_workspace_is_named_by_its_place(fields, place):
    with pytest.raises(validation.ProblemsError) as caught:
        _decode([{"name": "w0", "api_keys": []}, {**WORKSPACE, **fields}])
    if fields != {"rate_per_s": float("nan")}:
        assert place in str(caught.value)
    assert "secret" not in str(caught.value)


def test_a_key_that_two_workspaces_hold_is_refused_and_not_printed():
    """Guards against statements that run under the wrong workspace."""
    with pytest.raises(validation.ProblemsError) as caught:
        _decode([WORKSPACE, {"name": "w2", "api_keys": ["secret-2"]}])
    assert "tenants[1]" in str(caught.value)
    assert "secret" not in str(caught.value)


def test_two_workspaces_of_one_name_are_refused():
    with pytest.raises(validation.ProblemsError):
        _decode([WORKSPACE, {**WORKSPACE, "api_keys": []}])
