"""Implements the operators' commands.

Sheets are read from a file and written to the platform's key-value store as
the next configuration. The other commands (status, drain, promote, timeline)
call the operator API of each live proxy over gRPC.
"""

import collections.abc
import dataclasses
import getpass
import heapq
import json
import pathlib
import time

import grpc

from bronzehold.core import data
from bronzehold.core import validation
from bronzehold.process import etcd_store
from bronzehold.process import store_sync
from bronzehold.proto import peer_pb2 as pb
from bronzehold.proto import peer_pb2_grpc
from bronzehold.version import config
from bronzehold.version import sheet as sheet_lib

RPC_TIMEOUT_S = 2.0
PROMOTE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
MAX_DOCUMENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operators' commands.

    Attributes:
        platform: "host:port" of the key-value store.
        zones: Region of each availability zone, by zone name.
        in_force_s: Time limit in seconds for every proxy to adopt a
            configuration.
    """

    platform: str
    zones: dict[str, str]
    in_force_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The sheet is invalid; the configuration is unchanged."""

    problems: tuple[validation.Problem, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another operator's change was stored first; this one was discarded."""

    author: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The sheet equals the current configuration."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """Every live proxy has adopted the configuration."""

    revision: int
    proxies: tuple[str, ...]
    took_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotInForce:
    """The configuration is stored, but some proxies have not adopted it."""

    revision: int
    lagging: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformUnavailable:
    """The key-value store does not answer."""

    reason: str


ApplyResult = (
    Rejected | Conflict | Unchanged | InForce | NotInForce | PlatformUnavailable
)


def read_sheet(
    path: str, zones: collections.abc.Mapping[str, str]
) -> sheet_lib.Sheet:
    """Reads and parses a sheet; a read error is reported as a problem."""
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as exc:
        problem = validation.Problem(
            source=path, location="file", message=str(exc)
        )
        return sheet_lib.Sheet(services=(), problems=(problem,))
    return sheet_lib.parse(content, path, zones)


def changed_lines(
    old: collections.abc.Iterable[data.Service],
    new: collections.abc.Iterable[data.Service],
) -> list[str]:
    """Returns the changes between two configurations, one line each."""
    before = {s.name: s for s in old}
    after = {s.name: s for s in new}
    lines = [f"- service {name}" for name in before if name not in after]
    for name, service in after.items():
        if name not in before:
            count = len(service.endpoints)
            lines.append(f"+ service {name} ({count} endpoints)")
        elif service != before[name]:
            lines += _service_changed_lines(before[name], service)
    return lines


def _service_changed_lines(old: data.Service, new: data.Service) -> list[str]:
    lines = []
    for field in dataclasses.fields(data.Service):
        was, now = getattr(old, field.name), getattr(new, field.name)
        if field.name != "endpoints" and was != now:
            lines.append(f"~ service {new.name}: {field.name} {was} -> {now}")
    before = {ep.name: ep for ep in old.endpoints}
    after = {ep.name: ep for ep in new.endpoints}
    lines += [f"- endpoint {n}" for n in before if n not in after]
    for name, ep in after.items():
        if name not in before:
            lines.append(f"+ endpoint {name}")
            continue
        for field in dataclasses.fields(data.Endpoint):
            was = getattr(before[name], field.name)
            now = getattr(ep, field.name)
            if was != now:
                lines.append(f"~ endpoint {name}: {field.name} {was} -> {now}")
    return lines


def apply(
    cfg: OperatorSettings,
    path: str,
    print_line: collections.abc.Callable[[str], None],
) -> ApplyResult:
    """Stores a sheet as the next configuration and waits for adoption.

    Args:
        cfg: Settings of the operators' commands.
        path: Path of the sheet.
        print_line: Called with each line to show to the operator.

    Returns:
        The result, as one of the classes of ApplyResult.
    """
    store = etcd_store.EtcdStore(target=cfg.platform)
    try:
        return _apply(cfg, store, path, print_line)
    except etcd_store.EtcdError as exc:
        return PlatformUnavailable(reason=str(exc))
    finally:
        store.close()


def _apply(
    cfg: OperatorSettings,
    store: etcd_store.EtcdStore,
    path: str,
    print_line: collections.abc.Callable[[str], None],
) -> ApplyResult:
    sheet = read_sheet(path, cfg.zones)
    if sheet.problems:
        return Rejected(problems=sheet.problems)
    started_s = time.monotonic()
    stored = store.get(etcd_store.CONFIG_KEY)
    old = config.decode(stored.value, "platform")
    problems = sheet_lib.check_membership_changes(
        old.services, sheet.services, path
    )
    if problems:
        return Rejected(problems=tuple(problems))
    lines = changed_lines(old.services, sheet.services)
    for line in lines:
        print_line(line)
    if not lines:
        return Unchanged(revision=old.revision)
    new = config.successor(
        old, author=getpass.getuser(), services=sheet.services
    )
    text = config.encode(new)
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f"is {len(text)} bytes; the limit is {MAX_DOCUMENT_BYTES}"
        problem = validation.Problem(
            source=path, location="sheet", message=message
        )
        return Rejected(problems=(problem,))
    match store.compare_and_swap(stored, text):
        case etcd_store.Conflict(current=current):
            winner = config.decode(current.value, "platform")
            if not config.contains(winner, new.change_id):
                return Conflict(author=winner.author, revision=winner.revision)
    return wait_in_force(cfg, store, new.revision, started_s)


def wait_in_force(
    cfg: OperatorSettings,
    store: etcd_store.EtcdStore,
    revision: int,
    started_s: float,
) -> InForce | NotInForce:
    """Waits until every live proxy has adopted a revision or a later one.

    Args:
        cfg: Settings that give the time limit.
        store: Client of the key-value store, which lists the live proxies.
        revision: The revision.
        started_s: Monotonic time in seconds at which the change began.
    """
    end = started_s + cfg.in_force_s
    while True:
        revisions = _proxy_revisions(store)
        lagging = tuple(sorted(n for n, r in revisions.items() if r < revision))
        if not lagging:
            return InForce(
                revision=revision,
                proxies=tuple(sorted(revisions)),
                took_s=time.monotonic() - started_s,
            )
        if time.monotonic() > end:
            return NotInForce(revision=revision, lagging=lagging)
        time.sleep(POLL_INTERVAL_S)


def _proxy_revisions(store: etcd_store.EtcdStore) -> dict[str, int]:
    revisions = {}
    for name, member in store_sync.read_members(store).items():
        status = fetch_status(member.address)
        revisions[name] = status["revision"] if status else -1
    return revisions


def _operator_stub(channel: grpc.Channel) -> peer_pb2_grpc.OperatorStub:
    return peer_pb2_grpc.OperatorStub(channel)


def fetch_status(address: str) -> dict | None:
    """Returns a proxy's status, or None if it does not answer."""
    with grpc.insecure_channel(address) as channel:
        try:
            answer = _operator_stub(channel).Status(
                pb.Empty(), timeout=RPC_TIMEOUT_S
            )
        except grpc.RpcError:
            return None
    return json.loads(answer.json)


def proxy_addresses(cfg: OperatorSettings) -> dict[str, str]:
    """Returns the address of each live proxy, by name.

    Raises:
        etcd_store.EtcdError: The key-value store does not answer.
    """
    store = etcd_store.EtcdStore(target=cfg.platform)
    try:
        members = store_sync.read_members(store)
    finally:
        store.close()
    return {name: member.address for name, member in members.items()}


def drain(address: str) -> bool:
    """Starts the planned shutdown of a proxy; returns whether it answered."""
    with grpc.insecure_channel(address) as channel:
        try:
            _operator_stub(channel).Drain(pb.Empty(), timeout=RPC_TIMEOUT_S)
        except grpc.RpcError:
            return False
    return True


def promote(address: str, group: str, target: str) -> pb.PromoteReply:
    """Asks a proxy to switch a group's primary to the target endpoint."""
    with grpc.insecure_channel(address) as channel:
        req = pb.PromoteRequest(group=group, target=target)
        try:
            return _operator_stub(channel).Promote(
                req, timeout=PROMOTE_TIMEOUT_S
            )
        except grpc.RpcError as exc:
            return pb.PromoteReply(why=f"no answer: {exc.code()}")


def timeline(
    proxies: collections.abc.Mapping[str, str],
) -> list[dict]:
    """Returns the events of all proxies, merged in order of time.

    Each proxy's clock offset is estimated from its reply, which is assumed to
    be half a round trip old. The error is at most half the round trip; each
    event has it as "clock_error_ms".
    """
    events_by_proxy = [
        _fetch_events(name, address) for name, address in proxies.items()
    ]
    return list(heapq.merge(*events_by_proxy, key=lambda event: event["at_ns"]))


def _fetch_events(name: str, address: str) -> list[dict]:
    with grpc.insecure_channel(address) as channel:
        stub = _operator_stub(channel)
        try:
            # Opens the connection first, so that connecting is not part of
            # the round trip measured below.
            stub.Timeline(
                pb.TimelineRequest(after=1 << 62), timeout=RPC_TIMEOUT_S
            )
            sent_ns = time.time_ns()
            answer = stub.Timeline(pb.TimelineRequest(), timeout=RPC_TIMEOUT_S)
        except grpc.RpcError:
            return []
    half_round_trip_ns = (time.time_ns() - sent_ns) // 2
    offset_ns = answer.clock_ns - (sent_ns + half_round_trip_ns)
    events = []
    for line in answer.events:
        event = json.loads(line)
        event["at_ns"] -= offset_ns
        event["clock_error_ms"] = round(half_round_trip_ns / 1_000_000, 3)
        events.append(event)
    return events
