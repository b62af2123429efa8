"""A commit that was acknowledged is missing at the backend that is promoted."""

import bisect
import operator
import pathlib
import signal
import socket
import sys
import threading
import time

import harness_3 as harness

from bronzehold.core import ports
from bronzehold.platform import standin_group
from bronzehold.platform import standin_store
from bronzehold.platform import wire

# A database and its group for each round.
SERVICES = {
    "lepu270": "collection-db-1",
    "fiti832": "collection-db-2",
    "zije89a": "collection-db-3",
    "huvo11a": "collection-db-4",
    "dusu75a": "collection-db-5",
}
PROXIES = 4
SESSIONS = 6
PAUSE_S = 0.001
# The primary and one replica are in one region, the other replica is not.
REGIONS = {
    "ub-bayanzurkh": "ulaanbaatar",
    "ub-khan-uul": "ulaanbaatar",
    "dkh-center": "darkhan",
}
# Figures of the sheets: the network one way, a promote.
IN_REGION_S = 0.0005
BETWEEN_REGIONS_S = 0.012
PROMOTE_S = 1.0
# The primary is dark from the first time to the second one.
DARK_AT_S = 2.5
DARK_S = 1.3
ROUND_S = 8.5
SETTLE_S = 1.0


class Endpoint(standin_group.Endpoint):
    """An endpoint that looks its log up faster, since the log is sorted."""

    def has_position(self, position) -> bool:
        """Returns whether the log contains a position."""
        index = bisect.bisect_left(self.log, position, key=_POSITION)
        found = self.log[index : index + 1]
        if found and found[0].position == position:
            return True
        return position.number == 0 or self.last_position() == position


_POSITION = operator.attrgetter("position")


class Group(standin_group.Group):
    """A group whose replicas receive commits after the delay of the network."""

    def __init__(self, *, settings: standin_group.GroupSettings):
        super().__init__(settings=settings)
        for endpoint in self.endpoints.values():
            endpoint.__class__ = Endpoint

    def _replicate_to(self, primary, endpoint) -> None:
        same = REGIONS[primary.zone] == REGIONS[endpoint.zone]
        lag_s = IN_REGION_S if same else BETWEEN_REGIONS_S
        if endpoint.faults.current.lag_s != lag_s:
            endpoint.faults.change(lag_s=lag_s)
        super()._replicate_to(primary, endpoint)


class Store(standin_store.Store):
    """A platform that notes its failover calls.

    Attributes:
        record: The record of the case.
        on_change: Called with the holder that orders a change of primary.
    """

    def __init__(self, *, groups):
        super().__init__(groups=groups)
        self.record: harness.Record | None = None
        self.on_change = lambda holder: None

    def _promote(self, body, headers) -> tuple[int, dict]:
        primary = self._groups[body["service"]].primary().name
        status, fields = super()._promote(body, headers)
        holder = headers["Duty-Holder"]
        self.record.add(
            f"failover to {body['id']} by {holder} with token "
            f"{headers['Fencing-Token']}: {status} {fields}"
        )
        if status == 200 and body["id"] != primary:
            self.on_change(holder)
        return status, fields


class Client:
    """A caller that writes without a pause to speak of.

    Attributes:
        acknowledged: When a write was acknowledged, by the value written, in
            seconds of time.monotonic().
    """

    def __init__(
        self, *, record: harness.Record, name: str, address, database: str
    ):
        self._record = record
        self._name = name
        self._address = address
        self._database = database
        self._count = 0
        self.acknowledged: dict[str, float] = {}

    def run(self, until: float) -> None:
        """Writes until a time of time.monotonic()."""
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
        sock.sendall(f"STARTUP {self._database} {self._name}\r\n".encode())
        lines.read_line()
        while time.monotonic() < until:
            self._count += 1
            value = f"{self._name}-{self._count}"
            text = f"QUERY {value} WRITE item-{self._name} {value}"
            sock.sendall(f"{text}\r\n".encode())
            answer = ""
            while not (line := lines.read_line()).startswith(b"READY"):
                answer = line.decode()
            self._record.add(f"{text}: {answer}")
            if answer.startswith("COMPLETE"):
                self.acknowledged[value] = time.monotonic()
            time.sleep(PAUSE_S)


