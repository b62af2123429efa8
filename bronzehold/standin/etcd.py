"""A stand-in for the platform's key-value service: a subset of etcd v3.

It keeps keys with revisions, expiring leases, compare-and-swap transactions
and watches in memory. It counts calls, refuses calls above its rate limits,
and injects faults that are set by a write to FAULT_CONTROL_KEY.
"""

from concurrent import futures
import dataclasses
import itertools
import json
import threading
import time

import grpc

from bronzehold.proto import etcd_pb2 as pb
from bronzehold.proto import etcd_pb2_grpc

WORKER_THREADS = 64
LEASE_CHECK_INTERVAL_S = 0.05
# Longest time that a watch waits for events before it checks for its end.
WATCH_WAIT_S = 0.1
# A put of a JSON object to this key sets fields of Conditions.
FAULT_CONTROL_KEY = b"/platform/fault"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """Injected faults and rate limits of the service.

    Attributes:
        absent: Whether every call fails as unavailable.
        slow_s: Added delay of each call in seconds.
        lose_answers: Number of next puts and transactions that take effect
            but whose calls fail.
        hold_leases: Whether leases expire although they are kept alive.
        writes_per_s: Limit on writes per second.
        reads_per_s: Limit on reads per second.
    """

    absent: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    hold_leases: bool = False
    writes_per_s: int = 400
    reads_per_s: int = 2000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counts:
    """Number of calls received since the start.

    Attributes:
        reads: Calls of Range, Watch and, for each renewal, LeaseKeepAlive.
        writes: Calls of Put, DeleteRange, Txn, LeaseGrant and LeaseRevoke.
        watches: Calls of Watch.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclasses.dataclass
class _Lease:
    """A lease with its TTL and the monotonic time at which it expires."""

    ttl_s: int
    deadline: float


class _TokenBucket:
    """A token bucket that holds at most one second of its rate."""

    def __init__(self):
        self._tokens = 0.0
        self._refilled_at = 0.0

    def try_consume(self, rate: int) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * rate
        self._tokens = min(float(rate), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Store:
    """Keys, leases and events, guarded by one lock.

    Attributes:
        revision: Revision of the last change.
        conditions: Present faults and rate limits.
        counts: Number of calls received.
        closed: Set when the service stops.
    """

    def __init__(self):
        self._lock = threading.Condition()
        self._keys: dict[bytes, pb.KeyValue] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1000)
        self._events: list[tuple[int, pb.Event]] = []
        self._reads = _TokenBucket()
        self._writes = _TokenBucket()
        self.revision = 1
        self.conditions = Conditions()
        self.counts = Counts()
        self.closed = threading.Event()

    def change(self, **fields) -> None:
        """Sets the given fields of the conditions."""
        with self._lock:
            self.conditions = dataclasses.replace(self.conditions, **fields)

    def header(self) -> pb.ResponseHeader:
        """Returns the header of a response."""
        return pb.ResponseHeader(
            cluster_id=1, member_id=1, revision=self.revision, raft_term=1
        )

    def admit(self, context: grpc.ServicerContext, *, write: bool) -> None:
        """Counts a call and applies faults and rate limits to it.

        Args:
            context: The call, aborted if the service is absent or the call
                exceeds its rate limit.
            write: Whether the call is a write.
        """
        if self.conditions.slow_s:
            time.sleep(self.conditions.slow_s)
        if self.conditions.absent:
            context.abort(grpc.StatusCode.UNAVAILABLE, "absent")
        with self._lock:
            if write:
                within_rate = self._writes.try_consume(
                    self.conditions.writes_per_s
                )
                self.counts = dataclasses.replace(
                    self.counts, writes=self.counts.writes + 1
                )
            else:
                within_rate = self._reads.try_consume(
                    self.conditions.reads_per_s
                )
                self.counts = dataclasses.replace(
                    self.counts, reads=self.counts.reads + 1
                )
        if not within_rate:
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "rate")

    def drop_answer_if_set(self, context: grpc.ServicerContext) -> None:
        """Aborts a call that has taken effect, if lose_answers is set."""
        with self._lock:
            remaining = self.conditions.lose_answers
            if remaining > 0:
                self.conditions = dataclasses.replace(
                    self.conditions, lose_answers=remaining - 1
                )
        if remaining > 0:
            context.abort(grpc.StatusCode.UNAVAILABLE, "answer lost")

    def range(self, req: pb.RangeRequest) -> pb.RangeResponse:
        """Reads a key or a range of keys."""
        with self._lock:
            kvs = [self._keys[key] for key in self._matching_keys(req)]
            return pb.RangeResponse(
                header=self.header(), kvs=kvs, count=len(kvs)
            )

    def _matching_keys(self, req) -> list[bytes]:
        if not req.range_end:
            return [req.key] if req.key in self._keys else []
        return sorted(k for k in self._keys if req.key <= k < req.range_end)

    def put(self, req: pb.PutRequest) -> pb.PutResponse:
        """Writes a key."""
        with self._lock:
            self.revision += 1
            old = self._keys.get(req.key)
            kv = pb.KeyValue(
                key=req.key,
                value=req.value,
                lease=req.lease,
                create_revision=old.create_revision if old else self.revision,
                mod_revision=self.revision,
                version=old.version + 1 if old else 1,
            )
            self._keys[req.key] = kv
            self._record(pb.Event(type=pb.Event.PUT, kv=kv))
            return pb.PutResponse(header=self.header())

    def delete(self, req: pb.DeleteRangeRequest) -> pb.DeleteRangeResponse:
        """Deletes a key or a range of keys."""
        with self._lock:
            keys = self._matching_keys(req)
            for key in keys:
                self.revision += 1
                del self._keys[key]
                kv = pb.KeyValue(key=key, mod_revision=self.revision)
                self._record(pb.Event(type=pb.Event.DELETE, kv=kv))
            return pb.DeleteRangeResponse(
                header=self.header(), deleted=len(keys)
            )

    def _record(self, event: pb.Event) -> None:
        self._events.append((self.revision, event))
        self._lock.notify_all()

    def txn(self, req: pb.TxnRequest) -> pb.TxnResponse:
        """Runs the success or failure branch of a transaction."""
        with self._lock:
            succeeded = all(self._compare(c) for c in req.compare)
            ops = req.success if succeeded else req.failure
            responses = [self._run_operation(op) for op in ops]
            return pb.TxnResponse(
                header=self.header(), succeeded=succeeded, responses=responses
            )

    def _run_operation(self, op: pb.RequestOp) -> pb.ResponseOp:
        match op.WhichOneof("request"):
            case "request_put":
                return pb.ResponseOp(response_put=self.put(op.request_put))
            case "request_delete_range":
                deleted = self.delete(op.request_delete_range)
                return pb.ResponseOp(response_delete_range=deleted)
            case _:
                found = self.range(op.request_range)
                return pb.ResponseOp(response_range=found)

    def _compare(self, comparison: pb.Compare) -> bool:
        kv = self._keys.get(comparison.key, pb.KeyValue())
        match comparison.target:
            case pb.Compare.VERSION:
                left, right = kv.version, comparison.version
            case pb.Compare.CREATE:
                left, right = kv.create_revision, comparison.create_revision
            case pb.Compare.MOD:
                left, right = kv.mod_revision, comparison.mod_revision
            case pb.Compare.VALUE:
                left, right = kv.value, comparison.value
            case _:
                left, right = kv.lease, comparison.lease
        match comparison.result:
            case pb.Compare.EQUAL:
                return left == right
            case pb.Compare.GREATER:
                return left > right
            case pb.Compare.LESS:
                return left < right
            case _:
                return left != right

    def grant(self, ttl_s: int) -> int:
        """Creates a lease and returns its ID."""
        with self._lock:
            lease = next(self._lease_ids)
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return lease

    def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns its TTL in seconds, 0 if it has expired."""
        with self._lock:
            state = self._leases.get(lease)
            if state is None:
                return 0
            if not self.conditions.hold_leases:
                state.deadline = time.monotonic() + state.ttl_s
            return state.ttl_s

    def revoke(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        with self._lock:
            self._leases.pop(lease, None)
            keys = [k for k, kv in self._keys.items() if kv.lease == lease]
        for key in keys:
            self.delete(pb.DeleteRangeRequest(key=key))

    def expire_leases_loop(self) -> None:
        """Revokes expired leases until the service stops."""
        while not self.closed.wait(LEASE_CHECK_INTERVAL_S):
            now = time.monotonic()
            with self._lock:
                if self.conditions.absent:
                    # A new etcd leader extends every lease, so an outage of
                    # the stand-in does too.
                    for lease_state in self._leases.values():
                        lease_state.deadline = now + lease_state.ttl_s
                expired = [
                    i for i, h in self._leases.items() if h.deadline < now
                ]
            for lease in expired:
                self.revoke(lease)

    def events_after(
        self, revision: int, req: pb.WatchCreateRequest
    ) -> tuple[list[pb.Event], int]:
        """Returns the events of a watch after a revision.

        Args:
            revision: The last revision that the watch has seen.
            req: The watch, with its key or range of keys.

        Returns:
            The events, none if nothing happens within WATCH_WAIT_S, and the
            revision that the watch has seen now. It counts events of other
            keys too, so that the next call waits.
        """
        with self._lock:
            if not self._events or self._events[-1][0] <= revision:
                self._lock.wait(WATCH_WAIT_S)
            seen = self._events[-1][0] if self._events else revision
            events = [
                event
                for at, event in self._events
                if at > revision and _is_watched(event.kv.key, req)
            ]
            return events, max(seen, revision)


def _is_watched(key: bytes, req: pb.WatchCreateRequest) -> bool:
    if not req.range_end:
        return key == req.key
    return req.key <= key < req.range_end


class _KVServicer(etcd_pb2_grpc.KVServicer):
    def __init__(self, store: Store):
        self._store = store

    def Range(self, request, context):
        self._store.admit(context, write=False)
        return self._store.range(request)

    def Put(self, request, context):
        if request.key == FAULT_CONTROL_KEY:
            fields = _parse_fault_fields(request.value)
            self._store.change(**fields)
            return pb.PutResponse()
        self._store.admit(context, write=True)
        answer = self._store.put(request)
        self._store.drop_answer_if_set(context)
        return answer

    def DeleteRange(self, request, context):
        self._store.admit(context, write=True)
        return self._store.delete(request)

    def Txn(self, request, context):
        self._store.admit(context, write=True)
        answer = self._store.txn(request)
        self._store.drop_answer_if_set(context)
        return answer


def _parse_fault_fields(value: bytes) -> dict:
    return json.loads(value)


class _LeaseServicer(etcd_pb2_grpc.LeaseServicer):
    def __init__(self, store: Store):
        self._store = store

    def LeaseGrant(self, request, context):
        self._store.admit(context, write=True)
        lease = self._store.grant(request.TTL)
        return pb.LeaseGrantResponse(
            header=self._store.header(), ID=lease, TTL=request.TTL
        )

    def LeaseRevoke(self, request, context):
        self._store.admit(context, write=True)
        self._store.revoke(request.ID)
        return pb.LeaseRevokeResponse(header=self._store.header())

    def LeaseKeepAlive(self, request_iterator, context):
        for req in request_iterator:
            self._store.admit(context, write=False)
            yield pb.LeaseKeepAliveResponse(
                header=self._store.header(),
                ID=req.ID,
                TTL=self._store.keep_alive(req.ID),
            )


class _WatchServicer(etcd_pb2_grpc.WatchServicer):
    def __init__(self, store: Store):
        self._store = store

    def Watch(self, request_iterator, context):
        store = self._store
        req = next(request_iterator).create_request
        store.admit(context, write=False)
        store.counts = dataclasses.replace(
            store.counts, watches=store.counts.watches + 1
        )
        yield pb.WatchResponse(header=store.header(), watch_id=1, created=True)
        at = req.start_revision - 1 if req.start_revision else store.revision
        while context.is_active() and not store.closed.is_set():
            if store.conditions.absent:
                context.abort(grpc.StatusCode.UNAVAILABLE, "absent")
            events, at = store.events_after(at, req)
            if events:
                yield pb.WatchResponse(
                    header=store.header(), watch_id=1, events=events
                )


class EtcdServer:
    """The gRPC server of a store.

    Attributes:
        store: The store that it serves.
        port: The port that it listens on.
    """

    def __init__(self, *, host: str, port: int):
        self.store = Store()
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=WORKER_THREADS),
            options=[("grpc.so_reuseport", 0)],
        )
        etcd_pb2_grpc.add_KVServicer_to_server(
            _KVServicer(self.store), self._server
        )
        etcd_pb2_grpc.add_LeaseServicer_to_server(
            _LeaseServicer(self.store), self._server
        )
        etcd_pb2_grpc.add_WatchServicer_to_server(
            _WatchServicer(self.store), self._server
        )
        self.port = self._server.add_insecure_port(f"{host}:{port}")

    def start(self) -> None:
        """Starts the server and the expiry of leases."""
        self._server.start()
        threading.Thread(
            target=self.store.expire_leases_loop, daemon=True
        ).start()

    def close(self) -> None:
        """Stops the server and ends its watches."""
        self.store.closed.set()
        self._server.stop(0).wait()
