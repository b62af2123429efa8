import types

import pytest

from bronzehold.platform import demo


def _entry(*keys):
    return types.SimpleNamespace(writes=[(key, "there") for key in keys])


def _caller(**fields):
    defaults = {
        "acknowledged": [("a", 1.0), ("b", 2.0), ("c", 5.0)],
        "not_run": set(),
        "unknown_outcome": set(),
        "missed": set(),
    }
    return types.SimpleNamespace(**{**defaults, **fields})


def _report(caller):
    primary = types.SimpleNamespace(log=[_entry("a"), _entry("c")])
    group = types.SimpleNamespace(primary=lambda: primary)
    lines = []
    passed = demo._report_results(
        types.SimpleNamespace(group=group), [caller], 1.5, lines.append
    )
    return passed, lines


def test_read_of_a_write_lost_with_the_primary_is_no_violation():
    passed, lines = _report(_caller(missed={"b"}))
    assert passed
    assert "read-your-writes violations: 0" in lines
    assert "acknowledged writes lost with the primary: 1" in lines


def test_read_that_misses_a_kept_write_is_a_violation():
    passed, lines = _report(_caller(missed={"a"}))
    assert not passed
    assert "read-your-writes violations: 1" in lines


def test_gap_lies_between_two_writes():
    _, lines = _report(_caller())
    assert "longest gap in writes after the kill: 3.00 s" in lines


@pytest.mark.parametrize("acknowledged", [[], [("a", 1.0)]])
def test_no_write_after_the_kill_is_reported(acknowledged):
    passed, lines = _report(_caller(acknowledged=acknowledged))
    assert not passed
    assert lines[-1] == "no write succeeded after the kill"
