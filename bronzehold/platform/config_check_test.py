"""Tests of the check of a configuration and of the command check-routes."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from bronzehold.platform import config_check
from bronzehold.platform import config_diff
from bronzehold.tools import main

ROUTE = {
    "name": "orders",
    "database": "orders",
    "service": "grp",
    "type": "primary",
    "timeout_ms": 800,
    "target_latency_ms": 300,
    "priority": 0,
}
SERVICE = {"name": "grp", "max_connections": 46}
WORKSPACE = {
    "name": "acme",
    "api_keys": ["secret-1", "secret-2"],
    "rate_per_s": 50,
    "burst": 20,
}
CONFIG = {
    "version": 4,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"tx_idle_ms": 3000},
    "tenants": [WORKSPACE],
}


def _check(config: object) -> list[str]:
    return [
        ("error " if config_check.is_error(finding) else "warning ")
        + config_check.describe(finding)
        for finding in config_check.check(json.dumps(config).encode())
    ]


def test_good_configuration_has_no_findings():
    assert _check(CONFIG) == []
    assert _check({**CONFIG, "tenants": []}) == []
    without = {k: v for k, v in CONFIG.items() if k != "tenants"}
    assert _check(without) == []


def test_all_errors_are_reported_with_their_paths(snapshot):
    """Guards against a check that stops at the first error."""
    config = {
        "version": "4",
        "routes": [
            {},
            {**ROUTE, "timeout_ms": -1, "priority": "high", "public": 1},
            {**ROUTE, "name": "b", "type": "newest", "service": "gone"},
            {**ROUTE, "name": "c", "type": "bounded_staleness"},
            {**ROUTE, "name": "", "database": "d\n", "timeout_ms": "800"},
            "route",
        ],
        "services": [
            {**SERVICE, "sync_replicas": -1},
            {"name": "grp", "max_connections": 4.5},
            {"name": 7, "max_connections": -2},
        ],
        "limits": {"tx_idle_ms": "secret-1"},
        "tenants": [
            {"api_keys": ["secret-1"]},
            {**WORKSPACE, "rate_per_s": -1, "burst": "secret-2"},
            {**WORKSPACE, "api_keys": "secret-1", "rate_per_s": True},
            {"name": "b", "api_keys": [7, "", "secret\n"]},
            {"name": "c", "api_keys": ["secret-2"], "burst": 10**400},
            None,
        ],
    }
    assert _check(config) == snapshot


def test_entries_that_never_match_are_warnings(snapshot):
    config = {
        **CONFIG,
        "routes": [ROUTE, {**ROUTE, "name": "b", "database": "my orders"}],
        "services": [SERVICE, {**SERVICE, "name": "unused"}],
        "tenants": [WORKSPACE, {"name": "b", "api_keys": []}, {"name": "c"}],
    }
    public = {**CONFIG, "routes": [{**ROUTE, "public": True}]}
    assert _check(config) + _check(public) == snapshot


def test_contradicting_limits_are_warnings(snapshot):
    config = {
        **CONFIG,
        "routes": [{**ROUTE, "target_latency_ms": 900}],
        "tenants": [
            {**WORKSPACE, "rate_per_s": 0},
            {"name": "b", "api_keys": ["k"], "rate_per_s": 5, "burst": 0.5},
            {"name": "c", "api_keys": ["l"], "rate_per_s": 0, "burst": 0},
        ],
    }
    assert _check(config) == snapshot


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b"\xff", b"[" * 100])
def test_text_that_is_no_configuration_is_an_error(text):
    findings = config_check.check(text)
    assert findings and all(map(config_check.is_error, findings))


def test_errors_of_the_decoder_are_reported_without_keys(monkeypatch):
    """Guards against a check that passes what the proxies refuse."""

    def refuse(_self, _text):
        raise config_check.validation.ProblemsError(
            tuple(
                config_check.validation.Problem(
                    source="", location="tenants", message=message
                )
                for message in ("is odd", "has secret-1 twice")
            )
        )

    monkeypatch.setattr(
        config_check.directory.Directory, "decode_table", refuse
    )
    assert _check(CONFIG) == [
        "error tenants: is odd",
        "error tenants: is refused by the proxies",
    ]


_FIELD_NAMES = st.sampled_from(
    sorted({*CONFIG, *ROUTE, *SERVICE, *WORKSPACE, "public", "sync_replicas"})
)
_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(_FIELD_NAMES, inner, max_size=6)
    ),
    max_leaves=25,
)


@hypothesis.given(
    old=st.dictionaries(_FIELD_NAMES, _VALUES),
    new=st.dictionaries(_FIELD_NAMES, _VALUES),
)
def test_any_values_are_checked_and_compared(old, new):
    for finding in config_check.check(json.dumps(new).encode()):
        config_check.describe(finding)
    for difference in config_diff.compare_texts(
        json.dumps(old).encode(), json.dumps(new).encode()
    ):
        config_diff.describe(difference)


def _run(monkeypatch, *args: str) -> int:
    monkeypatch.setattr("sys.argv", ["bronzehold", "check-routes", *args])
    with pytest.raises(SystemExit) as caught:
        main.main()
    return caught.value.code


def test_differences_from_the_current_configuration_are_shown(
    tmp_path, monkeypatch, capsys, snapshot
):
    """Guards against keys in the output, which is kept in logs and tickets."""
    monkeypatch.chdir(tmp_path)
    current = {
        **CONFIG,
        "version": 5,
        "routes": [ROUTE, {**ROUTE, "name": "old", "database": "old"}],
        "tenants": [
            WORKSPACE,
            {**WORKSPACE, "name": "left", "api_keys": ["secret-3"]},
            {**WORKSPACE, "name": "same", "api_keys": ["secret-4"]},
        ],
    }
    changed = {
        **WORKSPACE,
        "api_keys": ["secret-2", "secret-5", "secret-6"],
        "rate_per_s": 10,
        "note": "secret-7",
        "secret-9": True,
    }
    new = {
        **CONFIG,
        "routes": [{**ROUTE, "timeout_ms": 250, "public": False}],
        "services": [{**SERVICE, "max_connections": 70}],
        "limits": {"tx_idle_ms": 2000},
        "tenants": [
            changed,
            {**WORKSPACE, "name": "same", "api_keys": ["secret-4"]},
            {**WORKSPACE, "name": "new", "api_keys": ["secret-8"]},
        ],
    }
    (tmp_path / "current.json").write_text(json.dumps(current))
    (tmp_path / "new.json").write_text(json.dumps(new))
    assert _run(monkeypatch, "new.json", "--current", "current.json") == 0
    output = capsys.readouterr()
    assert "secret" not in output.out + output.err
    assert output.out.splitlines() == snapshot
    assert output.err == ""


def test_errors_set_the_exit_code_and_show_no_key(
    tmp_path, monkeypatch, capsys, snapshot
):
    monkeypatch.chdir(tmp_path)
    shared = {**WORKSPACE, "name": "b", "rate_per_s": "secret-2"}
    config = {**CONFIG, "tenants": [WORKSPACE, shared]}
    (tmp_path / "new.json").write_text(json.dumps(config))
    (tmp_path / "list.json").write_text("[]")
    assert _run(monkeypatch, "new.json") == 1
    output = capsys.readouterr()
    assert "secret" not in output.out + output.err
    assert (output.out + output.err).splitlines() == snapshot
    assert _run(monkeypatch, "new.json", "--current", "list.json") == 1
    assert _run(monkeypatch, "missing.json") == 1
