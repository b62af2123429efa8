"""A client of the platform's key-value store, over the etcd v3 API.

Changes are compare-and-swap operations. If the answer to one is lost, the
client reads the key back: each value carries an id of its writer, so the writer
recognizes its own value.
"""

import collections.abc
import dataclasses
import threading

import grpc

from bronzehold.proto import etcd_pb2 as pb
from bronzehold.proto import etcd_pb2_grpc

CALL_TIMEOUT_S = 2.0
PREFIX = "/bronzehold/"
CONFIG_KEY = PREFIX + "config"
GROUPS_PREFIX = PREFIX + "groups/"
PROXIES_PREFIX = PREFIX + "proxies/"
INSTANCES_KEY = "/platform/instances"
MAX_MESSAGE_BYTES = 8 << 20


class EtcdError(Exception):
    """The store did not answer, and the call may have taken effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedValue:
    """A value with the revision of its last change.

    Attributes:
        key: The key.
        value: The value, empty if the key does not exist.
        revision: The store's revision of the key's last change, 0 if the key
            does not exist.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Swapped:
    """The result of a compare-and-swap that changed the value.

    Attributes:
        revision: The revision of the change.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The result of a compare-and-swap after another writer's change.

    Attributes:
        current: The present value.
    """

    current: VersionedValue


SwapOutcome = Swapped | Conflict


class EtcdStore:
    """Calls to the store; safe to use from many threads."""

    def __init__(self, *, target: str, timeout: float = CALL_TIMEOUT_S):
        self._timeout = timeout
        self._channel = grpc.insecure_channel(
            target,
            options=[
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
                ("grpc.initial_reconnect_backoff_ms", 100),
                ("grpc.min_reconnect_backoff_ms", 100),
                ("grpc.max_reconnect_backoff_ms", 1000),
            ],
        )
        self._kv = etcd_pb2_grpc.KVStub(self._channel)
        self._lease = etcd_pb2_grpc.LeaseStub(self._channel)
        self._watch = etcd_pb2_grpc.WatchStub(self._channel)

    def close(self) -> None:
        """Closes the channel and aborts the calls in progress."""
        self._channel.close()

    def _call(self, stub, req):
        try:
            return stub(req, timeout=self._timeout)
        except grpc.RpcError as exc:
            raise EtcdError(str(exc.code())) from exc
        except ValueError as exc:
            raise EtcdError("closed") from exc

    def get(self, key: str) -> VersionedValue:
        """Reads one key.

        Returns:
            The value, with revision 0 if the key does not exist.

        Raises:
            EtcdError: The store did not answer.
        """
        response = self._call(self._kv.Range, pb.RangeRequest(key=key.encode()))
        for kv in response.kvs:
            return _versioned_value(kv)
        return VersionedValue(key=key, value=b"", revision=0)

    def list(self, prefix: str) -> list[VersionedValue]:
        """Reads all keys that begin with a prefix.

        Raises:
            EtcdError: The store did not answer.
        """
        req = pb.RangeRequest(key=prefix.encode(), range_end=_range_end(prefix))
        return [
            _versioned_value(kv) for kv in self._call(self._kv.Range, req).kvs
        ]

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes one key unconditionally.

        Args:
            key: The key.
            value: The value.
            lease: The id of the lease that the key expires with, 0 for none.

        Raises:
            EtcdError: The store did not answer.
        """
        req = pb.PutRequest(key=key.encode(), value=value, lease=lease)
        self._call(self._kv.Put, req)

    def compare_and_swap(
        self, old: VersionedValue, value: bytes
    ) -> SwapOutcome:
        """Replaces a value unless it has changed since it was read.

        If the answer is lost, the key is read back, so the value must differ
        from every other writer's.

        Args:
            old: The value as it was read, with revision 0 if the key did not
                exist.
            value: The new value.

        Returns:
            Swapped or Conflict.

        Raises:
            EtcdError: The store did not answer. The change may still be
                applied.
        """
        key = old.key.encode()
        get = pb.RequestOp(request_range=pb.RangeRequest(key=key))
        req = pb.TxnRequest(
            compare=[
                pb.Compare(
                    result=pb.Compare.EQUAL,
                    target=pb.Compare.MOD,
                    key=key,
                    mod_revision=old.revision,
                )
            ],
            success=[
                pb.RequestOp(request_put=pb.PutRequest(key=key, value=value))
            ],
            failure=[get],
        )
        try:
            response = self._call(self._kv.Txn, req)
        except EtcdError:
            return self._read_back(old, value)
        if response.succeeded:
            return Swapped(revision=response.header.revision)
        for kv in response.responses[0].response_range.kvs:
            return _swap_outcome(_versioned_value(kv), value)
        return Conflict(
            current=VersionedValue(key=old.key, value=b"", revision=0)
        )

    def _read_back(self, old: VersionedValue, value: bytes) -> SwapOutcome:
        current = self.get(old.key)
        if current.revision == old.revision:
            raise EtcdError(f"no answer, and {old.key} has not changed")
        return _swap_outcome(current, value)

    def grant_lease(self, ttl_s: int) -> int:
        """Creates a lease and returns its id.

        Args:
            ttl_s: The time to live, in seconds.

        Raises:
            EtcdError: The store did not answer.
        """
        req = pb.LeaseGrantRequest(TTL=ttl_s)
        return self._call(self._lease.LeaseGrant, req).ID

    def renew_lease(self, lease: int) -> bool:
        """Renews a lease.

        Returns:
            Whether the lease still existed.

        Raises:
            EtcdError: The store did not answer.
        """
        req = iter([pb.LeaseKeepAliveRequest(ID=lease)])
        try:
            for response in self._lease.LeaseKeepAlive(
                req, timeout=self._timeout
            ):
                return response.TTL > 0
        except (grpc.RpcError, ValueError) as exc:
            raise EtcdError(str(exc)) from exc
        return False

    def revoke_lease(self, lease: int) -> None:
        """Revokes a lease, which deletes its keys.

        Raises:
            EtcdError: The store did not answer.
        """
        self._call(self._lease.LeaseRevoke, pb.LeaseRevokeRequest(ID=lease))

    def watch(
        self, prefix: str, stop: threading.Event
    ) -> collections.abc.Iterator[VersionedValue]:
        """Yields every change under a prefix until the watch fails.

        The iterator first yields an empty value, once the watch is
        established, so that the reader can read the changes before it. It has
        no timeout, and fails when the client is closed.

        Args:
            prefix: The prefix of the keys.
            stop: An event that closes the request stream when set.

        Raises:
            EtcdError: The watch failed.
        """
        create = pb.WatchCreateRequest(
            key=prefix.encode(), range_end=_range_end(prefix)
        )

        def requests():
            yield pb.WatchRequest(create_request=create)
            stop.wait()

        try:
            for response in self._watch.Watch(requests()):
                if response.created:
                    yield VersionedValue(key="", value=b"", revision=0)
                for event in response.events:
                    yield _versioned_value(event.kv)
        except (grpc.RpcError, ValueError) as exc:
            raise EtcdError(str(exc)) from exc


def _swap_outcome(current: VersionedValue, value: bytes) -> SwapOutcome:
    if current.value == value:
        return Swapped(revision=current.revision)
    return Conflict(current=current)


def _versioned_value(kv: pb.KeyValue) -> VersionedValue:
    return VersionedValue(
        key=kv.key.decode(errors="replace"),
        value=kv.value,
        revision=kv.mod_revision,
    )


def _range_end(prefix: str) -> bytes:
    return prefix[:-1].encode() + bytes([ord(prefix[-1]) + 1])
