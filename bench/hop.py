"""What one hop costs: through one proxy against straight to an endpoint."""

import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time

import psycopg

from bench import cluster as cluster_lib
from bronzehold.tools import local

CALLERS = (1, 16, 128)
SECONDS = 4.0
WARM_S = 1.0
IDLE_CALLERS = 500
GROUP = {"connections": 200, "slots": 64}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Speed:
    """Closed-loop reads by some callers."""

    callers: int
    per_s: float
    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pair:
    """The same callers straight to an endpoint and through a proxy."""

    direct: Speed
    proxied: Speed


def measure(url: str, callers: int, seconds: float = SECONDS) -> Speed:
    """Runs closed-loop reads; called in a process of its own."""
    times: list[float] = []
    lock = threading.Lock()
    begin = time.monotonic() + WARM_S
    end = begin + seconds

    def work() -> None:
        own = []
        with psycopg.connect(url, autocommit=True) as conn:
            conn.prepare_threshold = None
            while (start := time.monotonic()) < end:
                conn.execute("SELECT 1")
                if start >= begin:
                    own.append(time.monotonic() - start)
        with lock:
            times.extend(own)

    threads = [threading.Thread(target=work) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    times.sort()
    return Speed(
        callers=callers,
        per_s=round(len(times) / seconds, 1),
        p50_ms=round(times[len(times) // 2] * 1000, 2),
        p99_ms=round(times[len(times) * 99 // 100] * 1000, 2),
    )


def in_process(url: str, callers: int) -> Speed:
    """Measures from a new process, so that nobody shares its interpreter."""
    command = [sys.executable, "-m", "bench.hop", url, str(callers)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return Speed(**json.loads(done.stdout))


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def run() -> dict:
    """Measures throughput, latencies and the memory of idle callers."""
    with tempfile.TemporaryDirectory() as folder:
        shape = cluster_lib.Shape(proxies=1, group=GROUP)
        with cluster_lib.running(pathlib.Path(folder), shape) as cluster:
            head = f"host={local.HOST} user=app dbname=mail"
            direct = f"{head} port={cluster.endpoints['mail-1']}"
            proxied = f"{head} port={cluster.ports['proxy-0']}"
            pairs = [
                Pair(
                    direct=in_process(direct, callers),
                    proxied=in_process(proxied, callers),
                )
                for callers in CALLERS
            ]
            return {"pairs": pairs, "idle_bytes": _idle(cluster, proxied)}


def _idle(cluster: cluster_lib.Cluster, url: str) -> int:
    pid = cluster.processes["proxy-0"].pid
    before = resident_bytes(pid)
    conns = [psycopg.connect(url) for _ in range(IDLE_CALLERS)]
    time.sleep(0.5)
    grown = resident_bytes(pid) - before
    for conn in conns:
        conn.close()
    return grown // IDLE_CALLERS


def table(found: dict) -> str:
    """Returns the figures as a table."""
    lines = [
        "| callers | direct /s | proxy /s | ratio | direct p50/p99 ms |"
        " proxy p50/p99 ms | p50 ratio | p99 ratio |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for pair in found["pairs"]:
        one, two = pair.direct, pair.proxied
        lines.append(
            f"| {one.callers} | {one.per_s} | {two.per_s} "
            f"| {two.per_s / one.per_s:.2f} "
            f"| {one.p50_ms}/{one.p99_ms} | {two.p50_ms}/{two.p99_ms} "
            f"| {two.p50_ms / one.p50_ms:.2f} "
            f"| {two.p99_ms / one.p99_ms:.2f} |"
        )
    lines.append(f"\nmemory for each idle caller: {found['idle_bytes']} bytes")
    return "\n".join(lines)


if __name__ == "__main__":
    speed = measure(sys.argv[1], int(sys.argv[2]))
    print(json.dumps(dataclasses.asdict(speed)))
