"""Client of the platform's key-value service, which speaks JSON over HTTP.

Client implements ports.Store. promoter.py shares HttpClient for its calls.
"""

import base64
import http.client
import json
import threading
import urllib.parse

from bronzehold.core import json_text
from bronzehold.core import ports

# The service usually answers within a few milliseconds, and within a few
# hundred milliseconds when it is slow.
REQUEST_TIMEOUT_S = 1.0
# Time past the requested wait after which a watch without an answer fails.
WATCH_TIMEOUT_MARGIN_S = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412


class _Response:
    """The status and body of an HTTP response."""

    def __init__(self, *, status: int, body: bytes):
        self.status = status
        self._body = body

    def text(self) -> str:
        return self._body.decode("utf8", "replace")

    def json_object(self) -> dict:
        try:
            value = json_text.parse(self._body)
        except ValueError as exc:
            raise ports.StoreError("an answer that is no JSON") from exc
        if not isinstance(value, dict):
            raise ports.StoreError("an answer that is no object")
        return value


class HttpClient:
    """Sends HTTP requests to one address, on one connection per thread."""

    def __init__(self, *, address: str):
        self._address = address
        self._thread_local = threading.local()

    def call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        *,
        timeout_s: float = REQUEST_TIMEOUT_S,
        headers: dict[str, str] | None = None,
    ) -> _Response:
        """Sends one request and returns its response.

        Args:
            method: HTTP method.
            path: Path with its query string.
            body: JSON object to send, None for no body.
            timeout_s: Timeout of each socket operation in seconds.
            headers: Additional request headers.

        Raises:
            ports.StoreError: No response was received; the request may still
                have taken effect.
        """
        conn = getattr(self._thread_local, "conn", None)
        if conn is None:
            conn = http.client.HTTPConnection(self._address)
            self._thread_local.conn = conn
        conn.timeout = timeout_s
        if conn.sock is not None:
            conn.sock.settimeout(timeout_s)
        request_headers = dict(headers or {})
        payload = None
        if body is not None:
            payload = json.dumps(body).encode()
            request_headers["Content-Type"] = "application/json"
        try:
            conn.request(method, path, body=payload, headers=request_headers)
            response = conn.getresponse()
            return _Response(status=response.status, body=response.read())
        except (OSError, http.client.HTTPException) as exc:
            # After a lost response, the connection cannot be reused.
            conn.close()
            self._thread_local.conn = None
            raise ports.StoreError(type(exc).__name__) from exc


class Client:
    """Implements ports.Store; safe for concurrent use by several threads."""

    def __init__(self, *, address: str):
        self._http = HttpClient(address=address)

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        *,
        expected: tuple[int, ...] = (HTTP_OK,),
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> _Response:
        response = self._http.call(
            method, f"/bronzehold/{path}", body, timeout_s=timeout_s
        )
        if response.status == HTTP_GONE:
            raise ports.CompactedError("history is gone")
        if response.status not in expected:
            raise ports.StoreError(f"status {response.status}")
        return response

    def list(self, prefix: str) -> ports.Snapshot:
        """Reads all keys with a prefix; raises StoreError."""
        items: list[ports.Item] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"kv-range?{urllib.parse.urlencode(query)}"
            fields = self._call("GET", path).json_object()
            page = [
                _decode_item(entry) for entry in _list_field(fields, "items")
            ]
            items += page
            # Pages are read at different revisions. Watching from the revision
            # of the first page delivers every change made in between.
            revision = revision or _integer_field(fields, "store_revision")
            if not fields.get("has_more") or not page:
                return ports.Snapshot(items=tuple(items), revision=revision)
            after = page[-1].key

    def get(self, key: str) -> ports.Item:
        """Reads one key; raises StoreError."""
        path = f"kv-key?{urllib.parse.urlencode({'key': key})}"
        response = self._call("GET", path, expected=(HTTP_OK, HTTP_NOT_FOUND))
        if response.status == HTTP_NOT_FOUND:
            return ports.Item(key=key, value=None, revision=0)
        return _decode_item(response.json_object())

    def watch(self, prefix: str, after: int, wait_s: float) -> ports.Snapshot:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to watch.
            after: Last revision that is already known.
            wait_s: Maximum wait in seconds.

        Raises:
            ports.CompactedError: The changes after this revision are no longer
                stored.
            ports.StoreError: The request failed.
        """
        query = {
            "prefix": prefix,
            "after": after,
            "wait_ms": int(wait_s * 1000),
        }
        path = f"kv-watch?{urllib.parse.urlencode(query)}"
        fields = self._call(
            "GET", path, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        ).json_object()
        items = tuple(
            _decode_item(entry) for entry in _list_field(fields, "events")
        )
        return ports.Snapshot(
            items=items, revision=_integer_field(fields, "store_revision")
        )

    def swap(
        self, old: ports.Item, value: bytes, lease: int = 0
    ) -> ports.Swapped | ports.Conflict:
        """Replaces a value unless it has changed since; raises StoreError."""
        put = {
            "key": old.key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        body = {
            "precondition": [{"key": old.key, "revision": old.revision}],
            "puts": [put],
            "remove": [],
        }
        response = self._call(
            "POST",
            "kv-txn",
            body,
            expected=(HTTP_OK, HTTP_PRECONDITION_FAILED, HTTP_NOT_FOUND),
        )
        if response.status != HTTP_OK:
            return ports.Conflict()
        return ports.Swapped(
            revision=_integer_field(response.json_object(), "revision")
        )

    def grant_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its id; raises StoreError."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        return _integer_field(
            self._call("POST", "kv-lease", body).json_object(), "lease"
        )

    def renew_lease(self, lease: int) -> bool:
        """Renews a lease; False if it has expired. Raises StoreError."""
        response = self._call(
            "POST", f"kv-keep/{lease}", expected=(HTTP_OK, HTTP_NOT_FOUND)
        )
        return response.status == HTTP_OK

    def revoke_lease(self, lease: int) -> None:
        """Revokes a lease and removes its keys; raises StoreError."""
        self._call(
            "DELETE",
            f"kv-lease-end/{lease}",
            expected=(HTTP_OK, HTTP_NOT_FOUND),
        )


def _list_field(fields: dict, name: str) -> list:
    value = fields.get(name)
    if not isinstance(value, list):
        raise ports.StoreError(f"no {name} in an answer")
    return value


def _integer_field(fields: dict, name: str) -> int:
    value = fields.get(name)
    if type(value) is not int:
        raise ports.StoreError(f"no {name} in an answer")
    return value


def _decode_item(fields: object) -> ports.Item:
    if not isinstance(fields, dict) or not isinstance(fields.get("key"), str):
        raise ports.StoreError("an item without a key")
    value = None
    if "tombstone" not in fields:
        try:
            value = base64.b64decode(fields.get("value") or "", validate=True)
        except (ValueError, TypeError) as exc:
            raise ports.StoreError("a value that is no base64") from exc
    return ports.Item(
        key=fields["key"],
        value=value,
        revision=_integer_field(fields, "revision"),
    )
