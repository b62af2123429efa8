import pytest

from bronzehold.process import open_connections


class FakeConnection:
    def __init__(self, *, open_list, is_busy=False, error=None):
        self.open_list = open_list
        self.is_busy = is_busy
        self.error = error
        self.was_listed = False

    def serve(self):
        self.was_listed = self in self.open_list.list()
        if self.error:
            raise self.error

    def busy(self):
        return self.is_busy


def test_connection_is_known_from_its_acceptance_to_its_end():
    """Guards against LOST: a stop that ends beside an unknown connection."""
    connections = open_connections.OpenConnections()
    connection = FakeConnection(open_list=connections, is_busy=True)
    connections.add("a", connection)
    assert connections.list() == [connection]
    assert connections.count_busy() == 1
    connections.serve("a")
    assert connection.was_listed
    assert connections.list() == []


def test_connection_that_fails_is_removed():
    connections = open_connections.OpenConnections()
    failing = FakeConnection(open_list=connections, error=OSError("reset"))
    connections.add("a", failing)
    with pytest.raises(OSError, match="reset"):
        connections.serve("a")
    assert connections.list() == []
