import json

import pytest

from bronzehold.process import etcd_store
from bronzehold.process import store_sync

NESTED = b"[" * 4000


class FakeStore:
    def __init__(self, values):
        self.values = values

    def list(self, prefix):
        return [
            etcd_store.VersionedValue(key=prefix + key, value=value, revision=1)
            for key, value in self.values.items()
        ]


def test_odd_registration_does_not_hide_the_other_proxies():
    """Guards against CONFIG: an odd registration ended every reread."""
    store = FakeStore(
        {
            "a": NESTED,
            "b": b"{}",
            "c": b'{"address": 7}',
            "d": b'{"address": "127.0.0.1:99999"}',
            "e": b"\xff",
            "f": json.dumps({"address": "127.0.0.1:80", "zone": "z"}).encode(),
        }
    )
    members = store_sync.read_members(store)
    assert {m.name: m.address for m in members.values()} == {
        "f": "127.0.0.1:80"
    }


@pytest.mark.parametrize(
    ("value", "names"),
    [
        (b"", frozenset()),
        (b"{}", frozenset()),
        (b'{"leaving": ["a", "b"]}', frozenset({"a", "b"})),
        (b'{"leaving": [["a"]]}', None),
        (b'{"leaving": 7}', None),
        (b"[]", None),
        (NESTED, None),
    ],
)
def test_list_of_leaving_instances_is_decoded_or_refused(value, names):
    """Guards against CONFIG: an odd list ended every reread."""
    assert store_sync._leaving_names(value) == names
