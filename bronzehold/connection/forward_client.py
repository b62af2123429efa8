"""Connections to the proxies that take forwarded statements.

A connection carries one statement, or one transaction, at a time and returns
to the pool of its proxy afterwards. A statement may be reported as not run only
if the other proxy cannot have read it. So a connection that has been idle is
first shown to work, and only then a statement is sent on it.
"""

import collections
import collections.abc
import contextlib
import socket
import threading
import time

from bronzehold.connection import forward_codec as codec
from bronzehold.connection import frames
from bronzehold.connection import platform_session
from bronzehold.core import addresses
from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.core import routes
from bronzehold.core import sockets
from bronzehold.process import serving as serving_lib
from bronzehold.process import token_messages
from bronzehold.proto import forward_pb2 as pb
from bronzehold.version import members as members_lib

CONNECT_TIMEOUT_S = 0.3
SEND_TIMEOUT_S = 0.5
# A connection that has been idle for longer is shown to work before it is used.
MAX_UNCHECKED_IDLE_S = 0.1
PING_TIMEOUT_S = 0.25
# The other proxy answers by the deadline of the statement; its answer may
# arrive this much later.
REPLY_GRACE_S = 0.2
# Interval at which a wait for a reply looks for an earlier deadline.
DEADLINE_CHECK_S = 0.1
# Shortest wait for a reply whose time is over.
MIN_WAIT_S = 0.001
# Idle connections are closed after this time.
IDLE_TIMEOUT_S = 20.0
_PING = codec.frame(pb.Request(kind=pb.PING))
_ROLLBACK = codec.frame(pb.Request(kind=pb.ROLLBACK))


class NotTakenError(Exception):
    """The other proxy has not read the statement and cannot run it."""


class RefusedError(NotTakenError):
    """No process listens at the other proxy: it has ended or is starting.

    This costs one round trip on its instance's network, so the proxy is tried
    again for the next statement.
    """


