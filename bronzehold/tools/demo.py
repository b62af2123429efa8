"""Runs a demo on embedded stand-ins, in one process.

Each writer has a session that alternates between two proxies. The primary is
killed during the run. Each read is checked against the earlier writes of its
session, and at the end every acknowledged write is checked to be present.
"""

import collections.abc
import dataclasses
import pathlib
import tempfile
import threading
import time

from bronzehold.tools import history
from bronzehold.tools import local
from bronzehold.tools import operators

DURATION_S = 12.0
KILL_AFTER_S = 4.0
WRITERS = 4
WRITE_PAUSE_S = 0.02
SERVICE = "mail"


@dataclasses.dataclass
class _Results:
    """Results of all writers, guarded by one lock."""

    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    acknowledged: set[int] = dataclasses.field(default_factory=set)
    unknown: set[int] = dataclasses.field(default_factory=set)
    not_run: set[int] = dataclasses.field(default_factory=set)
    stale: int = 0
    reads: int = 0
    ack_times: list[float] = dataclasses.field(default_factory=list)


def run(print_line: collections.abc.Callable[[str], None]) -> bool:
    """Runs the demo.

    Args:
        print_line: Called with each line of output.

    Returns:
        True if no write was lost, no write reported as not run is present
        and no read was stale.
    """
    shape = local.Shape(services=(SERVICE,), proxies=2)
    deployment = local.Deployment(shape=shape)
    try:
        print_line(
            "starting a group of 3 endpoints, the platform and 2 proxies"
        )
        services = tuple(deployment.services)
        deployment.services.clear()
        deployment.start()
        deployment.services.extend(services)
        if not _load_sheet(deployment, print_line):
            return False
        deployment.wait_ready()
        return _run_workload(deployment, print_line)
    finally:
        deployment.close()


def _load_sheet(deployment: local.Deployment, print_line) -> bool:
    header = "service,endpoint,host,port,zone,connections,slots,max_age_ms"
    lines = [header] + [
        f"{service.name},{ep.name},{ep.host},{ep.port},{ep.zone},"
        f"{ep.connections},{ep.slots},{service.max_age_ms}"
        for service in deployment.services
        for ep in service.endpoints
    ]
    zones = {zone.name: zone.region for zone in deployment.shape.zones}
    cfg = operators.OperatorSettings(
        platform=f"{local.HOST}:{deployment.platform.port}", zones=zones
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "sheet.csv"
        path.write_text("\n".join(lines) + "\n")
        result = operators.apply(cfg, str(path), print_line)
    match result:
        case operators.InForce(proxies=proxies, took_s=took):
            print_line(
                f"sheet in force on {len(proxies)} proxies in {took:.2f} s"
            )
            return True
    print_line(f"sheet was not applied: {result}")
    return False


def _run_workload(deployment: local.Deployment, print_line) -> bool:
    results = _Results()
    _make_table(deployment)
    end_s = time.monotonic() + DURATION_S
    threads = [
        threading.Thread(target=_write, args=(deployment, results, n, end_s))
        for n in range(WRITERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(KILL_AFTER_S)
    victim = deployment.primary(SERVICE)
    print_line(f"killing the primary, {victim}")
    killed_s = time.monotonic()
    deployment.servers[victim].kill()
    for thread in threads:
        thread.join()
    return _report(deployment, results, killed_s, print_line)


def _connect(deployment: local.Deployment, proxy: int):
    # Imported here because only the demo needs the driver, not the daemons.
    import psycopg  # noqa: PLC0415

    return psycopg.connect(deployment.url(proxy, SERVICE), autocommit=True)


def _make_table(deployment: local.Deployment) -> None:
    with _connect(deployment, 0) as conn:
        conn.execute(
            "CREATE TABLE envelopes (id INTEGER PRIMARY KEY, session TEXT)"
        )


def _write(
    deployment: local.Deployment, results: _Results, number: int, end: float
) -> None:
    import psycopg  # noqa: PLC0415

    conns = [_connect(deployment, i) for i in range(2)]
    session = f"session-{number}"
    for conn in conns:
        conn.execute(f"SET bronzehold.session = '{session}'")
    written = 0
    serial = 0
    while time.monotonic() < end:
        key = number * 1_000_000 + serial
        writer, reader = conns[serial % 2], conns[(serial + 1) % 2]
        serial += 1
        try:
            writer.execute(
                "INSERT INTO envelopes VALUES (%s, %s)", (key, session)
            )
        except psycopg.Error as exc:
            _record_failure(results, key, exc.sqlstate)
            continue
        with results.lock:
            results.acknowledged.add(key)
            results.ack_times.append(time.monotonic())
        written += 1
        _read_back(results, reader, session, written)
        time.sleep(WRITE_PAUSE_S)
    for conn in conns:
        conn.close()


def _record_failure(results: _Results, key: int, sqlstate: str | None) -> None:
    with results.lock:
        keys = results.unknown if sqlstate == "08007" else results.not_run
        keys.add(key)


def _read_back(results: _Results, conn, session: str, written: int) -> None:
    import psycopg  # noqa: PLC0415

    sql = "SELECT count(*) FROM envelopes WHERE session = %s"
    try:
        (seen,) = conn.execute(sql, (session,)).fetchone()
    except psycopg.Error:
        return
    with results.lock:
        results.reads += 1
        results.stale += seen < written


def _report(
    deployment: local.Deployment, results: _Results, killed_s: float, print_line
) -> bool:
    with _connect(deployment, 0) as conn:
        conn.execute("SET bronzehold.max_age = '0'")
        rows = conn.execute("SELECT id FROM envelopes").fetchall()
    found = {row[0] for row in rows}
    lost = results.acknowledged - found
    unexpected = found & results.not_run
    gap = history.longest_gap_of(sorted(results.ack_times), killed_s)
    print_line(f"reads checked: {results.reads}")
    print_line(f"reads served by replicas: {_replica_share(deployment):.1%}")
    print_line(f"read-your-writes violations: {results.stale}")
    print_line(f"writes acknowledged: {len(results.acknowledged)}")
    print_line(
        f"acknowledged writes found: {len(results.acknowledged & found)}"
    )
    print_line(
        f"writes reported as not run: {len(results.not_run)}, "
        f"found: {len(unexpected)}"
    )
    print_line(f"writes with unknown outcome: {len(results.unknown)}")
    if gap is None:
        print_line("no write succeeded after the primary was killed")
        return False
    print_line(f"longest gap in writes after the kill: {gap:.2f} s")
    good = not (lost or unexpected or results.stale)
    print_line("all guarantees held" if good else "GUARANTEES VIOLATED")
    return good


def _replica_share(deployment: local.Deployment) -> float:
    counts = {"replica": 0, "primary": 0}
    for proxy in deployment.proxies:
        for summary in proxy.metrics.summaries():
            if (
                summary.key.statement_kind == "read"
                and summary.key.endpoint in counts
            ):
                counts[summary.key.endpoint] += summary.count
    return counts["replica"] / max(1, sum(counts.values()))
