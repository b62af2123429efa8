"""Tests of the runner that passes over the known failures."""

import pytest

from tests import run_known_red


@pytest.mark.parametrize(
    ("test", "defined"),
    [
        ("tests/run_known_red_test.py::test_entry_names_a_test[a-True]", True),
        (
            "tests/run_known_red_test.py::TestClass::test_entry_names_a_test",
            True,
        ),
        ("tests/run_known_red_test.py::test_that_does_not_exist", False),
        ("tests/missing_test.py::test_entry_names_a_test", False),
    ],
)
def test_entry_names_a_test(test, defined):
    """Guards against entries that exclude nothing, such as renamed tests."""
    path = run_known_red.ROOT / test.split("::")[0]
    assert run_known_red._defines_test(path, test) is defined
