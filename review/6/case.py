"""A rolling release of a service whose replicas confirm commits.

All three servers are replaced, one each second, the primary first. With the
disruption, the platform's failover call does not answer for 2.2 s from the
report of the primary that it drains. Then each acknowledged commit must be in
the log of the server that is promoted.
"""

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
WRITERS = 8
WARM_UP_S = 4.0
OUTAGE_S = 2.2
GAP_S = 1.0
DRAIN_S = 7.0
LINGER_S = 1.0
AFTER_S = 4.0


class Writer(threading.Thread):
    """A client that writes again and again, a new item each time."""

    def __init__(
        self,
        *,
        number: int,
        proxies: list[deployment.Proxy],
        record: deployment.Record,
        stop: threading.Event,
    ):
        super().__init__(daemon=True)
        self._number = number
        self._proxies = proxies
        self._record = record
        self._stop_event = stop
        self.acknowledged: list[str] = []

    def run(self) -> None:
        """Writes until the end."""
        session = None
        count = 0
        while not self._stop_event.wait(0.05):
            count += 1
            request_id = f"{self._number:02x}{count:06x}"
            try:
                if session is None:
                    proxy = self._proxies[
                        (self._number + count) % len(self._proxies)
                    ]
                    session = deployment.Session(
                        address=proxy.callers, database="intake"
                    )
                answer = session.ask(
                    request_id, f"WRITE k{request_id} d{request_id}"
                )
            except OSError as exc:
                self._record.add(f"{request_id} no answer: {exc}")
                session = None
                continue
            self._record.add(f"{request_id} WRITE: {answer[0]}")
            if answer[0].startswith("COMPLETE mac"):
                self.acknowledged.append(request_id)


def release(platform: platform_lib.Platform, outage) -> None:
    """Replaces the servers one after the other, the primary first."""
    primary = platform.database.primary().name
    others = [n for n in list(platform.database.endpoints) if n != primary]
    begun = time.monotonic()
    ends = []
    for step, name in enumerate((primary, *others)):
        time.sleep(max(0.0, begun + step * GAP_S - time.monotonic()))
        old = platform.database.endpoints[name]
        platform.database.add(f"i-{step + 4}", old.zone)
        platform.beat()
        time.sleep(0.2)
        if not step:
            outage()
        platform.drain(name)
        ends.append((time.monotonic() + DRAIN_S + LINGER_S, name))
    for at, name in ends:
        time.sleep(max(0.0, at - time.monotonic()))
        platform.end(name)


def main() -> int:
    """Runs the case; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployment.Record(path=FOLDER / "record.txt")
    platform = platform_lib.Platform(record=record.add, sync_replicas=1)
    relay = relay_lib.Relay(target=platform.store.address)
    stop = threading.Event()
    proxies = []
    writers = []

    def outage() -> None:
        if not trouble:
            return
        record.add("the failover call does not answer from now on")
        relay.silence()

        def end() -> None:
            record.add("the failover call answers again")
            relay.restore()

        threading.Timer(OUTAGE_S, end).start()

    with tempfile.TemporaryDirectory() as folder:
        peer_port = deployment.free_port("127.0.0.1")
        try:
            for number in range(PROXIES):
                proxy = deployment.Proxy(
                    number=number,
                    folder=pathlib.Path(folder),
                    store=platform.store.address,
                    promoter=relay.address,
                    zones=platform_lib.ZONES,
                    peer_port=peer_port,
                    seeds=["127.0.0.1:8782", "127.0.0.2:8782"],
                )
                proxies.append(proxy)
                proxy.start()
            if not all(proxy.wait_ready() for proxy in proxies):
                record.add("a proxy does not become ready")
                return 2
            writers = [
                Writer(number=n, proxies=proxies, record=record, stop=stop)
                for n in range(WRITERS)
            ]
            for writer in writers:
                writer.start()
            time.sleep(WARM_UP_S)
            release(platform, outage)
            time.sleep(AFTER_S)
            stop.set()
            for writer in writers:
                writer.join(5)
            for proxy in proxies:
                for line in proxy.log_text().splitlines():
                    if "Promotion" in line or "TokenWon" in line:
                        record.add(f"log of {proxy.name}: {line}")
        finally:
            for proxy in proxies:
                proxy.kill()
            relay.close()
            platform.close()
    return judge(platform, writers, record)


def judge(
    platform: platform_lib.Platform,
    writers: list[Writer],
    record: deployment.Record,
) -> int:
    """Returns 1 if a commit that a client was told of is lost."""
    answered = {i for writer in writers for i in writer.acknowledged}
    losses = platform.database.losses
    record.add(f"{len(answered)} writes acknowledged, {len(losses)} promotions")
    if len(answered) < 20 or not losses:
        record.add("too few writes, or no promotion")
        return 2
    lost = [i for _, ids in losses for i in ids if i in answered]
    for name, ids in losses:
        record.add(f"promotion of {name}: lacks {len(ids)} of these")
    record.add(f"LOST: {len(lost)} {' '.join(lost)}")
    record.close()
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
