"""Serves the statements that other proxies forward to this one.

A forwarded statement is always served here and never forwarded again, so that
two proxies which disagree about the serving set cannot pass it around. Each
connection is a task of its own; an open transaction ends with it.
"""

import contextlib
import itertools
import socket
import threading

from bronzehold.connection import acceptor
from bronzehold.connection import forward_codec as codec
from bronzehold.connection import frames
from bronzehold.connection import peer_reader
from bronzehold.connection import platform_blocks as blocks
from bronzehold.connection import platform_runner
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import request_events
from bronzehold.core import statements
from bronzehold.process import byte_budget
from bronzehold.process import connection_limit
from bronzehold.process import limit_events
from bronzehold.process import platform_process
from bronzehold.process import token_messages
from bronzehold.proto import forward_pb2 as pb

ACCEPT_BACKLOG = 1024
SEND_TIMEOUT_S = 2.0
# The other proxy ends an idle transaction; if it has died, this one does so
# this much later.
IDLE_TRANSACTION_GRACE_S = 1.0
_PONG = codec.frame(pb.Reply())


class ForwardSession:
    """Serves one connection of another proxy.

    While the process stops, statements that belong to no open transaction are
    refused as not run, so that their proxies can run them elsewhere. end, busy
    and report_cut may be called from any task; all other methods run in the
    connection's own task.
    """

    def __init__(
        self, *, sock: socket.socket, process: platform_process.PlatformProcess
    ):
        self._sock = sock
        self._process = process
        self._account = process.budget.open_account(self._abort)
        self._reader = peer_reader.PeerReader(sock=sock, account=self._account)
        self._session = platform_session.PlatformSession(name="")
        self._runner = platform_runner.Runner(session=self._session)
        self._lock = threading.Lock()
        self._waiting = True
        self._waiting_since = clock.now()
        self._is_closing = False
        # The call that has been read and not been answered yet.
        self._unanswered: codec.Call | None = None

    def serve(self) -> None:
        """Serves statements until the other proxy disconnects."""
        try:
            frames.set_socket_options(self._sock)
            while True:
                self._handle(self._receive())
        except TimeoutError:
            return
        except codec.CodecError:
            self._process.timeline.count("forwarded message that is malformed")
        except byte_budget.ShortError:
            self._process.timeline.count("forwarded message without memory")
        except Exception as exc:
            self.report_cut(f"{type(exc).__name__}: {exc}")
            raise
        finally:
            self._account.close()
            self._runner.end_block(blocks.Idle())

    def _abort(self, _phase: byte_budget.Phase) -> None:
        """Ends a stalled transfer, to free its memory."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def idle_since(self) -> tuple[connection_limit.Idleness, float] | None:
        """See connection_limit.Candidate."""
        with self._lock:
            if self._is_closing or not self._waiting:
                return None
            return connection_limit.Idleness.WAITING, self._waiting_since

    def close_idle(self) -> None:
        """See connection_limit.Candidate."""
        self._is_closing = True
        self.end()

    def report_cut(self, cause: str) -> bool:
        """Logs the call that ends without a reply, if there is one.

        Args:
            cause: The error that ends it, or that the process exits.

        Returns:
            Whether there is one.
        """
        call = self._unanswered
        if call is None:
            return False
        self._process.timeline.add_frequent(
            request_events.RequestCut(
                request=call.request.id,
                session=self._session.name,
                group=call.route.service,
                work=type(call.request.statement).__name__,
                endpoint=self._runner.exchange.endpoint,
                in_transaction=call.block == pb.NEXT,
                took_ms=int((clock.now() - call.request.arrived) * 1000),
                cause=cause,
            )
        )
        return True

    def _receive(self) -> pb.Request:
        with self._lock:
            self._waiting = isinstance(self._runner.block, blocks.Idle)
            self._waiting_since = clock.now()
        try:
            self._sock.settimeout(self._receive_timeout_s())
            return codec.parse_request(self._reader.read())
        finally:
            with self._lock:
                self._waiting = False

    def _receive_timeout_s(self) -> float | None:
        match self._runner.block:
            case blocks.Pinned():
                return (
                    self._process.table().idle_transaction_s
                    + IDLE_TRANSACTION_GRACE_S
                )
            case _:
                return None

    def _handle(self, request: pb.Request) -> None:
        match request.kind:
            case pb.PING:
                self._send(_PONG)
            case pb.ROLLBACK:
                self._runner.end_block(blocks.Idle())
            case pb.TOKENS:
                self._grant_tokens(codec.decode_token_request(request))
            case _:
                arrived = clock.now()
                call = codec.decode_call(request, arrived)
                self._unanswered = call
                reply = self._run(request, call)
                data = codec.frame(codec.encode_reply(reply))
                self._account.hold(
                    peer_reader.COPIES * len(data), byte_budget.Phase.SENDING
                )
                self._send(data)
                self._unanswered = None
                self._clear_block()

    def _grant_tokens(self, request: token_messages.TokenRequest) -> None:
        limiter = self._process.rate_limiter
        reply = token_messages.TokenReply()
        if limiter is not None:
            reply = limiter.grant(request)
        self._send(codec.frame(codec.encode_token_reply(reply)))

    def _clear_block(self) -> None:
        # The other proxy keeps the state of a transaction that has failed or
        # has no endpoint yet.
        if not isinstance(self._runner.block, blocks.Pinned):
            self._runner.end_block(blocks.Idle())

    def _run(self, request: pb.Request, call: codec.Call) -> codec.Reply:
        if call.block != pb.NEXT:
            self._runner.end_block(blocks.Idle())
            self._session = platform_session.PlatformSession(name="")
            self._runner = platform_runner.Runner(session=self._session)
        self._runner.exchange.reset()
        codec.apply_session(request, self._session)
        answer = None
        failure = None
        try:
            answer = self._run_statement(call)
        except errors.FailureError as exc:
            failure = exc.failure
            self._log_failure(call, failure)
        return codec.Reply(
            state=blocks.state(self._runner.block),
            endpoint=self._runner.exchange.endpoint,
            last_write=self._session.last_write,
            answer=answer,
            failure=failure,
        )

    def _run_statement(self, call: codec.Call) -> statements.Completed:
        service = self._process.service(call.route.service)
        # Without the service, the sender knows a newer configuration.
        if service is None or not self._accepts(call):
            if call.block == pb.NEXT:
                self._runner.end_block(
                    blocks.Idle() if call.commits else blocks.Failed()
                )
            raise errors.FailureError(errors.Stopping(proxy=self._process.name))
        service.note_forwarded()
        context = blocks.StatementContext(
            route=call.route,
            service=service,
            timeout_at=call.deadline,
            shutdown=self._process.shutdown,
            workspace=call.workspace,
            version=call.version,
            may_redirect=bool(call.workspace) and not call.redirected,
            may_start=self._account.may_start,
            hold_answer=self._hold_answer,
        )
        req = call.request
        match call.block:
            case pb.NONE if call.writes:
                return self._runner.write(req, context, call.prepared_name)
            case pb.NONE:
                return self._runner.read(req, context, call.prepared_name)
            case pb.FIRST:
                self._runner.begin(read_only=call.read_only)
            case _ if not isinstance(self._runner.block, blocks.Pinned):
                raise errors.FailureError(errors.InFailedTransaction())
        return self._runner.run_in_block(
            req, context, call.prepared_name, writes=call.writes
        )

    def _accepts(self, call: codec.Call) -> bool:
        """Returns whether a stop, if one has begun, leaves time for a call."""
        shutdown = self._process.shutdown
        if call.block == pb.NEXT:
            return shutdown.accepts(call.deadline - clock.now())
        return not shutdown.begun.is_set()

    def _send(self, data: bytes) -> None:
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise ports.TransportError(str(exc)) from exc

    def _log_failure(self, call: codec.Call, failure: errors.Failure) -> None:
        took_s = clock.now() - call.request.arrived
        self._process.timeline.add_frequent(
            request_events.ForwardedRequestFailed(
                request=call.request.id,
                session=self._session.name,
                group=call.route.service,
                endpoint=self._runner.exchange.endpoint,
                failure=type(failure).__name__,
                detail=errors.report(failure).message,
                took_ms=int(took_s * 1000),
            )
        )

    def _hold_answer(self, size: int) -> None:
        self._account.hold(peer_reader.COPIES * size, byte_budget.Phase.RUNNING)

    def end(self) -> None:
        """Closes the connection once the request in progress is answered."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def busy(self) -> bool:
        """Returns whether a request or a transaction is in progress."""
        with self._lock:
            return not self._waiting


