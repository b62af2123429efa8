import http.server
import json
import threading
import time

import pytest

from bronzehold.core import ports
from bronzehold.platform import store
from bronzehold.process import store_era
from bronzehold.process import store_news
from bronzehold.process import timeline as timeline_lib

# After this time without disturbance a proxy counts as in touch, and has to
# know every change that the store confirmed: the shortest time of the users'
# installations.
CONTACT_S = 4.0
# A read of the changes, with the store's usual time to answer.
READ_S = 0.1
MAX_JITTER = 1.5


class _Handler(http.server.BaseHTTPRequestHandler):
    body = b"{}"

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *_args):
        pass


def _client(server):
    era = store_era.StoreEra(timeline=timeline_lib.Timeline(proxy="", zone=""))
    address = f"127.0.0.1:{server.server_port}"
    return store.Client(address=address, era=era)


@pytest.fixture(name="answer")
def _answer():
    """Runs a store that answers every call with one body."""

    class Handler(_Handler):
        pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    client = _client(server)

    def answer(body):
        Handler.body = body if isinstance(body, bytes) else json.dumps(body)
        if isinstance(Handler.body, str):
            Handler.body = Handler.body.encode()
        return client

    yield answer
    server.shutdown()
    server.server_close()


def test_silent_watch_ends_before_the_proxy_counts_as_in_touch():
    """Guards against CONFIG: a silent connection kept a dropped route in use.

    All watches had been sent just before the connections went silent.
    """
    longest_s = (
        store_news.WATCH_TIMEOUT_S
        + store.WATCH_TIMEOUT_MARGIN_S
        + store_news.WATCHER_RETRY_INTERVAL_S * MAX_JITTER
        + READ_S
    )
    assert longest_s < CONTACT_S


def test_watch_on_a_silent_connection_fails_in_time():
    with http.server.HTTPServer(("127.0.0.1", 0), _Handler) as server:
        # The server accepts the connection and never reads from it.
        client = _client(server)
        started_at = time.monotonic()
        with pytest.raises(ports.StoreError):
            client.watch("", ports.Position(era=0, revision=1), 0.2)
    waited_s = time.monotonic() - started_at
    assert waited_s < 0.2 + store.WATCH_TIMEOUT_MARGIN_S + 1.0


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 4000,
        b"\xff",
        [],
        {"items": 7},
        {"items": [{"key": 7}], "store_revision": 1},
        {"items": [{"key": "k", "value": "?"}], "store_revision": 1},
        {"items": [], "store_revision": "1"},
    ],
)
def test_odd_answer_of_the_store_is_a_store_error(answer, body):
    """Guards against CONFIG: another error ended the reading task."""
    with pytest.raises(ports.StoreError):
        answer(body).list("")
