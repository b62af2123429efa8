import dataclasses
import math
import socket

import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.platform import endpoint
from tests import helpers


@pytest.mark.parametrize(
    "fields", [{"service": "\u20ac"}, {"id": "\ud800"}, {"host": "a..b"}]
)
def test_listing_that_cannot_be_dialed_is_a_dial_error(fields):
    """Guards against LOST: another error ended the caller's session."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = {"host": "127.0.0.1", "port": server.getsockname()[1]}
        listing = helpers.listing("e1", **address)
        with pytest.raises(ports.DialError):
            endpoint.dial(dataclasses.replace(listing, **fields), math.inf)


def test_dial_ends_with_its_deadline():
    """Guards against LOST: a dial took longer than the exit had time for."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = {"host": "127.0.0.1", "port": server.getsockname()[1]}
        started = clock.now()
        with pytest.raises(ports.DialError) as caught:
            endpoint.dial(helpers.listing("e1", **address), started + 0.1)
        assert clock.now() - started < endpoint.DIAL_TIMEOUT_S
        assert caught.value.failure is ports.DialFailure.LOCAL
