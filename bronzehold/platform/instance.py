"""Assembles one proxy process for the users' platform.

Instance connects the platform adapter (store, listener, endpoint, promoter,
readiness) with the components of bronzehold.process and runs their tasks.
"""

import os

from bronzehold.connection import forward_client
from bronzehold.connection import forward_server
from bronzehold.core import addresses
from bronzehold.core import data
from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.platform import directory
from bronzehold.platform import endpoint
from bronzehold.platform import listener
from bronzehold.platform import promoter
from bronzehold.platform import readiness
from bronzehold.platform import store
from bronzehold.process import digest_exchange as exchange_lib
from bronzehold.process import exposition
from bronzehold.process import fences as fences_lib
from bronzehold.process import gossip as gossip_lib
from bronzehold.process import platform_process
from bronzehold.process import promotion_orders
from bronzehold.process import promotions as promotions_lib
from bronzehold.process import rate_limiter as rate_limiter_lib
from bronzehold.process import registration as registration_lib
from bronzehold.process import serving as serving_lib
from bronzehold.process import store_era
from bronzehold.process import store_mirror as mirror_lib
from bronzehold.process import store_news as news_lib
from bronzehold.process import timeline as timeline_lib
from bronzehold.process import token_records
from bronzehold.process import tokens as tokens_lib
from bronzehold.version import members as members_lib
from bronzehold.version import rate_shares

MEMBERS_PREFIX = "bronzehold/proxies/"
INCARNATION_BYTES = 4
# A proxy whose orders were not answered takes no token from another one for
# this multiple of the time within which a leaving primary must be replaced.
ORDER_FAILURE_MEMORY = 4


