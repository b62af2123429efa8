"""A stand-in of one service whose replicas confirm commits.

A service has one primary and its replicas. With sync_replicas 1, a commit is
acknowledged once one running replica has received it. Servers may be added and
may leave while clients write. The failover call makes the named server lead the
next term with what it has received by then; replicas that are ahead of it are
rolled back.
"""

import collections.abc
import contextlib
import dataclasses
import socket
import threading
import time

REPLICATION_INTERVAL_S = 0.002
ACCEPT_BACKLOG = 128
MAX_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One commit.

    Attributes:
        position: Term and number.
        writes: Items with their data.
        request_id: Id of the statement that committed.
        at: Time of the commit, in seconds of time.monotonic().
    """

    position: tuple[int, int]
    writes: tuple[tuple[str, str], ...]
    request_id: str
    at: float


class Server:
    """One backend.

    Attributes:
        name: Its id.
        zone: Its zone.
        log: Its commits.
        is_primary: Whether it leads.
        running: Whether it accepts connections.
        held_term: Term of the PAUSE in force, 0 for none.
        connections: Number of its sessions.
    """

    def __init__(self, *, database: "Database", name: str, zone: str):
        self.database = database
        self.name = name
        self.zone = zone
        self.log: list[Entry] = []
        self.is_primary = False
        self.running = False
        self.held_term = 0
        self.connections = 0
        self.led_term = 1
        self._sockets: set[socket.socket] = set()
        self._listener = socket.create_server(
            ("127.0.0.1", 0), backlog=ACCEPT_BACKLOG
        )

    @property
    def address(self) -> str:
        """Its host and port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def start(self) -> None:
        """Accepts connections from now on."""
        self.running = True
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Ends the server; its connections are closed."""
        with self.database.changed:
            self.running = False
            self.database.changed.notify_all()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def position(self) -> tuple[int, int]:
        """Returns the last position of the log."""
        last = self.log[-1].position if self.log else (1, 0)
        if self.is_primary and last[0] < self.led_term:
            return self.led_term, last[1]
        return last

    def has(self, position: tuple[int, int]) -> bool:
        """Returns whether the log holds a position."""
        if position[1] == 0 or position == self.position():
            return True
        return any(entry.position == position for entry in self.log)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            _Session(server=self, sock=sock).serve()
        except (OSError, ValueError, ConnectionError):
            return
        finally:
            self._sockets.discard(sock)
            sock.close()


class Database:
    """The servers of a service, their replication and the failover call.

    Attributes:
        name: Name of the service.
        endpoints: The servers, by id.
        changed: Guards all state; notified of each change of a log.
        acknowledged: Positions of the acknowledged commits, by statement id.
        arrivals: The statements that reached a server, but COMMIT.
        losses: For each promotion, the acknowledged commits that the promoted
            server lacks.
        on_role_change: Called after each promotion.
    """

    def __init__(
        self,
        *,
        name: str,
        record: collections.abc.Callable[[str], None],
        sync_replicas: int,
        lag_s: float = 0.008,
        promote_s: float = 0.6,
        work_s: float = 0.004,
    ):
        self.name = name
        self.endpoints: dict[str, Server] = {}
        self.changed = threading.Condition(threading.RLock())
        self.term = 1
        self.work_s = work_s
        self.sync_replicas = sync_replicas
        self.losses: list[tuple[str, list[str]]] = []
        self.acknowledged: dict[str, tuple[int, int]] = {}
        # Server, statement id and time of each statement that reached one.
        self.arrivals: list[tuple[str, str, float]] = []
        self.record = record
        self.on_role_change: collections.abc.Callable[[], None] = lambda: None
        self._lag_s = lag_s
        self._promote_s = promote_s
        self._closed = threading.Event()

    def add(self, name: str, zone: str) -> Server:
        """Starts a server; the first one leads."""
        server = Server(database=self, name=name, zone=zone)
        with self.changed:
            server.is_primary = not self.endpoints
            self.endpoints[name] = server
        server.start()
        self.record(f"server {name} starts")
        return server

    def start(self) -> None:
        """Starts the replication."""
        threading.Thread(target=self._replicate, daemon=True).start()

    def close(self) -> None:
        """Ends all servers."""
        self._closed.set()
        for server in list(self.endpoints.values()):
            if server.running:
                server.stop()

    def primary(self) -> Server:
        """Returns the server that leads, even if it has ended."""
        return next(s for s in self.endpoints.values() if s.is_primary)

    def _replicate(self) -> None:
        while not self._closed.wait(REPLICATION_INTERVAL_S):
            with self.changed:
                primary = self.primary()
                if not primary.running:
                    continue
                until = time.monotonic() - self._lag_s
                for server in self.endpoints.values():
                    if server is primary or not server.running:
                        continue
                    if server.held_term:
                        continue
                    for entry in primary.log[len(server.log) :]:
                        if entry.at > until:
                            break
                        server.log.append(entry)
                        self.changed.notify_all()

    def is_confirmed(self, position: tuple[int, int]) -> bool:
        """Returns whether enough replicas have received a commit."""
        count = sum(
            s.running and not s.is_primary and s.has(position)
            for s in self.endpoints.values()
        )
        return count >= self.sync_replicas

    # The failover call.

    def promote(self, name: str) -> None:
        """Lets a server lead the next term after some hundred ms."""
        self.record(f"the failover call names {name}")
        threading.Thread(
            target=self._promote_later, args=(name,), daemon=True
        ).start()

    def _promote_later(self, name: str) -> None:
        time.sleep(self._promote_s)
        with self.changed:
            chosen = self.endpoints[name]
            if chosen.is_primary or not chosen.running:
                return
            held = {entry.request_id for entry in chosen.log}
            lost = [i for i in self.acknowledged if i not in held]
            self.term += 1
            for server in self.endpoints.values():
                server.is_primary = server is chosen
                server.held_term = 0
                server.log = [e for e in server.log if e.request_id in held]
            chosen.led_term = self.term
            self.losses.append((name, lost))
            for request_id in lost:
                del self.acknowledged[request_id]
            self.changed.notify_all()
        self.record(
            f"{name} leads term {self.term}; acknowledged commits that its log "
            f"lacks: {len(lost)} {' '.join(lost[:20])}"
        )
        self.on_role_change()


class _Session:
    """One connection to a server."""

    def __init__(self, *, server: Server, sock: socket.socket):
        self._server = server
        self._database = server.database
        self._sock = sock
        self._buf = b""
        self._state = "I"
        self._writes: list[tuple[str, str]] = []
        self._term = 0
        self._plain = False
        self._kinds: dict[str, str] = {}

    def _read_line(self) -> str:
        while b"\r\n" not in self._buf:
            chunk = self._sock.recv(65536)
            if not chunk:
                raise ConnectionError("closed")
            self._buf += chunk
        line, _, self._buf = self._buf.partition(b"\r\n")
        return line.decode("latin-1")

    def _send(self, *lines: str) -> None:
        out = "".join(f"{line}\r\n" for line in lines)
        self._sock.sendall(out.encode("latin-1"))

    def _ready(self) -> str:
        with self._database.changed:
            term, number = self._server.position()
        return f"READY {self._state} {term}.{number}"

    def _complete(self, *rows: str, mac: str = "-") -> None:
        self._send(
            *(f"ROW {row}" for row in rows), f"COMPLETE {mac}", self._ready()
        )

    def _error(self, code: str) -> None:
        if self._state == "T" and code not in ("LAGGING", "BUSY"):
            self._state = "E"
        self._send(f"ERROR {code} {self._server.name}", self._ready())

    def serve(self) -> None:
        """Answers statements until the connection ends."""
        words = self._read_line().split(" ")
        expected = (self._database.name, self._server.name)
        if words[0] != "STARTUP" or (words[1], words[-1]) != expected:
            self._send("ERROR WRONGNODE another server")
            return
        with self._database.changed:
            is_full = self._server.connections >= MAX_CONNECTIONS
            self._server.connections += not is_full
        if is_full:
            self._send("ERROR CONNLIMIT too many")
            return
        try:
            self._send(self._ready())
            while True:
                _, request_id, text = self._read_line().split(" ", 2)
                self._handle(request_id, text)
        finally:
            with self._database.changed:
                self._server.connections -= 1

    def _handle(self, request_id: str, text: str) -> None:
        server = self._server
        if text.startswith("SINCE "):
            _, since, text = text.split(" ", 2)
            term, number = since.split(".")
            with self._database.changed:
                is_there = server.has((int(term), int(number)))
            if not is_there:
                self._error("LAGGING")
                return
        command, _, rest = text.partition(" ")
        match command:
            case "STATUS" | "PAUSE" | "RESUME":
                self._status(command, rest)
            case "BEGIN":
                if rest != "READ" and not server.is_primary:
                    self._error("READONLY")
                    return
                self._state, self._writes = "T", []
                self._plain, self._term = rest != "READ", self._database.term
                self._complete()
            case "ROLLBACK":
                self._state, self._writes = "I", []
                self._complete()
            case "PARSE":
                name, kind, _ = rest.split(" ", 2)
                self._kinds[name] = kind
                self._complete()
            case "SET" | "RESET":
                self._complete()
            case "READ" | "WRITE" | "EXECUTE":
                self._run(request_id, command, rest)
            case "COMMIT":
                self._commit(request_id)
            case _:
                self._error("MALFORMED")

    def _status(self, command: str, rest: str) -> None:
        server, database = self._server, self._database
        with database.changed:
            if command == "RESUME":
                server.held_term = 0
            elif command == "PAUSE" and not server.is_primary:
                term = int(rest)
                server.held_term = max(
                    server.held_term, term if term > database.term else 0
                )
            role = "primary" if server.is_primary else "replica"
            term, number = server.position()
            row = (
                f"{role} {database.term} {term}.{number} {server.held_term} "
                f"0 0 {server.connections}"
            )
        if command != "STATUS":
            database.record(f"{server.name} gets {command} {rest}: {row}")
        self._complete(row)

    def _has_lost_lead(self) -> bool:
        return (
            self._state == "T"
            and self._plain
            and (
                self._term != self._database.term or not self._server.is_primary
            )
        )

    def _run(self, request_id: str, command: str, rest: str) -> None:
        self._database.arrivals.append(
            (self._server.name, request_id, time.monotonic())
        )
        is_write = command == "WRITE"
        if command == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._kinds:
                self._error("NOSTMT")
                return
            is_write = self._kinds[name] == "WRITE"
        time.sleep(self._database.work_s)
        item, _, data = rest.partition(" ")
        with self._database.changed:
            if self._has_lost_lead() or (
                is_write and not self._server.is_primary
            ):
                self._error("READONLY")
                return
            rows = [] if is_write else [self._value(item)]
            if is_write and self._state == "T":
                self._writes.append((item, data))
            elif is_write:
                self._append(request_id, [(item, data)])
                return
        self._complete(*rows, mac=f"mac.{self._server.name}.{request_id}")

    def _value(self, item: str) -> str:
        for entry in reversed(self._server.log):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "none"

    def _commit(self, request_id: str) -> None:
        with self._database.changed:
            if self._has_lost_lead() and self._writes:
                self._state = "I"
                self._error("READONLY")
                return
            writes, self._writes, self._state = self._writes, [], "I"
            if writes:
                self._append(request_id, writes)
                return
        self._complete(mac=f"mac.{self._server.name}.{request_id}")

    def _append(self, request_id: str, writes: list[tuple[str, str]]) -> None:
        """Commits, waits for the replicas and acknowledges the commit."""
        server, database = self._server, self._database
        position = (server.led_term, server.position()[1] + 1)
        entry = Entry(
            position=position,
            writes=tuple(writes),
            request_id=request_id,
            at=time.monotonic(),
        )
        server.log.append(entry)
        while not database.is_confirmed(position):
            database.changed.wait(0.05)
            if not server.running or entry not in server.log:
                # Another server leads now and does not have the commit.
                raise ConnectionError("lost the lead")
        database.acknowledged[request_id] = position
        self._complete(mac=f"mac.{server.name}.{request_id}")
