import pytest

from bronzehold.core import addresses


def test_address_is_split():
    assert addresses.split("10.0.0.1:80") == ("10.0.0.1", 80)
    assert addresses.split("::1:65535") == ("::1", 65535)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "h",
        ":80",
        "h:",
        "h:0",
        "h:65536",
        "h:-1",
        "h:" + "9" * 5000,
        "h:\u00b2",
        "h:\u0668",
        "\0:80",
    ],
)
def test_text_without_a_host_and_a_port_is_refused(text):
    with pytest.raises(ValueError, match="is not host:port|has a port"):
        addresses.split(text)


def test_host_that_would_have_to_be_looked_up_is_refused():
    assert addresses.split_ip("10.0.0.1:80") == ("10.0.0.1", 80)
    assert addresses.is_ip("10.0.0.1:80")
    for text in ("host:80", "a..b:80", "10.0.0.1.1:80", "10.0.0.1"):
        assert not addresses.is_ip(text)
