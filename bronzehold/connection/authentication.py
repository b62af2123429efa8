"""Authentication of callers by user name and SCRAM-SHA-256 password."""

import socket

import scramp

from bronzehold.connection import frames
from bronzehold.connection import messages
from bronzehold.core import errors
from bronzehold.core import settings

MECHANISM = "SCRAM-SHA-256"


class Authenticator:
    """Authenticates callers against the configured users.

    Without configured users, every user name is accepted. A user without a
    password is accepted by name alone.
    """

    def __init__(self, *, users: tuple[settings.User, ...]):
        self._scram = scramp.ScramMechanism(MECHANISM)
        self._users = {user.name: user for user in users}
        self._scram_info = {
            user.name: self._scram.make_auth_info(user.password)
            for user in users
            if user.password
        }

    def authenticate(
        self, sock: socket.socket, reader: frames.Reader, user: str
    ) -> None:
        """Authenticates a caller and sends AuthenticationOk.

        Args:
            sock: The caller's connection.
            reader: The reader of the same connection.
            user: The user name from the start-up packet.

        Raises:
            errors.FailureError: The user is unknown or the password is wrong
                (AccessDenied).
        """
        if self._users and user not in self._users:
            raise errors.FailureError(errors.AccessDenied(user=user))
        if user in self._scram_info:
            self._run_scram(sock, reader, user)
        frames.send(sock, messages.auth(messages.AUTH_OK))

    def _run_scram(
        self, sock: socket.socket, reader: frames.Reader, user: str
    ) -> None:
        server = self._scram.make_server(lambda _name: self._scram_info[user])
        mechanisms = f"{MECHANISM}\0\0".encode()
        frames.send(sock, messages.auth(messages.AUTH_SASL, mechanisms))
        try:
            _, first = messages.parse_sasl_initial(reader.read_frame().body)
            # In PostgreSQL the start-up packet holds the user name; the name in
            # the SCRAM messages is empty.
            server.set_client_first(first.decode())
            challenge = server.get_server_first().encode()
            frames.send(
                sock, messages.auth(messages.AUTH_SASL_CONTINUE, challenge)
            )
            server.set_client_final(reader.read_frame().body.decode())
            final = server.get_server_final().encode()
        except (scramp.ScramException, ValueError) as exc:
            raise errors.FailureError(errors.AccessDenied(user=user)) from exc
        frames.send(sock, messages.auth(messages.AUTH_SASL_FINAL, final))
