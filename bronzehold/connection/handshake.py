"""Server side of the first packets of a PostgreSQL connection."""

import socket

from bronzehold.connection import frames
from bronzehold.connection import messages

REFUSE_ENCRYPTION = b"N"


def read_startup_packet(sock: socket.socket, reader: frames.Reader) -> bytes:
    """Reads the first packet that is not an encryption request.

    Encryption requests are refused, and the client goes on unencrypted.

    Args:
        sock: The connection.
        reader: The reader of the same connection.

    Returns:
        The body of a start-up packet or of a cancel request.
    """
    while True:
        body = reader.read_startup(messages.MAX_STARTUP_BYTES)
        code = messages.startup_code(body)
        if code not in (messages.SSL_REQUEST, messages.GSS_REQUEST):
            return body
        frames.send(sock, REFUSE_ENCRYPTION)
