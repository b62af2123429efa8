"""The proxy daemon of the PostgreSQL path.

It creates the catalog of services, the peers, the synchronization with the
store and the failover, accepts callers, and lets open transactions finish when
it stops.
"""

from concurrent import futures
import contextlib
import itertools
import secrets
import socket
import threading
import time

from bronzehold.connection import acceptor
from bronzehold.connection import authentication
from bronzehold.connection import caller as caller_lib
from bronzehold.connection import caller_frames
from bronzehold.connection import caller_slot
from bronzehold.connection import frames
from bronzehold.connection import handshake
from bronzehold.connection import messages
from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.process import byte_budget
from bronzehold.process import catalog
from bronzehold.process import connection_limit
from bronzehold.process import etcd_store
from bronzehold.process import failover
from bronzehold.process import limit_events
from bronzehold.process import metrics
from bronzehold.process import operator_api
from bronzehold.process import peers
from bronzehold.process import resource_limits
from bronzehold.process import service as service_lib
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import store_sync
from bronzehold.process import tasks
from bronzehold.process import timeline as timeline_lib

BACKLOG = 1024
HANDSHAKE_TIMEOUT_S = 10.0
STOP_POLL_S = 0.02
ACCEPT_END_TIMEOUT_S = 1.0
# The time after the port closes from which a planned stop closes idle callers.
IDLE_CLOSE_DELAY_S = 3.0
# The time before its exit at which a stopping proxy gives the last answers, and
# the largest part of the stop time that it may take.
ANSWER_RESERVE_S = 1.0
MAX_RESERVE_PART = 0.25
# The part of the stop time in which all statements of transactions are run.
UNCONDITIONAL_PART = 0.5
# The size of the secret in a caller's cancel key.
SECRET_BITS = 31


