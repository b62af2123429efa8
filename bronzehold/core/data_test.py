import hypothesis
from hypothesis import strategies
import pytest

from bronzehold.core import data


def status(applied: int, *forks: int) -> data.EndpointStatus:
    history = tuple(
        data.TermStart(term=i + 1, fork=fork)
        for i, fork in enumerate((0, *forks))
    )
    return data.EndpointStatus(
        role=data.Role.REPLICA,
        term=len(history),
        log_term=len(history),
        received=applied,
        applied=applied,
        age=0.0,
        following="a",
        history=history,
    )


@pytest.mark.parametrize(
    ("term", "position", "found", "expected"),
    [
        (1, 5, status(5), data.MarkState.SEEN),
        (1, 6, status(5), data.MarkState.BEHIND),
        (2, 1, status(5), data.MarkState.BEHIND),
        (1, 5, status(9, 7), data.MarkState.SEEN),
        (1, 8, status(9, 7), data.MarkState.LOST),
        (1, 7, status(6, 7), data.MarkState.BEHIND),
        (2, 9, status(20, 7, 8), data.MarkState.LOST),
        (1, 7, status(20, 7, 9), data.MarkState.SEEN),
    ],
)
def test_evaluate_mark(term, position, found, expected):
    mark = data.Mark(group="g", term=term, position=position)
    assert data.evaluate_mark(mark, found) is expected


@hypothesis.given(
    group=strategies.text(min_size=1),
    term=strategies.integers(0, 10**12),
    position=strategies.integers(0, 10**12),
)
def test_parse_mark_round_trip(group, term, position):
    mark = data.Mark(group=group, term=term, position=position)
    assert data.parse_mark(str(mark)) == mark


@pytest.mark.parametrize(
    "text",
    ["", "g", "g:1", "g:x:1", "g:1:-1", "g:\u00b2:1", "g:1:" + "9" * 5000],
)
def test_parse_mark_rejects_invalid_text(text):
    assert data.parse_mark(text) is None
