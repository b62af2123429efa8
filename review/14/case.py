"""A leaving primary gets work past drain_ms while the others are down."""

import pathlib
import socket
import sys
import threading
import time

import harness_3 as harness

from bronzehold.core import ports
from bronzehold.platform import wire

DATABASE = "lepu270"
SERVICE = "collection-db-1"
PROXIES = 4
SESSIONS = 3
PAUSE_S = 0.03
DRAIN_S = 7.0
# The primary ends this much later than drain_ms after its report.
LINGER_S = 0.4
# All other endpoints crash this much later than its report, for this long.
CRASH_AFTER_S = 0.5
CRASH_S = 7.0
# Three heartbeat intervals, after which the store removes an entry.
SILENCE_S = 3.6
LEAVES_AT_S = 6.0
RUN_S = 22.0


class Client:
    """A caller that writes and reads, one statement at a time.

    Attributes:
        sent_at: When each statement was sent, by its id, in seconds of
            time.monotonic().
        answers: The last line of each answer before READY, by the same id.
    """

    def __init__(self, *, record: harness.Record, name: str, address):
        self._record = record
        self._name = name
        self._address = address
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, str] = {}

    def run(self, until: float) -> None:
        """Works until a time of time.monotonic()."""
        while time.monotonic() < until:
            try:
                with socket.create_connection(self._address, 2.0) as sock:
                    sock.settimeout(5.0)
                    self._run_session(sock, until)
            except (OSError, ports.TransportError) as exc:
                self._record.add(f"{self._name}: {exc}")
            time.sleep(0.1)

    def _run_session(self, sock: socket.socket, until: float) -> None:
        lines = wire.LineReader(sock=sock)
        sock.sendall(f"STARTUP {DATABASE} {self._name}\r\n".encode())
        lines.read_line()
        while time.monotonic() < until:
            number = len(self.sent_at)
            request_id = f"{self._name}-{number}"
            text = f"WRITE item-{self._name} {number}"
            if number % 2:
                text = f"READ item-{self._name}"
            self.sent_at[request_id] = time.monotonic()
            sock.sendall(f"QUERY {request_id} {text}\r\n".encode())
            answer = ""
            while not (line := lines.read_line()).startswith(b"READY"):
                answer = line.decode()
            self.answers[request_id] = answer
            self._record.add(f"{request_id} {text}: {answer}")
            time.sleep(PAUSE_S)


def case(record: harness.Record, folder: pathlib.Path) -> bool:
    """Returns whether the leaving primary gets no work past drain_ms."""
    deployment = harness.Deployment(
        folder=folder,
        proxies=PROXIES,
        services=(SERVICE,),
        group={
            "slots": 3,
            "connections": 41,
            "work_s": 0.0051,
            "promote_s": 1.0,
            "lag_s": 0.008,
        },
    )
    group = deployment.groups[SERVICE]
    deployment.configure(
        [
            {
                "name": "r1",
                "database": DATABASE,
                "service": SERVICE,
                "type": "primary",
            }
        ]
    )
    try:
        deployment.start()
        started_at = time.monotonic()
        clients = [
            Client(
                record=record,
                name=f"c{proxy.name[-1]}{number}",
                address=proxy.callers,
            )
            for proxy in deployment.proxies
            for number in range(SESSIONS)
        ]
        threads = [
            threading.Thread(target=c.run, args=(started_at + RUN_S,))
            for c in clients
        ]
        for thread in threads:
            thread.start()
        time.sleep(LEAVES_AT_S)
        name, accepted_at = release(record, deployment, group)
        for thread in threads:
            thread.join()
    finally:
        deployment.close()
    return check(record, clients, group, name, accepted_at)


def release(record, deployment, group) -> tuple[str, float]:
    """Replaces the primary; returns its id and the time of its report."""
    endpoint = group.primary()
    new = f"{endpoint.name}-new"
    group.add_endpoint(new, endpoint.zone)
    deployment.publish()
    record.add(f"{new} starts")
    time.sleep(1.0)
    deployment.draining = frozenset({endpoint.name})
    deployment.publish()
    accepted_at = time.monotonic()
    record.add(f"the store has the report that {endpoint.name} is draining")
    timer = threading.Timer(
        DRAIN_S + LINGER_S, leave, (record, deployment, group, endpoint, new)
    )
    timer.start()
    time.sleep(CRASH_AFTER_S)
    if harness.has_trouble():
        crash_others(record, deployment, group, endpoint.name)
    timer.join()
    return endpoint.name, accepted_at


def leave(record, deployment, group, endpoint, new: str) -> None:
    """Ends the endpoint that has drained; its log goes to the new one."""
    endpoint.kill()
    with group.lock:
        group.endpoints[new].log = list(endpoint.log)
    deployment.store.remove(f"servers/{endpoint.name}")
    record.add(f"{endpoint.name} has ended")


def crash_others(record, deployment, group, name: str) -> None:
    """Crashes all endpoints but one and starts them again with their logs."""
    others = [e for e in group.endpoints.values() if e.name != name]
    for other in others:
        other.kill()
        record.add(f"{other.name} crashes")
    time.sleep(SILENCE_S)
    for other in others:
        deployment.store.remove(f"servers/{other.name}")
    time.sleep(CRASH_S - SILENCE_S)
    for other in others:
        other.listen()
        record.add(f"{other.name} is back")
    deployment.publish()


def check(record, clients, group, name: str, accepted_at: float) -> bool:
    """Looks for statements that reached the primary too late."""
    sent_at = {i: at for client in clients for i, at in client.sent_at.items()}
    late = [
        entry
        for entry in group.executed
        if entry.endpoint == name
        and entry.request_id in sent_at
        and entry.executed_at > accepted_at + DRAIN_S
    ]
    answers = {i: a for client in clients for i, a in client.answers.items()}
    unsure = [
        entry
        for entry in late
        if not answers.get(entry.request_id, "").startswith("COMPLETE")
    ]
    for entry in late:
        after_sending_s = entry.executed_at - sent_at[entry.request_id]
        record.add(
            f"late: {entry.request_id} {entry.text} ran at {name} "
            f"{entry.executed_at - accepted_at:.3f} s after the report, "
            f"{after_sending_s:.3f} s after it was sent; its caller got "
            f"{answers.get(entry.request_id, 'no answer')}"
        )
    record.add(
        f"{len(sent_at)} statements were sent, {len(late)} ran at {name} more "
        f"than {DRAIN_S} s after its report, {len(unsure)} of them without "
        f"a success for their callers"
    )
    return not late


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), case))
