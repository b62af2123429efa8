import json

import hypothesis
from hypothesis import strategies as st
import pytest

from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import validation
from bronzehold.platform import directory

ENTRY = {
    "service": "grp",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "cold_remaining_ms": 0,
    "db_role": "replica",
    "sequence": 4,
    "born": 17,
}


def _listing(**fields):
    value = json.dumps({**ENTRY, **fields}).encode()
    item = ports.Item(key="servers/i-1", value=value, revision=1)
    return directory.Directory(zones=frozenset({"z1"})).decode_listing(item)


def test_a_listing_is_decoded():
    listing = _listing(state="draining", db_role="primary", more=[1])
    assert listing == routes.Listing(
        id="i-1",
        service="grp",
        host="10.0.0.9",
        port=80,
        zone="z1",
        slots=2,
        leaving=True,
        leads=True,
        started_ms=17,
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"service": 7},
        {"service": ""},
        {"address": "10.0.0.9"},
        {"address": None},
        {"address": "10.0.0.9:65536"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:\u0668\u0660"},
        {"zone": "elsewhere"},
        {"capacity": "2"},
        {"capacity": True},
        {"state": "asleep"},
        {"db_role": "king"},
        {"sequence": 1.5},
        {"cold_remaining_ms": "0"},
        {"born": "17"},
        {"address": "10.0.0.9:" + "9" * 5000},
        {"address": "a..b:80"},
        {"address": "host\0:80"},
        {"cold_remaining_ms": 10**400},
        {"capacity": 10**400},
        {"born": 1 << 64},
        {"service": "\ud800"},
        {"service": "g\r\nQUERY"},
    ],
)
def test_listing_with_invalid_field_is_rejected(fields):
    with pytest.raises(validation.ProblemsError):
        _listing(**fields)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"[]", b"7", b"{}", b"[" * 4000, b'{"a":' * 4000],
)
def test_unreadable_listing_is_rejected(value):
    item = ports.Item(key="servers/i-1", value=value, revision=1)
    with pytest.raises(validation.ProblemsError):
        directory.Directory(zones=frozenset({"z1"})).decode_listing(item)


@pytest.mark.parametrize("name", ["", "i 1", "i-1\r\nQUERY", "\u00e9", "\n"])
def test_listing_under_a_key_that_is_no_id_is_rejected(name):
    item = ports.Item(
        key=f"servers/{name}", value=json.dumps(ENTRY).encode(), revision=1
    )
    with pytest.raises(validation.ProblemsError):
        directory.Directory(zones=frozenset({"z1"})).decode_listing(item)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@hypothesis.given(
    st.binary()
    | st.dictionaries(st.sampled_from([*ENTRY, "other"]), JSON_VALUES).map(
        lambda fields: json.dumps({**ENTRY, **fields}).encode()
    )
)
def test_any_listing_is_decoded_or_rejected(value):
    """Guards against CONFIG: the task that follows the store ended."""
    item = ports.Item(key="servers/i-1", value=value, revision=1)
    try:
        listing = directory.Directory(zones=frozenset({"z1"})).decode_listing(
            item
        )
    except validation.ProblemsError:
        return
    assert isinstance(listing, routes.Listing)


def test_each_kind_of_route_is_decoded():
    route = {
        "name": "r",
        "database": "d",
        "service": "grp",
        "timeout_ms": 800,
        "target_latency_ms": 500,
        "priority": 2,
        "max_staleness_ms": 1500,
    }
    kinds = ("primary", "bounded_staleness", "read_your_writes")
    table = directory.Directory(zones=frozenset()).decode_table(
        json.dumps(
            {
                "version": 7,
                "routes": [{**route, "database": k, "type": k} for k in kinds],
                "services": [
                    {"name": "grp", "max_connections": 16, "sync_replicas": 1}
                ],
                "limits": {"tx_idle_ms": 3000},
            }
        ).encode()
    )
    assert [r.freshness for r in table.routes.values()] == [
        routes.Latest(),
        routes.Bounded(max_age_s=1.5),
        routes.OwnWrites(max_age_s=1.5),
    ]
    assert table.services["grp"].synchronous
    assert table.idle_transaction_s == pytest.approx(3.0)
