import time

from bronzehold.proto import etcd_pb2 as pb
from bronzehold.standin import etcd

WATCHED = pb.WatchCreateRequest(key=b"watched")


def _put(store, key):
    store.put(pb.PutRequest(key=key, value=b"v"))


def test_watch_returns_the_events_of_its_key_once():
    store = etcd.Store()
    _put(store, b"watched")
    _put(store, b"other")
    events, seen = store.events_after(0, WATCHED)
    assert [event.kv.key for event in events] == [b"watched"]
    _put(store, b"watched")
    events, _ = store.events_after(seen, WATCHED)
    assert [event.kv.mod_revision for event in events] == [store.revision]


def test_watch_waits_after_a_change_of_another_key():
    """Guards against a busy loop: it made tests take up to a minute.

    The newest event was not the watch's, so each call returned at once.
    """
    store = etcd.Store()
    _put(store, b"watched")
    _, seen = store.events_after(0, WATCHED)
    _put(store, b"other")
    events, seen = store.events_after(seen, WATCHED)
    assert events == []
    started_at = time.monotonic()
    events, _ = store.events_after(seen, WATCHED)
    assert events == []
    assert time.monotonic() - started_at > etcd.WATCH_WAIT_S / 2