class ForwardServer:
    """Accepts connections of other proxies, each served in its own task."""

    def __init__(
        self, *, host: str, port: int, process: platform_process.PlatformProcess
    ):
        self._process = process
        self._numbers = itertools.count(1)
        self._sock = socket.create_server((host, port), backlog=ACCEPT_BACKLOG)
        self._limit = connection_limit.ConnectionLimit(
            limit=process.limits.peers,
            list_open=process.forwarded.list,
            count_open=process.forwarded.count,
            report=limit_events.reporter(
                process.timeline,
                "max_descriptors: peers",
                process.limits.peers,
            ),
        )

    def run(self) -> None:
        """Accepts connections until close is called."""
        acceptor.accept_until_closed(self._sock, self._spawn)

    def _spawn(self, sock: socket.socket) -> None:
        if not self._limit.make_room():
            sock.close()
            return
        key = f"forward {next(self._numbers)}"
        session = ForwardSession(sock=sock, process=self._process)
        self._process.forwarded.add(key, session)
        try:
            self._process.tasks.spawn(key, lambda: self._serve(sock, key))
        except RuntimeError:
            self._process.forwarded.remove(key)
            raise

    def _serve(self, sock: socket.socket, key: str) -> None:
        with sock, contextlib.suppress(ports.TransportError, OSError):
            self._process.forwarded.serve(key)

    def close(self) -> None:
        """Stops accepting connections; open ones continue."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