class Proxy:
    """A proxy; tests run several of them in one process.

    Attributes:
        cfg: The proxy's settings.
        timeline: The event log.
        tasks: The background tasks.
        metrics: The request latencies and counts.
        store: The client of the platform's key-value store.
        catalog: The configured services.
        peers: The other proxies, and the service that they call.
        store_sync: The tasks that read from the store and register in it.
        failover: The tasks that change primaries.
    """

    def __init__(self, *, cfg: settings.Settings):
        self.cfg = cfg
        self.timeline = timeline_lib.Timeline(proxy=cfg.name, zone=cfg.zone)
        self.tasks = tasks.Tasks(timeline=self.timeline)
        self.metrics = metrics.Metrics()
        self.store = etcd_store.EtcdStore(target=cfg.platform)
        now = clock.now()
        self._shutdown = shutdown_lib.Shutdown(
            notice_s=_schedule(cfg.timing, now).answer_by - now
        )
        env = service_lib.Environment(
            cfg=cfg,
            timeline=self.timeline,
            metrics=self.metrics,
            spawn_lasting=self.tasks.spawn_lasting,
            # The lambdas defer the lookup: the peers are created after the
            # environment.
            proxy_count=lambda: self.peers.share_count(),  # noqa: PLW0108
            slot_proxy_count=lambda: self.peers.slot_share_count(),  # noqa: PLW0108
            acquire_lane=lambda *args: self.peers.acquire_lane(*args),  # noqa: PLW0108
            release_lane=lambda *args: self.peers.release_lane(*args),  # noqa: PLW0108
            shutdown=self._shutdown,
        )
        self.catalog = catalog.Catalog(env=env)
        self.peers = peers.Peers(
            cfg=cfg,
            timeline=self.timeline,
            catalog=self.catalog,
            tasks=self.tasks,
            shutdown=self._shutdown,
        )
        self.peers.cancel_local = self._cancel
        self.peers.operator = operator_api.OperatorServicer(self)
        self.store_sync = store_sync.StoreSync(
            cfg=cfg,
            timeline=self.timeline,
            catalog=self.catalog,
            store=self.store,
            peers=self.peers,
            tasks=self.tasks,
        )
        self.failover = failover.Failover(
            cfg=cfg,
            timeline=self.timeline,
            catalog=self.catalog,
            store=self.store,
            peers=self.peers,
            tasks=self.tasks,
        )
        self._authenticator = authentication.Authenticator(users=cfg.users)
        self._lock = threading.Lock()
        self._callers: dict[int, caller_lib.Caller] = {}
        self._socks: dict[int, socket.socket] = {}
        self._slots: dict[int, caller_slot.CallerSlot] = {}
        limits = resource_limits.derive(
            memory_mb=cfg.memory_mb,
            max_descriptors=cfg.max_descriptors,
            receive_budget_mb=cfg.receive_budget_mb,
        )
        self._budget = byte_budget.Budget(
            total=limits.budget_bytes,
            report=limit_events.reporter(
                self.timeline, "receive_budget_mb", limits.budget_bytes
            ),
        )
        self._limit = connection_limit.ConnectionLimit(
            limit=limits.callers,
            list_open=self._all_slots,
            count_open=lambda: len(self._slots),
            report=limit_events.reporter(
                self.timeline, "max_descriptors: callers", limits.callers
            ),
        )
        # The callers that were told in their handshake that the proxy stops.
        self._told: set[int] = set()
        self._pids = itertools.count(1)
        self._listener: socket.socket | None = None
        self._accepting: futures.Future | None = None
        self._stopped = threading.Event()

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return self._listener.getsockname()[1] if self._listener else 0

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has started."""
        return self._shutdown.begun.is_set()

    def start(self) -> None:
        """Starts the background tasks and opens the callers' port."""
        self.peers.start()
        self.store_sync.start()
        self.failover.start()
        self._listener = socket.create_server(
            (self.cfg.host, self.cfg.port), backlog=BACKLOG
        )
        self._accepting = self.tasks.spawn("accept", self._accept)
        self.timeline.add(events.ProxyStarted(port=self.port))

    # Callers.

    def _accept(self) -> None:
        acceptor.accept_until_closed(self._listener, self._spawn_caller)

    def _all_slots(self) -> list[caller_slot.CallerSlot]:
        with self._lock:
            return list(self._slots.values())

    def _spawn_caller(self, sock: socket.socket) -> None:
        if not self._limit.make_room():
            failure = errors.ConnectionsShort(proxy=self.cfg.name)
            caller_slot.end(sock, failure)
            sock.close()
            return
        pid = next(self._pids)
        slot = caller_slot.CallerSlot(
            sock=sock, budget=self._budget, proxy=self.cfg.name
        )
        with self._lock:
            self._socks[pid] = sock
            self._slots[pid] = slot
        self.tasks.spawn("caller", lambda: self._serve(sock, pid))

    def _serve(self, sock: socket.socket, pid: int) -> None:
        try:
            frames.set_socket_options(sock)
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            self._handshake_and_serve(sock, pid)
        except (
            caller_lib.DisconnectedError,
            frames.ClosedError,
            frames.FramingError,
            OSError,
        ):
            pass
        finally:
            with self._lock:
                self._callers.pop(pid, None)
                self._socks.pop(pid, None)
                slot = self._slots.pop(pid)
                self._told.discard(pid)
            slot.account.close()
            sock.close()

    def _handshake_and_serve(self, sock: socket.socket, own_pid: int) -> None:
        account = self._slots[own_pid].account
        reader = caller_frames.CallerReader(sock=sock, account=account)
        body = handshake.read_startup_packet(sock, reader)
        if messages.startup_code(body) == messages.CANCEL_REQUEST:
            pid, secret = messages.parse_cancel(body)
            self._cancel(pid, secret)
            self.peers.forward_cancel(pid, secret)
            return
        try:
            caller = self._open_caller(sock, reader, own_pid, body)
        except errors.FailureError as exc:
            frames.send(sock, messages.failure(exc.failure, fatal=True))
            return
        sock.settimeout(None)
        caller.serve()
        caller.close_gracefully()

    def _open_caller(
        self,
        sock: socket.socket,
        reader: caller_frames.CallerReader,
        pid: int,
        body,
    ) -> caller_lib.Caller:
        if messages.startup_code(body) >> 16 != messages.PROTOCOL_MAJOR:
            raise errors.FailureError(
                errors.Malformed(problem="protocol version")
            )
        params = messages.parse_startup(body)
        user = params.get("user", "")
        name = params.get("database", user)
        self._authenticator.authenticate(sock, reader, user)
        served = self.catalog.find(name)
        if served is None:
            raise errors.FailureError(errors.ServiceUnknown(service=name))
        caller = caller_lib.Caller(
            sock=sock,
            reader=reader,
            served=served,
            key=(pid, secrets.randbits(SECRET_BITS)),
            account=self._slots[pid].account,
        )
        # The caller is registered before its cancel key is sent, so that the
        # key works at once and a planned stop includes the caller.
        with self._lock:
            self._callers[pid] = caller
            self._slots[pid].caller = caller
            draining = self._listener is None
        caller.open(params)
        if draining:
            caller.stop()
        return caller

    def _cancel(self, pid: int, secret: int) -> None:
        with self._lock:
            caller = self._callers.get(pid)
        if caller is not None and caller.key == (pid, secret):
            caller.cancel()

    def caller_count(self) -> int:
        """Returns the number of connected callers."""
        with self._lock:
            return len(self._callers)

    # Stopping.

    def drain(self) -> None:
        """Begins a planned stop, which runs in the background.

        The proxy first announces the stop to its peers, unregisters from the
        store and still accepts callers. Then it closes its port and tells
        every caller to stop at its next request outside of a transaction. It
        runs statements of open transactions as long as it can answer them, and
        before its exit answers or tells every caller.
        """
        schedule = _schedule(self.cfg.timing, clock.now())
        if not self._shutdown.begin(schedule):
            return
        self.timeline.add(events.ProxyStopping(callers=self.caller_count()))
        self.tasks.spawn("drain", lambda: self._drain(schedule))

    def _drain(self, schedule: shutdown_lib.Schedule) -> None:
        self.peers.announce_stop()
        self.store_sync.unregister()
        time.sleep(self.cfg.timing.announce_ms * data.MILLISECOND)
        self._close_listener()
        for caller in self.all_callers():
            caller.stop()
        self._wait_for_callers(schedule)
        ended = sum(caller.busy() for caller in self.all_callers())
        self._tell_waiting_callers(idle_only=False)
        while clock.now() < schedule.exit_at and self._is_busy():
            time.sleep(STOP_POLL_S)
            self._tell_waiting_callers(idle_only=False)
        cut = sum(caller.unanswered() for caller in self.all_callers())
        self.timeline.add(events.ProxyStopped(ended=ended, cut=cut))
        self.close()

    def _wait_for_callers(self, schedule: shutdown_lib.Schedule) -> None:
        """Waits until no caller has work, or until the answers are due."""
        idle_close_at = clock.now() + IDLE_CLOSE_DELAY_S
        while clock.now() < schedule.answer_by and self._open_socket_count():
            time.sleep(STOP_POLL_S)
            if clock.now() > idle_close_at:
                # Callers that stay idle or never finish the handshake do not
                # delay the stop.
                self._tell_waiting_callers(idle_only=True)
                if not self._is_busy():
                    return

    def _is_busy(self) -> bool:
        return any(caller.busy() for caller in self.all_callers())

    def _tell_waiting_callers(self, *, idle_only: bool) -> None:
        notice = messages.failure(
            errors.Stopping(proxy=self.cfg.name), fatal=True
        )
        with self._lock:
            for pid in self._socks.keys() - self._callers.keys() - self._told:
                self._told.add(pid)
                frames.send_last(self._socks[pid], notice)
        for caller in self.all_callers():
            caller.tell_stop(idle_only=idle_only)

    def _open_socket_count(self) -> int:
        with self._lock:
            return len(self._socks)

    def all_callers(self) -> list[caller_lib.Caller]:
        """Returns the callers that are connected."""
        with self._lock:
            return list(self._callers.values())

    def _close_listener(self) -> None:
        # Connections that are already in the port's backlog are still served.
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is None:
            return
        acceptor.settle(listener)
        acceptor.accept_pending(listener, self._spawn_caller)
        _close_socket(listener)
        # A connection that the accepting task has taken must be known.
        futures.wait([self._accepting], ACCEPT_END_TIMEOUT_S)

    def close(self) -> None:
        """Stops immediately and cuts the requests in progress."""
        self.tasks.close()
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            _close_socket(listener)
        with self._lock:
            socks = list(self._socks.values())
        for sock in socks:
            _close_socket(sock)
        self.catalog.close()
        self.peers.close()
        self.store.close()
        self._stopped.set()

    def wait(self) -> None:
        """Waits until the proxy is closed."""
        self._stopped.wait()


def _close_socket(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _schedule(timing: settings.Timing, now: float) -> shutdown_lib.Schedule:
    """Returns the schedule of a stop that begins now, in clock.now() time."""
    stop_s = timing.stop_ms * data.MILLISECOND
    closed_at = now + timing.announce_ms * data.MILLISECOND
    reserve_s = min(ANSWER_RESERVE_S, MAX_RESERVE_PART * stop_s)
    return shutdown_lib.Schedule(
        unconditional_until=closed_at + UNCONDITIONAL_PART * stop_s,
        answer_by=closed_at + stop_s - reserve_s,
        exit_at=closed_at + stop_s,
    )