def case(record: harness.Record, folder: pathlib.Path) -> bool:
    """Returns whether the promoted backends have each acknowledged commit."""
    harness.ZONES = tuple(REGIONS)
    harness.REGIONS = REGIONS
    deployment = harness.Deployment(
        folder=folder,
        proxies=PROXIES,
        services=tuple(SERVICES.values()),
        group={
            "work_s": 0.0038,
            "promote_s": PROMOTE_S,
            "slots": 4,
            "connections": 46,
            "sync_replicas": 1,
        },
        start_group=Group,
        start_store=Store,
    )
    deployment.store.record = record
    for group in deployment.groups.values():
        group.on_role_change = lambda group=group: lead(
            record, deployment, group
        )
    deployment.configure(
        [
            {
                "name": f"r-{database}",
                "database": database,
                "service": service,
                "type": "primary",
            }
            for database, service in SERVICES.items()
        ]
    )
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        lost = [
            run_round(record, deployment, database) for database in SERVICES
        ]
    finally:
        deployment.close()
    record.add(f"acknowledged commits lost in the rounds: {lost}")
    return not any(lost)


def run_round(record, deployment, database: str) -> int:
    """Writes to one group; returns how many acknowledged commits it lost."""
    group = deployment.groups[SERVICES[database]]
    until = time.monotonic() + ROUND_S
    clients = [
        Client(
            record=record,
            name=f"{database}-{proxy.name[-1]}{number}",
            address=proxy.callers,
            database=database,
        )
        for proxy in deployment.proxies
        for number in range(SESSIONS)
    ]
    threads = [
        threading.Thread(target=client.run, args=(until,)) for client in clients
    ]
    for thread in threads:
        thread.start()
    time.sleep(DARK_AT_S)
    if harness.has_trouble():
        disrupt(record, deployment, group)
    for thread in threads:
        thread.join()
    time.sleep(SETTLE_S)
    with group.lock:
        kept = {value for e in group.primary().log for _, value in e.writes}
    return check(record, clients, kept)


def lead(record, deployment, group) -> None:
    """Notes a promotion and lists the endpoints anew."""
    record.add(f"{group.primary().name} leads term {group.term}")
    deployment.publish()


def disrupt(record, deployment, group) -> None:
    """Makes the primary dark for a while, and stops the token holder."""
    endpoint = group.primary()
    holders = []
    deployment.store.on_change = holders.append
    record.add(f"the primary {endpoint.name} goes dark")
    endpoint.faults.change(frozen=True)
    time.sleep(DARK_S)
    endpoint.faults.change(frozen=False)
    record.add(f"{endpoint.name} is back; orders by {holders}")
    deployment.store.on_change = lambda holder: None
    for proxy in deployment.proxies:
        if proxy.name in holders[:1]:
            record.add(f"SIGTERM to {proxy.name}")
            proxy.send(signal.SIGTERM)
            proxy.process.wait()
            proxy.start()


def check(record, clients, kept) -> int:
    """Returns how many acknowledged commits the primary's log lacks."""
    acknowledged = {v: at for c in clients for v, at in c.acknowledged.items()}
    lost = sorted(v for v in acknowledged if v not in kept)
    for value in lost:
        record.add(f"acknowledged, but not in the log of the primary: {value}")
    record.add(
        f"{len(acknowledged)} commits were acknowledged to callers, "
        f"{len(lost)} of these are lost"
    )
    return len(lost)


if __name__ == "__main__":
    sys.exit(harness.run(str(pathlib.Path(__file__).parent), case))
