"""Network addresses in the text form host:port."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def split(text: str) -> tuple[str, int]:
    """Splits an address into the host and the port number.

    Raises:
        ValueError: The text has no host, or no port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not (host and host.isprintable() and port.isascii() and port.isdigit()):
        raise ValueError("is not host:port")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"has a port outside 1 to {MAX_PORT}")
    return host, int(port)


def split_ip(text: str) -> tuple[str, int]:
    """Splits an address whose host is an IP address.

    To look a host name up may take seconds, which hold up everything else that
    the calling task does.

    Raises:
        ValueError: The text is no address, or its host is no IP address.
    """
    host, port = split(text)
    ipaddress.ip_address(host)
    return host, port


def is_ip(text: str) -> bool:
    """Returns whether split_ip accepts a text."""
    try:
        split_ip(text)
    except ValueError:
        return False
    return True
