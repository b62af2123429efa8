import json
import threading

import hypothesis
from hypothesis import strategies as st
import pytest

from bronzehold.core import json_text

# Half of that of this program's threads. The standard decoder alone, without a
# limit of the nesting, ends the process on it.
SMALL_STACK_BYTES = 128 * 1024

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@hypothesis.given(JSON_VALUES)
def test_valid_texts_are_read(value):
    assert json_text.parse(json.dumps(value)) == value


def test_many_brackets_are_no_deep_nesting():
    value = [{"a[[{": '\\"[' * 200}] * 200
    assert json_text.parse(json.dumps(value).encode()) == value


@pytest.mark.parametrize(
    "text",
    [
        b"[" * 4000,
        b'{"a":' * 100_000,
        b'["\\"' + b"[" * 4000,
        b"[" * 100 + b"]" * 100,
        b"7" * 5000,
        b"\xff",
        b"",
    ],
)
def test_odd_texts_are_refused_on_a_small_stack(text):
    """Guards against CONFIG and LOST: a nested text ended the reading task."""
    refused = []

    def read():
        try:
            json_text.parse(text)
        except ValueError as exc:
            refused.append(exc)

    old_size = threading.stack_size(SMALL_STACK_BYTES)
    try:
        thread = threading.Thread(target=read)
        thread.start()
    finally:
        threading.stack_size(old_size)
    thread.join()
    assert refused
