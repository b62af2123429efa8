"""The primary is replaced while the duty's holder cannot call the platform.

One machine of four, the one that holds the duty of the service, is cut off from
the failover call for nine seconds. All else works: the store, the peers and the
servers. Half a second after the cut begins, the primary is to be replaced.
"""

import json
import os
import pathlib
import sys
import tempfile
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parents[1])]

from lib2 import deployment  # noqa: E402
from lib2 import platform as platform_lib  # noqa: E402
from lib2 import relay as relay_lib  # noqa: E402

PROXIES = 4
CLIENTS = 12
WARM_UP_S = 4.0
CUT_S = 9.0
CUT_LEAD_S = 0.5
DRAIN_S = 7.0
# "a little longer (at times many seconds)"
LINGER_S = 4.0
AFTER_S = 2.0
MIN_STATEMENTS = 100


def holder(platform: platform_lib.Platform) -> str:
    """Returns the machine that holds the duty, as the store says."""
    value = platform.store.value(f"bronzehold/groups/{platform_lib.SERVICE}")
    return json.loads(value)["holder"].partition("/")[0] if value else ""


def work(
    number: int,
    proxy: deployment.Proxy,
    record: deployment.Record,
    stop: threading.Event,
) -> None:
    """Sends a write and a read in turn."""
    session = None
    count = 0
    while not stop.wait(0.1):
        count += 1
        request_id = f"{proxy.number:02x}{number:02x}{count:06x}"
        text = f"WRITE k{number} d{count}" if count % 2 else f"READ k{number}"
        try:
            if session is None:
                session = deployment.Session(
                    address=proxy.callers, database="intake"
                )
            answer = session.ask(request_id, text)
            record.add(f"{request_id} {text}: {answer[0]}")
        except OSError as exc:
            record.add(f"{request_id} {text}, no answer: {exc}")
            session = None


def main() -> int:
    """Runs the case; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployment.Record(path=FOLDER / "record.txt")
    platform = platform_lib.Platform(record=record.add)
    stop = threading.Event()
    proxies: list[deployment.Proxy] = []
    relays: list[relay_lib.Relay] = []
    with tempfile.TemporaryDirectory() as folder:
        peer_port = deployment.free_port("127.0.0.1")
        try:
            for number in range(PROXIES):
                relays.append(relay_lib.Relay(target=platform.store.address))
                proxy = deployment.Proxy(
                    number=number,
                    folder=pathlib.Path(folder),
                    store=platform.store.address,
                    promoter=relays[-1].address,
                    zones=platform_lib.ZONES,
                    peer_port=peer_port,
                    seeds=["127.0.0.1:8782", "127.0.0.2:8782"],
                )
                proxies.append(proxy)
                proxy.start()
            if not all(proxy.wait_ready() for proxy in proxies):
                record.add("a proxy does not become ready")
                return 2
            clients = [
                threading.Thread(
                    target=work,
                    args=(n, proxies[n % PROXIES], record, stop),
                    daemon=True,
                )
                for n in range(CLIENTS)
            ]
            for client in clients:
                client.start()
            time.sleep(WARM_UP_S)
            name = holder(platform)
            if name not in [proxy.name for proxy in proxies]:
                record.add(f"no machine holds the duty: {name!r}")
                return 2
            cut = next(p.number for p in proxies if p.name == name)
            if trouble:
                record.add(f"{name} is cut off from the failover call")
                relays[cut].silence()

                def end_cut() -> None:
                    record.add(f"{name} reaches the failover call again")
                    relays[cut].restore()

                threading.Timer(CUT_S, end_cut).start()
            time.sleep(CUT_LEAD_S)
            old = platform.database.primary()
            platform.database.add("i-4", old.zone)
            platform.beat()
            time.sleep(0.2)
            platform.drain(old.name)
            drained_at = time.monotonic()
            time.sleep(DRAIN_S + LINGER_S)
            platform.end(old.name)
            time.sleep(AFTER_S)
            stop.set()
            for client in clients:
                client.join(5)
            for proxy in proxies:
                for line in proxy.log_text().splitlines():
                    if "Promotion" in line or "Token" in line:
                        record.add(f"log of {proxy.name}: {line}")
        finally:
            stop.set()
            for proxy in proxies:
                proxy.kill()
            for relay in relays:
                relay.close()
            platform.close()
    return judge(platform, record, old.name, drained_at, cut)


def judge(
    platform: platform_lib.Platform,
    record: deployment.Record,
    server: str,
    drained_at: float,
    cut: int,
) -> int:
    """Returns 1 if a machine in touch sent a statement on too late."""
    arrivals = platform.database.arrivals
    if len(arrivals) < MIN_STATEMENTS:
        record.add("too few statements")
        return 2
    late = [
        (request_id, at - drained_at)
        for name, request_id, at in arrivals
        if name == server
        and at - drained_at > DRAIN_S
        and int(request_id[:2], 16) != cut
    ]
    for request_id, after_s in late[:40]:
        record.add(
            f"{request_id} reached {server} {after_s:.3f} s after its report"
        )
    record.add(f"DRAIN: {len(late)} statements of machines in touch")
    record.close()
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
