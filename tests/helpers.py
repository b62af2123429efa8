"""Helpers shared by several test modules."""

import time

from bronzehold.core import data
from bronzehold.core import routes
from bronzehold.core import statements


def wait_for(condition, seconds: float = 10.0):
    """Polls a condition and fails the test if it does not hold in time.

    Args:
        condition: A function without parameters that returns a truth value.
        seconds: The time after which the test fails.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"condition not met in {seconds} s"
        time.sleep(0.02)


def endpoint(name: str, **fields) -> data.Endpoint:
    """Returns an endpoint for tests that open no connection to it."""
    defaults = {
        "host": "127.0.0.1",
        "port": 1,
        "zone": "z",
        "region": "r",
        "connections": 4,
        "slots": 2,
    }
    return data.Endpoint(name=name, **{**defaults, **fields})


def listing(name: str, **fields) -> routes.Listing:
    """Returns the listing of a replica that stays, with some fields changed."""
    defaults = {
        "service": "g",
        "host": "h",
        "port": 1,
        "zone": "z",
        "slots": 2,
        "leaving": False,
        "leads": False,
        "started_ms": 0,
    }
    return routes.Listing(id=name, **{**defaults, **fields})


def status(received: statements.LogPosition, **fields) -> statements.Status:
    """Returns the status of an idle replica that has received a position."""
    defaults = {
        "leads": False,
        "term": received.term,
        "paused_term": 0,
        "lag_s": 0.0,
        "busy_slots": 0,
        "connections": 1,
    }
    return statements.Status(received=received, **{**defaults, **fields})
