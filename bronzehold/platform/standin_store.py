"""A stand-in for the platform's store and failover call, over HTTP and JSON.

The store keeps keys with revisions and leases in memory, and a history that
clients watch. The failover call promotes an endpoint of a stand-in group,
unless its fencing token is lower than one already used for that group.
"""

import base64
import http.server
import itertools
import json
import threading
import time
import typing
import urllib.parse

from bronzehold.platform import standin_group
from bronzehold.platform import standin_journal

# Longest wait of a watch, and of a call while unresponsive, between checks.
WATCH_POLL_INTERVAL_S = 0.01
LEASE_CHECK_INTERVAL_S = 0.05
FIRST_REVISION = 1
ERA_HEADER = "Store-Era"


class Store:
    """The store and the failover call, with injectable faults.

    Attributes:
        era: Number in the header of each answer, None for no header.
        unresponsive: Whether calls stay unanswered until this is reset or the
            store closes.
        error_status: HTTP status that answers every call in place of its
            result, 0 for none.
        lose_answers: Number of next transactions that are executed but whose
            answers are lost.
        promotion_orders: The accepted failover calls: service, endpoint,
            holder and fencing token of each.
        lose_promotion_answers: Number of next accepted failover calls that
            take effect but whose answers are lost.
    """

    def __init__(self, *, groups: dict[str, standin_group.Group]):
        self.era: int | None = None
        self.unresponsive = False
        self.error_status = 0
        self.lose_answers = 0
        self.lose_promotion_answers = 0
        self.promotion_orders: list[tuple[str, str, str, int]] = []
        self._groups = groups
        self._lock = threading.Condition()
        self._items: dict[str, dict] = {}
        # Changes since the last compaction, in order of their revisions.
        self._history: list[dict] = []
        self._compacted_revision = 0
        self._revision = FIRST_REVISION
        # TTL in seconds and expiry in seconds of time.monotonic(), by lease id.
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._journal = standin_journal.Journal()
        # Highest fencing token of any failover call, by service.
        self._highest_tokens: dict[str, int] = {}
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._handler_class()
        )
        self._server.daemon_threads = True
        # Clients may disconnect during a call. The default handler would print
        # a traceback for each.
        self._server.handle_error = lambda *_: None
        self._closed = threading.Event()

    @property
    def address(self) -> str:
        """The host and port on which the store listens."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def start(self) -> None:
        """Starts to serve calls and to expire leases."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def close(self) -> None:
        """Stops serving calls and expiring leases."""
        self._closed.set()
        self._server.shutdown()
        self._server.server_close()

    # Direct access, for what the operator and the endpoints write.

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key.

        Args:
            key: Key to write.
            value: New value.
            lease: Id of the lease that the key is attached to, 0 for none.
        """
        with self._lock:
            self._put(key, base64.b64encode(value).decode(), lease)

    def remove(self, key: str) -> None:
        """Removes a key if it exists."""
        with self._lock:
            self._remove(key)

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key, None if it does not exist."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def compact(self) -> None:
        """Discards the history.

        Watches from an older revision are answered with status 410.
        """
        with self._lock:
            self._history.clear()
            self._compacted_revision = self._revision
            self._lock.notify_all()

    def return_from_copy(
        self, age_s: float, *, leases_lost: bool = False
    ) -> None:
        """Replaces the content by that of some time ago, in a new era.

        Later revisions and lease ids are issued again. The leases of the copy
        are valid for their whole TTL from now.

        Args:
            age_s: Age of the copy in seconds.
            leases_lost: Whether the leases of the copy are lost too. Their keys
                then stay until somebody writes them.
        """
        with self._lock:
            copy = self._journal.restore(age_s, FIRST_REVISION)
            self._items = copy.items
            self._history = copy.history
            self._revision = copy.revision
            self._compacted_revision = min(
                self._compacted_revision, copy.revision
            )
            now = time.monotonic()
            self._leases = {}
            if not leases_lost:
                self._leases = {
                    lease_id: (ttl_s, now + ttl_s)
                    for lease_id, ttl_s in copy.leases.items()
                }
            self._lease_ids = itertools.count(copy.last_lease + 1)
            if self.era is not None:
                self.era += 1
            self._lock.notify_all()

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)
        self._journal.note_change(item)
        self._lock.notify_all()

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        event = {"key": key, "revision": self._revision, "tombstone": True}
        self._history.append(event)
        self._journal.note_change(event)
        self._lock.notify_all()

    def _expire_leases(self) -> None:
        while not self._closed.wait(LEASE_CHECK_INTERVAL_S):
            now = time.monotonic()
            with self._lock:
                for lease_id, (_, expires_at) in list(self._leases.items()):
                    if expires_at < now:
                        self._revoke_lease(lease_id)

    def _revoke_lease(self, lease_id: int) -> bool:
        found = self._leases.pop(lease_id, None) is not None
        self._journal.note_lease_end(lease_id)
        for key, item in list(self._items.items()):
            if item["lease"] == lease_id:
                self._remove(key)
        return found

    # HTTP calls.

    def handle_in_era(
        self, method: str, path: str, *args: typing.Any
    ) -> tuple[int, dict, int | None]:
        """Executes a call and returns its result and the era it ran in."""
        if path == "/failover":
            # It calls back into the store, and belongs to no era.
            return *self.handle_call(method, path, *args), None
        with self._lock:
            return *self.handle_call(method, path, *args), self.era

    def handle_call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict,
        headers: typing.Mapping[str, str],
    ) -> tuple[int, dict]:
        """Executes a call.

        Args:
            method: HTTP method.
            path: Path of the URL, without the query.
            query: Parameters of the query.
            body: Decoded JSON body.
            headers: HTTP headers.

        Returns:
            The HTTP status and the fields of the JSON body of the answer. A
            status of 0 closes the connection without an answer.
        """
        if path == "/failover":
            return self._promote(body, headers)
        name, _, lease_id = path.removeprefix("/bronzehold/").partition("/")
        with self._lock:
            match name:
                case "kv-key":
                    item = self._items.get(query["key"])
                    if item is None:
                        return 404, {}
                    return 200, {**item, "store_revision": self._revision}
                case "kv-range":
                    items = [
                        item
                        for key, item in sorted(self._items.items())
                        if key.startswith(query["prefix"])
                    ]
                    return 200, {
                        "items": items,
                        "has_more": False,
                        "store_revision": self._revision,
                    }
                case "kv-watch":
                    return self._watch(query)
                case "kv-txn":
                    return self._apply_transaction(body)
                case "kv-lease":
                    lease_id = next(self._lease_ids)
                    ttl_s = body["ttl_ms"] / 1000
                    self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
                    self._journal.note_lease(lease_id, ttl_s)
                    return 200, {"lease": lease_id, "ttl_ms": body["ttl_ms"]}
                case "kv-keep":
                    return self._keep_alive(int(lease_id))
                case "kv-lease-end" if method == "DELETE":
                    return (
                        200 if self._revoke_lease(int(lease_id)) else 404
                    ), {}
        return 404, {}

    def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self._compacted_revision <= after <= self._revision:
                return 410, {}
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self._revision,
                }
            self._lock.wait(min(left, WATCH_POLL_INTERVAL_S))

    def _apply_transaction(self, body: dict) -> tuple[int, dict]:
        for condition in body["precondition"]:
            revision = self._items.get(condition["key"], {}).get("revision", 0)
            if revision != condition["revision"]:
                return 412, {"items": []}
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for put in body["puts"]:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}

    def _keep_alive(self, lease_id: int) -> tuple[int, dict]:
        held = self._leases.get(lease_id)
        if held is None:
            return 404, {}
        ttl_s = held[0]
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def _promote(
        self, body: dict, headers: typing.Mapping[str, str]
    ) -> tuple[int, dict]:
        service, endpoint_id = body["service"], body["id"]
        token = int(headers["Fencing-Token"])
        if token < self._highest_tokens.get(service, 0):
            return 409, {"error": "a higher fence was seen"}
        self._highest_tokens[service] = token
        group = self._groups[service]
        endpoint = group.endpoints.get(endpoint_id)
        if endpoint is None or not endpoint.running:
            return 409, {"error": "no such server is running"}
        holder = headers["Duty-Holder"]
        self.promotion_orders.append((service, endpoint_id, holder, token))
        if not endpoint.is_primary:
            group.promote(endpoint_id)
        if self.lose_promotion_answers:
            self.lose_promotion_answers -= 1
            return 0, {}
        return 200, {}

    def consume_lost_answer(self, path: str) -> bool:
        """Returns whether to drop the answer to a call.

        Decrements lose_answers if it does.
        """
        if "kv-txn" not in path or not self.lose_answers:
            return False
        self.lose_answers -= 1
        return True

    def _handler_class(self) -> type[http.server.BaseHTTPRequestHandler]:
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _handle_request(self) -> None:
                path, _, query = self.path.partition("?")
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length) or b"{}")
                while store.unresponsive and not store._closed.wait(
                    WATCH_POLL_INTERVAL_S
                ):
                    continue
                status, fields, era = store.error_status, {}, store.era
                if not status:
                    status, fields, era = store.handle_in_era(
                        self.command,
                        path,
                        dict(
                            urllib.parse.parse_qsl(
                                query, keep_blank_values=True
                            )
                        ),
                        body,
                        self.headers,
                    )
                if not status or store.consume_lost_answer(path):
                    self.close_connection = True
                    return
                out = json.dumps(fields).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(out)))
                if era is not None:
                    self.send_header(ERA_HEADER, str(era))
                self.end_headers()
                self.wfile.write(out)

            do_GET = do_POST = do_DELETE = _handle_request  # noqa: N815

            def log_message(self, *_args) -> None:
                return None

        return Handler
