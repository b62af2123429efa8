import socket

from bronzehold.tools import local


def test_free_port_is_free_for_datagrams_too():
    first = local.free_port()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.2", first + 1))
        assert local.free_port() != first + 1


def test_two_processes_draw_from_different_ranges():
    first, _ = local._claim_ports()
    # A process whose id falls on the same range.
    local._claim_ports.cache_clear()
    second, claim = local._claim_ports()
    try:
        assert first != second
    finally:
        local._claim_ports.cache_clear()
        claim.close()
