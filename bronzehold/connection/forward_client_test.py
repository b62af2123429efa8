import socket
import threading
import time

import pytest

from bronzehold.connection import forward_client
from bronzehold.connection import forward_codec as codec
from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.version import members as members_lib

TARGET = members_lib.Member(name="p1", zone="z", address="h:1")
REPLY = codec.frame(
    codec.encode_reply(
        codec.Reply(
            state=statements.TransactionState.IDLE,
            endpoint="e1",
            last_write=None,
            answer=statements.Completed(
                body=b"COMPLETE mac\r\n",
                state=statements.TransactionState.IDLE,
                position=None,
            ),
        )
    )
)


@pytest.fixture(name="pair")
def _pair():
    near, far = socket.socketpair()
    with near, far:
        yield forward_client.Link(target=TARGET, sock=near), far


def test_reply_in_parts_is_read_across_deadline_checks(pair):
    """Guards against a lost reply: a wait that forgets what has arrived."""
    link, far = pair

    def send_slowly():
        far.sendall(REPLY[:6])
        time.sleep(2.5 * forward_client.DEADLINE_CHECK_S)
        far.sendall(REPLY[6:])

    thread = threading.Thread(target=send_slowly)
    thread.start()
    deadline = clock.now() + 5.0
    assert link.receive(lambda: deadline).endpoint == "e1"
    thread.join()


def test_wait_for_a_reply_ends_when_the_deadline_becomes_earlier(pair):
    """Guards against LOST: a stop began while another proxy was waited for."""
    link, _ = pair
    started = clock.now()
    deadlines = iter([started + 60.0])
    with pytest.raises(ports.TransportError, match="no reply in time"):
        link.receive(lambda: next(deadlines, started))
    assert clock.now() - started < 1.0