class Instance:
    """One proxy: its components, their tasks and their lifecycle.

    Attributes:
        cfg: Settings of the proxy.
        timeline: Record of the events of the proxy.
        process: Routing state and caller sessions of the proxy.
        gossip: Exchange of state with the other proxies.
        registration: Entry of this proxy in the store.
        tokens: Fencing tokens of the groups.
        promotions: Failover of the primaries.
        era: Era of the store.
        mirror: Local copy of the entries in the store.
        news: Reports of the proxies that watch the store.
    """

    def __init__(self, *, cfg: settings.PlatformSettings):
        self.cfg = cfg
        self.timeline = timeline_lib.Timeline(proxy=cfg.name, zone=cfg.zone)
        own = members_lib.Member(
            name=cfg.name,
            zone=cfg.zone,
            address=f"{cfg.host}:{cfg.peer_port}",
        )
        incarnation = os.urandom(INCARNATION_BYTES).hex()
        # Lambdas, because gossip and mirror are created after the process.
        self.serving = serving_lib.Serving(
            own=own,
            everyone=lambda: self.gossip.share_count(),  # noqa: PLW0108
            silence_s=lambda: self.gossip.silence_timeout_s(),  # noqa: PLW0108
            timeline=self.timeline,
            regions=cfg.regions,
        )
        self.links = forward_client.Links(serving=self.serving)
        self.process = platform_process.PlatformProcess(
            cfg=cfg,
            timeline=self.timeline,
            dial=endpoint.dial,
            serving=self.serving,
            cut_off=lambda: (
                self.gossip.is_isolated() and self.mirror.store_unreachable()
            ),
            fleet_restarted=lambda: self.gossip.is_fleet_new(),  # noqa: PLW0108
        )
        tasks = self.process.tasks
        self.gossip = gossip_lib.Gossip(
            name=cfg.name,
            incarnation=incarnation,
            address=(cfg.host, cfg.peer_port),
            seeds=[
                f"{addresses.split(s)[0]}:{cfg.peer_port}" for s in cfg.seeds
            ],
            zone=cfg.zone,
            timeline=self.timeline,
            tasks=tasks,
        )
        self._forward_server: forward_server.ForwardServer | None = None
        self.news = news_lib.StoreNews(
            is_watcher=self.serving.watches_store,
            on_newer_revision=self.gossip.send_soon,
        )
        self.era = store_era.StoreEra(timeline=self.timeline)
        store_client = store.Client(address=cfg.store, era=self.era)
        self.registration = registration_lib.Registration(
            process=self.process,
            store=store_client,
            key=MEMBERS_PREFIX + cfg.name,
            own=own,
        )
        if cfg.key_max_age_ms:
            max_age_s = cfg.key_max_age_ms * data.MILLISECOND
            self.process.keys_confirmed = lambda: self.news.is_confirmed(
                max_age_s
            )
        self.process.rate_limiter = rate_limiter_lib.RateLimiter(
            own=own,
            regions=cfg.regions,
            serving=self.serving,
            table=self.process.table,
            ask=self.links.ask_tokens,
            stopping=self.process.shutdown.begun.is_set,
            timeline=self.timeline,
            tolerance=rate_shares.Tolerance(
                window_s=cfg.limit_window_s,
                overage=cfg.limit_overage,
                slack=cfg.limit_slack,
            ),
            has_seeds=any(
                addresses.split(seed)[0] != cfg.host for seed in cfg.seeds
            ),
        )
        self.tokens = tokens_lib.Tokens(
            proxy=cfg.name,
            incarnation=incarnation,
            store=store_client,
            timeline=self.timeline,
        )
        drain_s = cfg.drain_ms * data.MILLISECOND
        self.orders = promotion_orders.PromotionOrders(
            holder=cfg.name,
            tokens=self.tokens,
            promoter=promoter.Promoter(address=cfg.promoter),
            timeline=self.timeline,
            failure_memory_s=ORDER_FAILURE_MEMORY * drain_s,
        )
        self.fences = fences_lib.Fences(tokens=self.tokens, orders=self.orders)
        self.promotions = promotions_lib.Promotions(
            process=self.process,
            tokens=self.tokens,
            orders=self.orders,
            fences=self.fences,
            gossip=self.gossip,
            drain_s=drain_s,
            request_members=self.news.request_read,
        )
        self.mirror = mirror_lib.StoreMirror(
            process=self.process,
            store=store_client,
            directory=directory.Directory(zones=frozenset(cfg.regions)),
            members_prefix=MEMBERS_PREFIX,
            on_members=self._on_members,
            records_prefix=tokens_lib.RECORDS_PREFIX,
            on_record=self.tokens.apply_record,
            news=self.news,
            era=self.era,
        )
        for component in (
            self.mirror,
            self.news,
            self.registration,
            self.tokens,
        ):
            self.era.on_rise(component.forget_before)
        self._token_records = token_records.TokenRecords(
            process=self.process, tokens=self.tokens
        )
        exchange_lib.DigestExchange(
            process=self.process,
            gossip=self.gossip,
            mirror=self.mirror,
            tokens=self.tokens,
            orders=self.orders,
            fences=self.fences,
            serving=self.serving,
            news=self.news,
        )
        self._readiness_server = readiness.serve(
            addresses.split(cfg.readiness),
            lambda: self.listening and self.process.ready(),
        )
        self._metrics_server = exposition.create_server(
            (cfg.host, cfg.metrics_port), self._render_metrics
        )
        self._listener: listener.Listener | None = None

    @property
    def listening(self) -> bool:
        """Whether the callers' port is open."""
        return self._listener is not None

    def _on_members(self, values: dict[str, bytes]) -> None:
        registered = []
        for name, value in values.items():
            member = registration_lib.decode(name, value)
            if member is None:
                self.timeline.count("registration that cannot be read")
            else:
                registered.append(member)
        self.gossip.set_members({m.name: m.address for m in registered})
        self.serving.set_registered(registered)
        if self.cfg.name not in values:
            self.registration.register_again()

    def _render_metrics(self) -> bytes:
        extra = {
            "peers": float(len(self.gossip.live_peers())),
            "store_era": float(self.era.current()),
            "store_away": float(self.mirror.store_unreachable()),
            "store_watched": float(self.serving.watches_store()),
            "receive_budget_bytes": float(self.process.budget.total),
            "receive_budget_used_bytes": float(self.process.budget.used()),
            "caller_connections": float(self.process.callers.count()),
            "caller_connections_max": float(self.process.limits.callers),
            "peer_connections": float(self.process.forwarded.count()),
            "peer_connections_max": float(self.process.limits.peers),
            "forward_suspects": float(self.serving.suspect_count()),
            **self.process.rate_limiter.gauges(),
            **{
                f"forwarded_{outcome}": float(count)
                for outcome, count in self.links.counts().items()
            },
            **{
                f"token_{name}": float(number)
                for name, number in self.tokens.held().items()
            },
        }
        return exposition.render(self.process, extra)

    def start(self) -> None:
        """Starts all tasks.

        Callers are accepted once the configuration and the endpoint listings
        have been read from the store.
        """
        host, port = addresses.split(self.cfg.callers)
        self.timeline.add(events.ProxyStarted(port=port))
        tasks = self.process.tasks
        self.gossip.start()
        tasks.spawn_lasting("readiness", self._readiness_server.serve_forever)
        tasks.spawn_lasting("metrics", self._metrics_server.serve_forever)
        tasks.spawn_lasting("mirror", self.mirror.run)
        tasks.spawn_lasting("registration", self.registration.run)
        tasks.spawn_lasting("promotions", self.promotions.run)
        tasks.spawn_lasting("token records", self._token_records.run)
        tasks.spawn_lasting("sweep", self._sweep)
        tasks.spawn_lasting("forwarded", self._serve_forwarded)
        tasks.spawn_lasting("front", lambda: self._listen(host, port))

    def _sweep(self) -> None:
        self.process.sweep(self.links.close_idle)

    def _wait_for_routes(self) -> None:
        # A caller that connects before the routes are known would be told that
        # its database does not exist.
        self.process.config_received.wait()
        self.process.listings_received.wait()

    def _serve_forwarded(self) -> None:
        self._wait_for_routes()
        host = self.cfg.host
        self._forward_server = forward_server.ForwardServer(
            host=host, port=self.cfg.peer_port, process=self.process
        )
        self._forward_server.run()

    def _listen(self, host: str, port: int) -> None:
        self._wait_for_routes()
        if self.process.shutdown.begun.is_set():
            return
        self._listener = listener.Listener(
            host=host, port=port, process=self.process, links=self.links
        )
        self.process.stop_listening = self._listener.close
        if self.process.port_closed:
            self._listener.close()
        self._listener.run()

    def drain(self) -> None:
        """Stops gracefully; returns after the drain has finished."""
        self.gossip.stopping = True
        self.process.tasks.spawn("leave", self.registration.remove)
        self.process.drain()

    def close(self) -> None:
        """Stops immediately, without waiting for requests in progress."""
        self.process.close()
        if self._listener is not None:
            self._listener.close()
        self._readiness_server.shutdown()
        self._readiness_server.server_close()
        self._metrics_server.shutdown()
        self._metrics_server.server_close()
        if self._forward_server is not None:
            self._forward_server.close()
        self.gossip.close()
