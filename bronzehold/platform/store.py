"""Client of the platform's key-value service, which speaks JSON over HTTP.

Client implements ports.Store. promoter.py shares HttpClient for its calls.
"""

import base64
import http.client
import json
import re
import threading
import urllib.parse

from bronzehold.core import integers
from bronzehold.core import json_text
from bronzehold.core import ports
from bronzehold.process import store_era

# The service usually answers within a few milliseconds, and within a few
# hundred milliseconds when it is slow.
REQUEST_TIMEOUT_S = 1.0
# Time past the requested wait after which a watch without an answer fails.
WATCH_TIMEOUT_MARGIN_S = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
# Every answer of a store that has eras carries its era.
ERA_HEADER = "Store-Era"


class _Response:
    """The status, body and era of an HTTP response."""

    def __init__(self, *, status: int, body: bytes, era_text: str | None):
        self.status = status
        self._body = body
        self._era_text = era_text

    def era(self) -> int:
        """Returns the era of the store, 0 if it has none."""
        if self._era_text is None:
            return 0
        try:
            return integers.parse(self._era_text.strip())
        except ValueError as exc:
            raise ports.StoreError("an era that is not a number") from exc

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
            return _Response(
                status=response.status,
                body=response.read(),
                era_text=response.getheader(ERA_HEADER),
            )
        except (OSError, http.client.HTTPException) as exc:
            # After a lost response, the connection cannot be reused.
            conn.close()
            self._thread_local.conn = None
            raise ports.StoreError(type(exc).__name__) from exc


class Client:
    """Implements ports.Store; safe for concurrent use by several threads.

    Args:
        address: Host and port of the store.
        era: The era of the store, which each answer is compared with.
    """

    def __init__(self, *, address: str, era: store_era.StoreEra):
        self._http = HttpClient(address=address)
        self._era = era

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
        era = response.era()
        is_current = self._era.observe(era)
        if response.status not in (*expected, HTTP_GONE):
            raise ports.StoreError(f"status {response.status}")
        if not is_current:
            raise self._era.discard(
                _call_name(path), answered=era, expected=self._era.current()
            )
        if response.status == HTTP_GONE:
            raise ports.CompactedError("history is gone")
        return response

    def _require_era(self, call: str, expected: int, answered: int) -> None:
        """Raises StaleEraError if a call does not belong to an era."""
        if answered != expected:
            raise self._era.discard(call, answered=answered, expected=expected)

    def list(self, prefix: str) -> ports.Snapshot:
        """Reads all keys with a prefix; raises StoreError."""
        items: list[ports.Item] = []
        first: ports.Position | None = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"kv-range?{urllib.parse.urlencode(query)}"
            response = self._call("GET", path)
            fields, era = response.json_object(), response.era()
            page = [
                _decode_item(entry, era)
                for entry in _list_field(fields, "items")
            ]
            items += page
            # Pages are read at different revisions. Watching from the revision
            # of the first page delivers every change made in between.
            first = first or ports.Position(
                era=era, revision=_integer_field(fields, "store_revision")
            )
            self._require_era("kv-range", first.era, era)
            if not fields.get("has_more") or not page:
                return ports.Snapshot(
                    items=tuple(items), revision=first.revision, era=era
                )
            after = page[-1].key

    def get(self, key: str) -> ports.Item:
        """Reads one key; raises StoreError."""
        path = f"kv-key?{urllib.parse.urlencode({'key': key})}"
        response = self._call("GET", path, expected=(HTTP_OK, HTTP_NOT_FOUND))
        if response.status == HTTP_NOT_FOUND:
            return ports.Item(
                key=key, value=None, revision=0, era=response.era()
            )
        return _decode_item(response.json_object(), response.era())

    def watch(
        self, prefix: str, after: ports.Position, wait_s: float
    ) -> ports.Snapshot:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to watch.
            after: Position up to which all is known.
            wait_s: Maximum wait in seconds.

        Raises:
            ports.CompactedError: The changes after this revision are no longer
                stored.
            ports.StaleEraError: The position is of an older era. The store may
                have the same revision again, after other changes.
            ports.StoreError: The request failed.
        """
        query = {
            "prefix": prefix,
            "after": after.revision,
            "wait_ms": int(wait_s * 1000),
        }
        path = f"kv-watch?{urllib.parse.urlencode(query)}"
        self._require_era("kv-watch", after.era, self._era.current())
        response = self._call(
            "GET", path, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        fields, era = response.json_object(), response.era()
        self._require_era("kv-watch", after.era, era)
        items = tuple(
            _decode_item(entry, era) for entry in _list_field(fields, "events")
        )
        return ports.Snapshot(
            items=items,
            revision=_integer_field(fields, "store_revision"),
            era=era,
        )

    def swap(
        self, old: ports.Item, value: bytes, lease: ports.Lease | None = None
    ) -> ports.Swapped | ports.Conflict:
        """Replaces a value unless it has changed since.

        Raises:
            ports.StaleEraError: The item or the lease is of an older era. The
                store may have issued the revision again for another value, so
                the outcome says nothing of the item.
            ports.StoreError: The request failed; it may have taken effect.
        """
        self._require_era("kv-txn", old.era, self._era.current())
        if lease is not None:
            self._require_era("kv-txn", lease.era, old.era)
        put = {
            "key": old.key,
            "value": base64.b64encode(value).decode(),
            "lease": lease.id if lease is not None else 0,
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
        self._require_era("kv-txn", old.era, response.era())
        if response.status != HTTP_OK:
            return ports.Conflict()
        return ports.Swapped(
            revision=_integer_field(response.json_object(), "revision")
        )

    def grant_lease(self, ttl_s: float) -> ports.Lease:
        """Creates a lease; raises StoreError."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        response = self._call("POST", "kv-lease", body)
        return ports.Lease(
            id=_integer_field(response.json_object(), "lease"),
            era=response.era(),
        )

    def renew_lease(self, lease: ports.Lease) -> bool:
        """Renews a lease.

        Returns:
            False if it has expired, or is of an older era: the lease of this
            number may then be another process's.

        Raises:
            ports.StoreError: The request failed.
        """
        if lease.era != self._era.current():
            return False
        response = self._call(
            "POST", f"kv-keep/{lease.id}", expected=(HTTP_OK, HTTP_NOT_FOUND)
        )
        return response.status == HTTP_OK and response.era() == lease.era

    def revoke_lease(self, lease: ports.Lease) -> None:
        """Revokes a lease and removes its keys; raises StoreError.

        A lease of an older era is left to expire.
        """
        if lease.era != self._era.current():
            return
        self._call(
            "DELETE",
            f"kv-lease-end/{lease.id}",
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


def _call_name(path: str) -> str:
    return re.split("[/?]", path, maxsplit=1)[0]


def _decode_item(fields: object, era: int) -> ports.Item:
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
        era=era,
    )
