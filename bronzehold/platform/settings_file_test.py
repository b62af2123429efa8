import json

import pytest

from bronzehold.core import validation
from bronzehold.platform import settings_file

VALID = {
    "name": "p1",
    "zone": "z1",
    "regions": {"z1": "r1"},
    "host": "10.0.0.1",
    "callers": "10.0.0.1:1",
    "readiness": "10.0.0.1:2",
    "peer_port": 3,
    "metrics_port": 4,
    "store": "10.0.0.2:5",
    "promoter": "10.0.0.2:6",
    "seeds": ["10.0.0.3:7"],
    "stop_s": 6,
}


def _load(tmp_path, text: str):
    path = tmp_path / "settings.json"
    path.write_text(text)
    return settings_file.load(str(path))


def test_settings_are_read(tmp_path):
    cfg = _load(tmp_path, json.dumps({**VALID, "new": 1}))
    assert cfg.name == "p1"
    assert cfg.stop_s == 6.0
    assert cfg.log_level == "INFO"


def test_limits_are_optional_and_not_negative(tmp_path):
    """Guards against settings of an older template that are refused."""
    assert _load(tmp_path, json.dumps(VALID)).memory_mb == 0
    limits = {"memory_mb": 200, "max_descriptors": 512, "receive_budget_mb": 8}
    cfg = _load(tmp_path, json.dumps({**VALID, **limits}))
    assert (cfg.memory_mb, cfg.max_descriptors) == (200, 512)
    assert cfg.receive_budget_mb == 8
    with pytest.raises(validation.ProblemsError):
        _load(tmp_path, json.dumps({**VALID, "memory_mb": -1}))


def test_drain_time_is_optional_and_positive(tmp_path):
    """Guards against a holder that is replaced before its first order."""
    assert _load(tmp_path, json.dumps(VALID)).drain_ms == 5000
    cfg = _load(tmp_path, json.dumps({**VALID, "drain_ms": 9000}))
    assert cfg.drain_ms == 9000
    with pytest.raises(validation.ProblemsError):
        _load(tmp_path, json.dumps({**VALID, "drain_ms": 0}))


def test_all_problems_are_reported_together(tmp_path):
    invalid = {**VALID, "callers": "nowhere", "peer_port": "3", "stop_s": None}
    with pytest.raises(validation.ProblemsError) as caught:
        _load(tmp_path, json.dumps(invalid))
    locations = [problem.location for problem in caught.value.problems]
    assert locations == ["callers", "peer_port", "stop_s"]


@pytest.mark.parametrize("text", ["", "[]", "{"])
def test_file_without_object_is_rejected(tmp_path, text):
    with pytest.raises(validation.ProblemsError):
        _load(tmp_path, text)


def test_missing_file_is_reported():
    with pytest.raises(validation.ProblemsError):
        settings_file.load("/nowhere/settings.json")


def test_tolerance_of_limits_is_optional(tmp_path):
    cfg = _load(tmp_path, json.dumps(VALID))
    assert (cfg.limit_window_s, cfg.limit_overage, cfg.limit_slack) == (
        5.0,
        0.1,
        20.0,
    )
    fields = {"limit_window_s": 2, "limit_overage": 0, "limit_slack": 3}
    cfg = _load(tmp_path, json.dumps({**VALID, **fields}))
    assert cfg.limit_window_s == 2.0
    assert cfg.limit_overage == 0.0
    assert cfg.limit_slack == 3.0


def test_tolerance_that_no_limit_can_have_is_reported(tmp_path):
    fields = {"limit_window_s": 0, "limit_overage": -0.1, "limit_slack": "1"}
    with pytest.raises(validation.ProblemsError) as caught:
        _load(tmp_path, json.dumps({**VALID, **fields}))
    locations = [problem.location for problem in caught.value.problems]
    assert locations == list(fields)
