"""The program that runs on the platform's instances."""

import faulthandler
import os
import signal
import sys
import threading

from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.core import validation
from bronzehold.platform import directory
from bronzehold.platform import endpoint
from bronzehold.platform import listener
from bronzehold.platform import local
from bronzehold.platform import promoter
from bronzehold.platform import readiness
from bronzehold.platform import store
from bronzehold.process import exchange as exchange_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import hosted
from bronzehold.process import mirror
from bronzehold.process import promotions as promotions_lib
from bronzehold.process import registration as registration_lib
from bronzehold.process import timeline

SETTINGS_VARIABLE = "BRONZEHOLD_NODE_FILE"
BAD_INPUT = 2
MEMBERS_PREFIX = "bronzehold/proxies/"


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> int:
    """Runs a proxy until SIGTERM, which begins a planned stop."""
    faulthandler.enable()
    try:
        cfg = local.load(os.environ.get(SETTINGS_VARIABLE, ""))
    except validation.ProblemsError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)  # noqa: T201
        return BAD_INPUT
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda _number, _frame: stop.set())
    signal.signal(signal.SIGHUP, lambda _number, _frame: None)
    timeline.set_up_logs(cfg.log_level)
    line = timeline.Timeline(proxy=cfg.name, zone=cfg.zone)
    line.add(events.ProxyStarted(port=_address(cfg.callers)[1]))
    process = hosted.Process(
        cfg=cfg,
        line=line,
        dial=endpoint.dial,
        share=lambda: gossip.share(),  # noqa: PLW0108
        cut_off=lambda: gossip.alone() and follower.away(),
    )
    seeds = [f"{_address(s)[0]}:{cfg.peer_port}" for s in cfg.seeds]
    gossip = gossip_lib.Gossip(
        name=cfg.name,
        address=(cfg.host, cfg.peer_port),
        seeds=seeds,
        line=line,
        tasks=process.tasks,
    )
    kept = store.Client(address=cfg.store)
    registration = registration_lib.Registration(
        process=process,
        store=kept,
        key=MEMBERS_PREFIX + cfg.name,
        address=gossip.address,
    )
    promotions = promotions_lib.Promotions(
        process=process,
        store=kept,
        promoter=promoter.Promoter(address=cfg.promoter),
        gossip=gossip,
        incarnation=os.urandom(4).hex(),
    )

    def on_members(values: dict[str, bytes]) -> None:
        gossip.set_members(exchange_lib.members(values))
        if cfg.name not in values:
            registration.note_lapsed()

    follower = mirror.Mirror(
        process=process,
        store=kept,
        directory=directory.Directory(zones=frozenset(cfg.regions)),
        members_prefix=MEMBERS_PREFIX,
        on_members=on_members,
        records_prefix=promotions_lib.RECORDS_PREFIX,
        on_record=promotions.take_record,
    )
    exchange_lib.Exchange(
        process=process,
        gossip=gossip,
        mirror=follower,
        promotions=promotions,
    )
    gossip.start()
    process.tasks.spawn_lasting("registration", registration.run)
    process.tasks.spawn_lasting("promotions", promotions.run)
    answers = readiness.serve(_address(cfg.readiness), process.ready)
    process.tasks.spawn_lasting("readiness", answers.serve_forever)
    process.tasks.spawn_lasting("mirror", follower.run)
    process.tasks.spawn("front", lambda: _listen(cfg, process))
    while not stop.wait(1.0):
        continue
    gossip.stopping = True
    process.tasks.spawn("leave", registration.leave)
    process.drain()
    os._exit(0)


def _listen(cfg: settings.HostedSettings, process: hosted.Process) -> None:
    process.configured.wait()
    process.listed.wait()
    host, port = _address(cfg.callers)
    listener.Listener(host=host, port=port, process=process).run()


if __name__ == "__main__":
    sys.exit(main())
