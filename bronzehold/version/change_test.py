import dataclasses
import threading
import time

import pytest

from bronzehold.connection import client
from bronzehold.core import data
from bronzehold.process import etcd_store
from bronzehold.process import timeline as timeline_lib
from bronzehold.version import change
from tests import helpers

NAMES = ("a", "b", "c")


def status(received: int, log_term: int = 1) -> data.EndpointStatus:
    return data.EndpointStatus(
        role=data.Role.REPLICA,
        term=2,
        log_term=log_term,
        received=received,
        applied=received,
        age=0.0,
        following="a",
        history=(data.TermStart(term=1, fork=0),),
    )


def make_change(call, **fields) -> change.Change:
    defaults = {
        "group": "g",
        "endpoints": tuple(helpers.endpoint(name) for name in NAMES),
        "observed_term": 1,
        "primary": "a",
        "target": "",
        "grant_s": 0.2,
        "proxy": "p",
        "why": "test",
    }
    running = change.Change(
        attempt=change.Attempt(**{**defaults, **fields}),
        store=None,
        call=call,
        timeline=timeline_lib.Timeline(proxy="p", zone="z"),
    )
    running.term = 2
    return running


def test_endpoint_that_hangs_does_not_delay_the_other_calls():
    release = threading.Event()

    def call(name, _call):
        if name == "a":
            release.wait(10)
            raise client.ClientError("silent")
        return status(5)

    running = make_change(call, primary_silent=True)
    try:
        started = time.monotonic()
        for _ in range(10):
            assert len(running._statuses(lambda found: len(found) > 1)) == 2
        assert running.choose_primary().name in ("b", "c")
        assert time.monotonic() - started < 2.0
    finally:
        release.set()


def test_slow_endpoints_are_called_again_by_the_next_step():
    def call(_name, _call):
        time.sleep(0.15)
        return status(5)

    running = make_change(call)
    # The first step needs one answer only, so the other calls still run when
    # the next step, which needs all answers, calls the same endpoints.
    running._statuses(lambda found: len(found) > 0, skip_busy=True)
    assert running.choose_primary().name in NAMES


def test_longest_log_of_the_newest_term_is_chosen():
    found = {"a": status(9), "b": status(7, log_term=2), "c": status(8)}
    running = make_change(lambda name, _call: found[name])
    assert running.choose_primary().name == "b"


def test_stalled_primary_is_excluded_only_if_the_others_suffice():
    found = {"a": status(9), "b": status(7), "c": status(8)}
    running = make_change(lambda name, _call: found[name], exclude_primary=True)
    assert running.choose_primary().name == "c"

    def without_c(name, _call):
        if name == "c":
            raise client.ClientError("gone")
        return found[name]

    assert (
        make_change(without_c, exclude_primary=True).choose_primary().name
        == "a"
    )


def test_leaving_endpoint_is_chosen_only_if_its_log_is_longer():
    endpoints = tuple(helpers.endpoint(name) for name in NAMES)
    leaving = dataclasses.replace(endpoints[2], leaving=True)
    equal = {"a": status(8), "b": status(8), "c": status(8)}
    ahead = {"a": status(8), "b": status(8), "c": status(9)}
    group = (*endpoints[:2], leaving)
    running = make_change(lambda name, _call: equal[name], endpoints=group)
    assert running.choose_primary().name == "b"
    running = make_change(lambda name, _call: ahead[name], endpoints=group)
    assert running.choose_primary().name == "c"


@pytest.mark.parametrize(
    "value", [b"[" * 4000, b"[]", b'{"term": "3"}', b'{"other": 1}', b"\xff"]
)
def test_record_that_cannot_be_read_lets_no_term_be_claimed(value):
    found = etcd_store.VersionedValue(key="g", value=value, revision=1)
    with pytest.raises(etcd_store.EtcdError):
        change.parse_record(found)
