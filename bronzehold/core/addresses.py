"""Network addresses in the text form host:port."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def split(text: str) -> tuple[str, int]:
    """Splits an address into the host and the port number.

    Raises:
        ValueError: The text has no host, or no port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit()):
        raise ValueError("is not host:port")
    if len(port) > MAX_PORT_DIGITS or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"has a port outside 1 to {MAX_PORT}")
    return host, int(port)
