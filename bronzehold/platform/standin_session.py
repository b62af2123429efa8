"""One session of a proxy on an endpoint of a stand-in group."""

import socket
import time
import typing

from bronzehold.core import statements
from bronzehold.platform import wire

if typing.TYPE_CHECKING:
    from bronzehold.platform import standin_group


class Session:
    """One session of a proxy on an endpoint.

    The transaction state is the letter that READY lines carry: I without a
    transaction, T in a transaction, E in a failed one.
    """

    def __init__(
        self, *, endpoint: "standin_group.Endpoint", sock: socket.socket
    ):
        self._endpoint = endpoint
        self._group = endpoint.group
        self._sock = sock
        self._lines = wire.LineReader(sock=sock)
        self._session_values: dict[str, str] = {}
        # Kind of each prepared statement, READ or WRITE, by its name.
        self._prepared: dict[str, str] = {}
        self._client = ""
        self._state = "I"
        self._is_read_write = False
        self._writes: list[tuple[str, str]] = []
        # The endpoint's epoch at the start of the transaction.
        self._epoch = 0

    def serve(self) -> None:
        """Handles the STARTUP line, then statements until the connection ends.

        Returns if the session is refused. The end of the connection raises
        the exception of the failed read or write.
        """
        endpoint = self._endpoint
        words = self._lines.read_line().decode(wire.ENCODING).split(" ")
        expected = (self._group.settings.service, endpoint.name)
        if words[0] != "STARTUP" or (words[1], words[-1]) != expected:
            self._send("ERROR WRONGNODE another endpoint")
            return
        self._client = " ".join(words[2:-1])
        with self._group.lock:
            is_full = endpoint.connections >= self._group.settings.connections
            endpoint.connections += not is_full
        if is_full:
            self._send("ERROR CONNLIMIT too many connections")
            return
        try:
            self._send(self._ready_line())
            while True:
                line = self._lines.read_line().decode(wire.ENCODING)
                _, request_id, text = line.split(" ", 2)
                endpoint.faults.wait_for_inbound("proxy")
                self._handle_statement(request_id, text)
        finally:
            with self._group.lock:
                endpoint.connections -= 1

    def _ready_line(self) -> str:
        return f"READY {self._state} {self._endpoint.last_position()}"

    def _send(self, *lines: str) -> None:
        self._endpoint.faults.wait_for_outbound("proxy")
        out = "".join(f"{line}\r\n" for line in lines)
        self._sock.sendall(out.encode(wire.ENCODING))

    def _send_result(self, *rows: str, mac: str = "-") -> None:
        lines = [f"ROW {row}" for row in rows]
        self._send(*lines, f"COMPLETE {mac}", self._ready_line())

    def _send_error(self, code: str, text: str = "") -> None:
        if self._state == "T" and code not in ("LAGGING", "BUSY"):
            self._state = "E"
        self._send(f"ERROR {code} {text}", self._ready_line())

    # Statements.

    def _handle_statement(self, request_id: str, text: str) -> None:
        if text.startswith("SINCE "):
            _, since, text = text.split(" ", 2)
            position = wire.parse_position(since)
            with self._group.lock:
                if not self._endpoint.has_position(position):
                    self._endpoint.lagging_refusals += 1
                    self._send_error("LAGGING")
                    return
        command, _, rest = text.partition(" ")
        match command:
            case "STATUS":
                self._send_status()
            case "PAUSE":
                self._endpoint.pause(int(rest))
                self._send_status()
            case "RESUME":
                self._endpoint.paused_term = 0
                self._send_status()
            case "BEGIN":
                self._begin(read_write=rest != "READ")
            case "ROLLBACK":
                self._state, self._writes = "I", []
                self._send_result()
            case "RESET":
                self._session_values.clear()
                self._prepared.clear()
                self._send_result()
            case "SET":
                key, _, value = rest.partition(" ")
                self._session_values[key] = value
                self._send_result()
            case "PARSE":
                key, kind, _ = rest.split(" ", 2)
                self._prepared[key] = kind
                self._send_result()
            case "COMMIT":
                self._commit(request_id, text)
            case _:
                self._run_statement(request_id, command, rest, text)

    def _send_status(self) -> None:
        endpoint = self._endpoint
        endpoint.status_queries += 1
        role = "primary" if endpoint.is_primary else "replica"
        term = (
            endpoint.primary_term if endpoint.is_primary else self._group.term
        )
        held = endpoint.paused_term
        row = f"{role} {term} {endpoint.last_position()} {held} 0 0 1"
        self._send_result(row)

    def _begin(self, *, read_write: bool) -> None:
        if read_write and not self._endpoint.is_primary:
            self._send_error("READONLY", self._endpoint.name)
            return
        self._state, self._is_read_write, self._writes = "T", read_write, []
        self._epoch = self._endpoint.epoch
        self._send_result()

    def _lost_primary_role(self) -> bool:
        endpoint = self._endpoint
        primary_changed = (
            self._epoch != endpoint.epoch or not endpoint.is_primary
        )
        return self._state == "T" and self._is_read_write and primary_changed

    def _commit(self, request_id: str, text: str) -> None:
        with self._group.lock:
            if self._lost_primary_role() and self._writes:
                self._state = "I"
                self._send_error("READONLY", self._endpoint.name)
                return
            self._record(request_id, text)
            position = None
            if self._writes:
                position = self._endpoint.append(self._writes)
            self._state, self._writes = "I", []
        self._send_commit(request_id, position)

    def _run_statement(
        self, request_id: str, command: str, rest: str, text: str
    ) -> None:
        is_write = command == "WRITE"
        if command == "EXECUTE":
            key, _, rest = rest.partition(" ")
            if key not in self._prepared:
                self._send_error("NOSTMT", key)
                return
            is_write = self._prepared[key] == "WRITE"
        endpoint = self._endpoint
        if endpoint.waiting >= self._group.settings.queue:
            endpoint.busy_refusals += 1
            self._send_error("BUSY", endpoint.name)
            return
        endpoint.waiting += 1
        with endpoint.slots:
            endpoint.waiting -= 1
            added_s = endpoint.faults.current.added_s
            time.sleep(self._group.settings.work_s + added_s)
            self._execute(request_id, rest, text, is_write=is_write)

    def _execute(
        self, request_id: str, rest: str, text: str, *, is_write: bool
    ) -> None:
        endpoint = self._endpoint
        item, _, value = rest.partition(" ")
        position = None
        with self._group.lock:
            if self._lost_primary_role() or (
                is_write and not endpoint.is_primary
            ):
                self._send_error("READONLY", endpoint.name)
                return
            self._record(request_id, text)
            rows = [] if is_write else [endpoint.read(item)]
            if is_write and self._state == "T":
                self._writes.append((item, value))
            elif is_write:
                position = endpoint.append([(item, value)])
        self._send_commit(request_id, position, *rows)

    def _send_commit(
        self,
        request_id: str,
        position: statements.LogPosition | None,
        *rows: str,
    ) -> None:
        """Answers a statement once what it committed, if any, is confirmed."""
        if position is None or self._endpoint.confirm(position):
            self._send_outcome(request_id, *rows)
        else:
            # The outcome is not known here, so the connection ends.
            self._sock.shutdown(socket.SHUT_RDWR)

    def _record(self, request_id: str, text: str) -> None:
        self._endpoint.record(
            request_id,
            text,
            values=tuple(sorted(self._session_values.items())),
            in_transaction=self._state == "T",
            client=self._client,
        )

    def _send_outcome(self, request_id: str, *rows: str) -> None:
        if self._endpoint.answers_to_drop:
            self._endpoint.answers_to_drop -= 1
            return
        if self._endpoint.faults.consume("lose_answers"):
            self._sock.shutdown(socket.SHUT_RDWR)
            return
        self._send_result(*rows, mac=f"mac.{self._endpoint.name}.{request_id}")
