import pytest

from bronzehold.core import clock
from bronzehold.process import connection_limit

STARTING, NOT_TAKING, WAITING, PIPELINING = connection_limit.Idleness


class FakeConnection:
    """A connection that is gone as soon as it is closed."""

    def __init__(self, name, idle, connections=None):
        self.name = name
        self._idle = idle
        self._connections = connections

    def idle_since(self):
        return self._idle

    def close_idle(self):
        self._connections.remove(self)


@pytest.mark.parametrize(
    ("idle", "expected"),
    [
        # Half-open connections beside idle sessions.
        ([(WAITING, 0.0), (STARTING, 90.0)], [1]),
        # A start-up that has only just begun is not a half-open one.
        ([(WAITING, 50.0), (STARTING, 99.9)], [0]),
        # Readers that take nothing beside idle sessions.
        ([(WAITING, 0.0), (NOT_TAKING, 98.0)], [1]),
        # The longest idle session.
        ([(WAITING, 50.0), (WAITING, 10.0), (WAITING, 70.0)], [1]),
        # Requests and transactions in progress.
        ([None, None], []),
        ([None, (WAITING, 99.9)], [1]),
        # Requests that are sent without awaiting answers, last of all.
        ([(PIPELINING, 0.0), (WAITING, 90.0)], [1]),
        ([(PIPELINING, 0.0), None], [0]),
    ],
)
def test_connection_that_makes_room(idle, expected):
    """Guards against closing an ordinary session before a useless one."""
    connections = [FakeConnection(n, one) for n, one in enumerate(idle)]
    found = connection_limit.choose_idle(connections, 1, 100.0)
    assert [connection.name for connection in found] == expected


def test_wave_of_connections_keeps_the_number_at_the_limit():
    """Guards against descriptors that a wave of idle callers takes."""
    connections = []
    reports = []
    limit = connection_limit.ConnectionLimit(
        limit=128,
        list_open=lambda: connections,
        count_open=lambda: len(connections),
        report=lambda *report: reports.append(report),
    )
    for number in range(1000):
        assert limit.make_room()
        idle = (WAITING, clock.now() - 10)
        connections.append(FakeConnection(number, idle, connections))
        assert len(connections) <= 128
    assert {action for action, _, _ in reports} == {"closed"}


def test_connection_is_refused_when_all_are_busy():
    """Guards against closing connections with a request in progress."""
    reports = []
    busy = [FakeConnection(n, None) for n in range(4)]
    limit = connection_limit.ConnectionLimit(
        limit=4,
        list_open=lambda: busy,
        count_open=lambda: len(busy),
        report=lambda *report: reports.append(report),
    )
    assert not limit.make_room()
    assert reports == [("refused", 1, 4)]
