import pytest

from bronzehold.process import resource_limits

MEBIBYTE = resource_limits.MEBIBYTE


@pytest.mark.parametrize("descriptors", [256, 512, 1024, 20000, 65536])
@pytest.mark.parametrize("memory_mb", [200, 552, 32000])
def test_limits_leave_descriptors_and_memory(descriptors, memory_mb):
    """Guards against limits that add up to more than the machine has."""
    memory = memory_mb * MEBIBYTE
    limits = resource_limits.compute(
        memory=memory, descriptors=descriptors, budget=0
    )
    http = resource_limits.HTTP_PORTS * resource_limits.MAX_HTTP_CONNECTIONS
    used = limits.callers + limits.peers + http
    assert used <= 0.75 * descriptors
    connection_bytes = limits.callers * resource_limits.CONNECTION_BYTES
    assert limits.budget_bytes + connection_bytes <= 0.75 * memory
    assert limits.callers >= 32


def test_largest_messages_fit_the_smallest_machine():
    """Guards against a default budget that a legal message exceeds."""
    limits = resource_limits.compute(
        memory=200 * MEBIBYTE, descriptors=1024, budget=0
    )
    assert limits.budget_bytes >= 10 * 3 * MEBIBYTE


def test_settings_replace_the_limits_of_the_system():
    """Guards against settings without an effect."""
    limits = resource_limits.derive(
        memory_mb=200, max_descriptors=400, receive_budget_mb=8
    )
    assert limits.budget_bytes == 8 * MEBIBYTE
    assert limits.callers < 400
    derived = resource_limits.derive(
        memory_mb=0, max_descriptors=0, receive_budget_mb=0
    )
    assert derived.budget_bytes > 8 * MEBIBYTE
