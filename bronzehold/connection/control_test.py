import json

import pytest

from bronzehold.connection import control
from bronzehold.core import data

STATUS = data.EndpointStatus(
    role=data.Role.REPLICA,
    term=3,
    log_term=2,
    received=9,
    applied=8,
    age=0.5,
    following="e1",
    history=(data.TermStart(term=1, fork=0), data.TermStart(term=2, fork=7)),
)
FIELDS = json.loads(control.status_to_json(STATUS))


def test_status_is_read_back():
    assert control.status_from_json(json.dumps(FIELDS)) == STATUS


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "[" * 4000,
        json.dumps({**FIELDS, "term": "3"}),
        json.dumps({**FIELDS, "role": "king"}),
        json.dumps({**FIELDS, "age": None}),
        json.dumps({**FIELDS, "age": float("inf")}),
        json.dumps({**FIELDS, "age": float("nan")}),
        json.dumps({**FIELDS, "age": 10**400}),
        json.dumps({**FIELDS, "term": 10**400}),
        json.dumps({**FIELDS, "received": True}),
        json.dumps({**FIELDS, "history": [[1, 1 << 64]]}),
        json.dumps({**FIELDS, "history": [[1]]}),
        json.dumps({**FIELDS, "history": 7}),
        json.dumps({k: v for k, v in FIELDS.items() if k != "received"}),
    ],
)
def test_odd_status_is_a_value_error(text):
    """Guards against RECOVER: an odd status ended the endpoint's monitor."""
    with pytest.raises(ValueError, match=""):
        control.status_from_json(text)
