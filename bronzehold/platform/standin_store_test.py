import base64
import http.client
import json
import time

import pytest

from bronzehold.platform import standin_store

# Well above the time between two calls of a test.
COPY_AGE_S = 0.3


class Caller:
    """Sends calls to a stand-in store."""

    def __init__(self, store):
        self.store = store
        self.store.start()

    def call(self, method, path, body=None):
        """Returns the status, the body and the era of an answer."""
        conn = http.client.HTTPConnection(self.store.address)
        conn.request(method, f"/bronzehold/{path}", json.dumps(body or {}))
        answer = conn.getresponse()
        fields = json.loads(answer.read())
        era = answer.headers.get(standin_store.ERA_HEADER)
        conn.close()
        return answer.status, fields, era

    def grant(self, ttl_ms=60_000):
        return self.call("POST", "kv-lease", {"ttl_ms": ttl_ms})[1]["lease"]

    def put(self, key, value, lease=0):
        put = {"key": key, "value": base64.b64encode(value).decode()}
        body = {
            "precondition": [],
            "puts": [{**put, "lease": lease}],
            "remove": [],
        }
        return self.call("POST", "kv-txn", body)[1]["revision"]

    def watch(self, after, wait_ms=0):
        path = f"kv-watch?prefix=&after={after}&wait_ms={wait_ms}"
        return self.call("GET", path)


@pytest.fixture(name="caller")
def _caller():
    store = standin_store.Store(groups={})
    yield Caller(store)
    store.close()


def test_store_without_eras_sends_no_header(caller):
    assert caller.watch(1)[2] is None


def test_store_returns_from_a_copy_in_the_next_era(caller):
    """Guards against a stand-in that keeps what a drill must lose."""
    caller.store.era = 4
    caller.put("a", b"kept")
    kept = caller.grant()
    time.sleep(COPY_AGE_S)
    lost_revision = caller.put("a", b"lost")
    caller.put("b", b"lost")
    lost_lease = caller.grant()
    caller.store.return_from_copy(COPY_AGE_S / 2)
    assert caller.store.value("a") == b"kept"
    assert caller.store.value("b") is None
    assert caller.call("POST", f"kv-keep/{kept}")[0] == 200
    status, _, era = caller.call("POST", f"kv-keep/{lost_lease}")
    assert (status, era) == (404, "5")
    assert caller.watch(lost_revision)[0] == 410
    assert caller.grant() == lost_lease, "the number is issued again"
    assert caller.put("c", b"other") == lost_revision, "so is the revision"
    status, fields, era = caller.watch(lost_revision)
    assert (status, fields["events"], era) == (200, [], "5")


def test_leases_of_the_copy_may_be_lost(caller):
    lease = caller.grant()
    caller.put("a", b"1", lease)
    caller.store.return_from_copy(0.0, leases_lost=True)
    assert caller.call("POST", f"kv-keep/{lease}")[0] == 404
    assert caller.store.value("a") == b"1"