class Link:
    """A connection to another proxy, used by one caller at a time.

    Attributes:
        target: The other proxy.
        idle_since: The time of the last reply, in seconds of time.monotonic().
    """

    def __init__(self, *, target: members_lib.Member, sock: socket.socket):
        self.target = target
        self.idle_since = time.monotonic()
        self._sock = sock
        self._reader = codec.Reader(sock=sock)

    def ensure_working(self) -> None:
        """Checks a connection before a statement is sent.

        Raises:
            NotTakenError: It is closed or does not answer.
        """
        if self._is_closed():
            raise NotTakenError("closed by the other proxy")
        if time.monotonic() - self.idle_since <= MAX_UNCHECKED_IDLE_S:
            return
        try:
            self._sock.settimeout(PING_TIMEOUT_S)
            self._sock.sendall(_PING)
            self._reader.read()
        except (OSError, ports.TransportError, codec.CodecError) as exc:
            raise NotTakenError(f"no answer: {exc}") from exc
        self.idle_since = time.monotonic()

    def _is_closed(self) -> bool:
        # The other proxy sends nothing unasked, so only its end of the
        # connection makes it readable.
        return self._reader.has_buffered_data() or sockets.has_input(self._sock)

    def send(
        self, call: codec.Call, session: platform_session.PlatformSession
    ) -> None:
        """Sends a statement.

        Raises:
            NotTakenError: The statement was not sent as a whole, so the other
                proxy discards it.
        """
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(codec.frame(codec.encode_call(call, session)))
        except OSError as exc:
            raise NotTakenError(f"not sent: {exc}") from exc

    def receive(
        self, deadline: collections.abc.Callable[[], float]
    ) -> codec.Reply:
        """Waits for the reply to the statement sent last.

        Args:
            deadline: Returns the deadline of the statement, in seconds of
                clock.now(). It may become earlier during the wait.

        Raises:
            ports.TransportError: There was no valid reply.
        """
        latest_start = clock.now()
        try:
            while True:
                last = max(deadline(), latest_start) + REPLY_GRACE_S
                remaining_s = last - clock.now()
                if remaining_s <= 0:
                    raise ports.TransportError("no reply in time")
                self._sock.settimeout(min(remaining_s, DEADLINE_CHECK_S))
                with contextlib.suppress(TimeoutError):
                    reply = codec.decode_reply(self._reader.read())
                    break
        except (OSError, codec.CodecError) as exc:
            raise ports.TransportError(str(exc)) from exc
        self.idle_since = time.monotonic()
        return reply

    def ask_tokens(
        self, request: token_messages.TokenRequest, until: float
    ) -> token_messages.TokenReply:
        """Asks for tokens and waits for the reply.

        Args:
            request: The request.
            until: When to stop waiting, in seconds of time.monotonic().

        Raises:
            TimeoutError: There was no reply in time.
            ports.TransportError: The connection was lost.
            codec.CodecError: The reply is malformed.
        """
        try:
            self._sock.settimeout(_remaining_s(until))
            self._sock.sendall(codec.frame(codec.encode_token_request(request)))
            self._sock.settimeout(_remaining_s(until))
            reply = codec.decode_token_reply(self._reader.read())
        except TimeoutError:
            raise
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc
        self.idle_since = time.monotonic()
        return reply

    def roll_back(self) -> bool:
        """Rolls the open transaction back; returns whether that was sent."""
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(_ROLLBACK)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Closes the connection; the other proxy rolls its transaction back."""
        self._sock.close()


class Links:
    """This proxy's connections to all others; safe to use from any thread."""

    def __init__(self, *, serving: serving_lib.Serving):
        self._serving = serving
        self._lock = threading.Lock()
        self._idle: dict[str, list[Link]] = collections.defaultdict(list)
        self._forwarded = collections.Counter[str]()

    def targets(self, limits: routes.ServiceLimits) -> list[members_lib.Member]:
        """Returns the proxies to forward to, none to serve here."""
        return self._serving.targets(limits)

    def homes(
        self, limits: routes.ServiceLimits, workspace: str, region: str
    ) -> list[members_lib.Member]:
        """Returns the proxies to forward a workspace's statements to."""
        return self._serving.homes(limits, workspace, region)

    def may_be_starting(self) -> bool:
        """Returns whether a proxy that refused a connection may be starting."""
        return self._serving.may_be_starting()

    def acquire(self, target: members_lib.Member) -> Link:
        """Returns a connection that works.

        Raises:
            NotTakenError: There is none.
        """
        link = self._take_idle(target)
        if link is not None:
            try:
                link.ensure_working()
                return link
            except NotTakenError:
                # The other proxy may have restarted, or all old connections
                # are silent: a new one decides whether it works.
                link.close()
                self.close_idle_to(target)
        try:
            return self._connect(target)
        except RefusedError:
            raise
        except NotTakenError as exc:
            self.suspect(target, str(exc))
            raise

    def _take_idle(self, target: members_lib.Member) -> Link | None:
        with self._lock:
            idle = self._idle[target.address]
            return idle.pop() if idle else None

    def _connect(self, target: members_lib.Member) -> Link:
        link = _open(target, CONNECT_TIMEOUT_S)
        link.idle_since = 0.0
        try:
            link.ensure_working()
        except NotTakenError:
            link.close()
            raise
        return link

    def ask_tokens(
        self,
        target: members_lib.Member,
        request: token_messages.TokenRequest,
        timeout_s: float,
    ) -> token_messages.TokenReply:
        """Asks a proxy for tokens of a workspace's rate limit.

        A connection that was idle is used without a check: to ask again costs
        no more, and an answer that is lost costs its tokens only. A proxy that
        does not answer still gets statements, whose check waits for longer.

        Args:
            target: The proxy.
            request: The request.
            timeout_s: Time after which it counts as not answered.

        Raises:
            token_messages.NoAnswerError: There was no valid reply.
        """
        until = time.monotonic() + timeout_s
        link = self._take_idle(target)
        if link is not None:
            try:
                return self._ask_on(link, request, until)
            except ports.TransportError:
                # The other proxy may have restarted.
                self.close_idle_to(target)
        try:
            link = _open(target, _remaining_s(until))
        except RefusedError as exc:
            raise token_messages.NoAnswerError(str(exc), ended=True) from exc
        except NotTakenError as exc:
            raise token_messages.NoAnswerError(str(exc)) from exc
        try:
            return self._ask_on(link, request, until)
        except ports.TransportError as exc:
            raise token_messages.NoAnswerError(str(exc)) from exc

    def _ask_on(
        self, link: Link, request: token_messages.TokenRequest, until: float
    ) -> token_messages.TokenReply:
        try:
            reply = link.ask_tokens(request, until)
        except (TimeoutError, codec.CodecError) as exc:
            link.close()
            raise token_messages.NoAnswerError(str(exc)) from exc
        except ports.TransportError:
            link.close()
            raise
        self.release(link)
        return reply

    def release(self, link: Link) -> None:
        """Returns a connection on which nothing is under way."""
        with self._lock:
            self._idle[link.target.address].append(link)

    def suspect(self, target: members_lib.Member, reason: str) -> None:
        """Forwards nothing to a proxy for a while, since it does not answer."""
        self._serving.suspect(target.name, reason)
        self.close_idle_to(target)

    def close_idle_to(self, target: members_lib.Member) -> None:
        """Closes the idle connections to a proxy that left one unanswered.

        The next statement opens a new one, which shows whether the proxy works.
        A slow statement alone is no reason to forward nothing to it.
        """
        with self._lock:
            idle = self._idle.pop(target.address, [])
        for link in idle:
            link.close()

    def count(self, outcome: str) -> None:
        """Counts a forwarded statement by its outcome, for the metrics."""
        with self._lock:
            self._forwarded[outcome] += 1

    def counts(self) -> dict[str, int]:
        """Returns the number of forwarded statements by outcome."""
        with self._lock:
            return dict(self._forwarded)

    def close_idle(self) -> None:
        """Closes the connections that have been idle for long."""
        now = time.monotonic()
        with self._lock:
            old = [
                link
                for idle in self._idle.values()
                for link in idle
                if now - link.idle_since > IDLE_TIMEOUT_S
            ]
            for idle in self._idle.values():
                idle[:] = [link for link in idle if link not in old]
        for link in old:
            with contextlib.suppress(OSError):
                link.close()


def _open(target: members_lib.Member, timeout_s: float) -> Link:
    """Opens a connection.

    Raises:
        NotTakenError: It could not be opened.
    """
    try:
        sock = socket.create_connection(
            addresses.split(target.address), timeout_s
        )
        frames.set_socket_options(sock)
    except ConnectionRefusedError as exc:
        raise RefusedError(f"no connection: {exc}") from exc
    except (OSError, ValueError) as exc:
        raise NotTakenError(f"no connection: {exc}") from exc
    return Link(target=target, sock=sock)


def _remaining_s(until: float) -> float:
    """Returns the time left, but not 0, which would mean no wait at all."""
    return max(MIN_WAIT_S, until - time.monotonic())
