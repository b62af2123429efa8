import socket

import pytest

from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.platform import endpoint


@pytest.mark.parametrize(
    "fields", [{"service": "\u20ac"}, {"id": "\ud800"}, {"host": "a..b"}]
)
def test_listing_that_cannot_be_dialed_is_a_dial_error(fields):
    """Guards against LOST: another error ended the caller's session."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        listing = {
            "id": "e1",
            "service": "g",
            "host": "127.0.0.1",
            "port": server.getsockname()[1],
            "zone": "z",
            "slots": 1,
            "leaving": False,
            "leads": False,
            "started_ms": 0,
            **fields,
        }
        with pytest.raises(ports.DialError):
            endpoint.dial(routes.Listing(**listing))
