"""Assemble the gateway process."""

import gc
import random
import signal
import time

import anyio
import prometheus_client

from savoryyoke.published import pacing as published_pacing

from savoryyoke_edge import logs
from savoryyoke_edge import servers
from savoryyoke_edge import supervision
from savoryyoke_gateway import application
from savoryyoke_gateway import conf
from savoryyoke_gateway import crashes
from savoryyoke_gateway import dispatching
from savoryyoke_gateway import exceptions
from savoryyoke_gateway import following
from savoryyoke_gateway import forwarder
from savoryyoke_gateway import knowledge
from savoryyoke_gateway import metrics
from savoryyoke_gateway import peering
from savoryyoke_gateway import reloading
from savoryyoke_gateway import retrying
from savoryyoke_gateway import serving
from savoryyoke_gateway import stopping
from savoryyoke_gateway import suspects

# Hold until the first configuration is known.
_HEADER_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 15.0


class Gateway:
    """Own the parts of one gateway process.

    ``knowledge`` is what it knows of the published values, ``peering`` its
    exchange with the other entries.

    ``settings`` is a ``ports.GatewaySettings``; ``source``, ``interpreter``
    and ``translator`` are described in ``ports``. ``read_settings()`` returns
    the settings anew or raises ``SettingsUnusable``.
    """

    def __init__(
        self,
        *,
        settings,
        source,
        interpreter,
        translator,
        read_settings,
        clock=time.monotonic,
        random_source=None,
    ):
        draw = (random_source or random.SystemRandom()).random
        self._settings = settings
        self._read_settings = read_settings
        self._clock = clock
        self._idle_limit = serving.IdleLimit(timeout_s=_IDLE_TIMEOUT_S)
        self._metrics = metrics.GatewayMetrics(
            registry=prometheus_client.CollectorRegistry()
        )
        self._stopping = stopping.Stopping(
            grace_s=settings.grace_s, clock=clock
        )
        self._dispatching = dispatching.Dispatching(
            own_data_centre=settings.data_centre,
            draw=draw,
            clock=clock,
            metrics=self._metrics,
        )
        self._suspects = suspects.Suspects(metrics=self._metrics, clock=clock)
        self._crashes = crashes.CrashWatch(
            suspects=self._suspects, metrics=self._metrics, clock=clock
        )
        self.knowledge = knowledge.Knowledge(
            interpreter=interpreter, clock=clock, on_change=self._publish
        )
        self._allowances = retrying.RetryAllowances(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            clock=clock,
        )
        self.peering = peering.Peering(
            settings=settings,
            knowledge=self.knowledge,
            dispatching=self._dispatching,
            suspects=self._suspects,
            describe=self._describe,
            find_pause_s=self._find_pause_s,
            renew_reading=lambda: self._follower.renew(),
            draw=draw,
            clock=clock,
        )
        self._follower = following.Follower(
            source=source,
            knowledge=self.knowledge,
            metrics=self._metrics,
            find_pause_s=self._find_pause_s,
            find_wait_s=lambda: published_pacing.choose_long_poll_s(
                peer_count=len(self.peering.table.alive(now_s=clock())),
                random_fraction=draw,
            ),
        )
        self._front = application.FrontApplication(
            forwarder=forwarder.Forwarder(
                knowledge=self.knowledge,
                dispatching=self._dispatching,
                allowances=self._allowances,
                translator=translator,
                metrics=self._metrics,
                crashes=self._crashes,
                suspects=self._suspects,
                draw=draw,
                clock=clock,
            ),
            translator=translator,
            knowledge=self.knowledge,
            stopping=self._stopping,
            clock=clock,
        )
        self._register_gauges()

    @property
    def is_ready(self):
        """Return whether callers should come here."""
        return self._knows_enough() and not self._stopping.has_begun

    def stop(self):
        """Begin a planned stop."""
        self._stopping.begin()

    def reload(self):
        """Read the settings anew and put in force what may change."""
        try:
            offered = self._read_settings()
        except exceptions.SettingsUnusable as error:
            logs.write_event(
                'reload_refused', level='warning', reason=str(error)
            )
            return
        reload = reloading.plan_reload(self._settings, offered)
        self._settings = reload.settings
        self._stopping.set_grace(reload.settings.grace_s)
        self.peering.table.set_seeds(reload.settings.seed_hosts)
        logs.write_event(
            'settings_reloaded',
            changed=','.join(reload.changed),
            needs_restart=','.join(reload.needs_restart),
        )

    def directory_addresses(self):
        """Return the addresses of the entries that take requests."""
        addresses = self.peering.serving_addresses()
        if self.is_ready:
            addresses.append(str(self._settings.caller_address))
        return sorted(addresses)

    async def run(self, *, directory, readiness):
        """Serve until stopped by a signal.

        ``directory`` and ``readiness`` are the ASGI applications of their
        addresses.
        """
        server = self._build_server(directory, readiness)
        listeners = [servers.bind(address) for address in self._addresses()]
        logs.write_event(
            'started',
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            address=self._settings.caller_address,
            seeds=','.join(self._settings.seed_hosts),
        )
        gc.collect()
        gc.freeze()
        async with anyio.create_task_group() as group:
            for task in (
                self._watch_signals,
                self.peering.run,
                self._follower.run,
                self._crashes.run,
            ):
                group.start_soon(supervision.keep_running, task)
            group.start_soon(server.serve, listeners)
            await self._stopping.run(
                count_in_flight=lambda: self._front.in_flight,
                announce=self.peering.announce,
            )
            server.should_exit = True
            await anyio.sleep(conf.STOP_MARGIN_S / 2)
            group.cancel_scope.cancel()

    def _addresses(self):
        settings = self._settings
        return (
            settings.caller_address,
            settings.directory_address,
            settings.ready_address,
            settings.metrics_address,
        )

    def _build_server(self, directory, readiness):
        registry = self._metrics.registry
        applications = (
            self._front,
            directory,
            readiness,
            prometheus_client.make_asgi_app(registry),
        )
        by_port = {
            address.port: served
            for address, served in zip(
                self._addresses(), applications, strict=True
            )
        }
        return serving.build_server(
            serving.ApplicationsByPort(by_port),
            header_timeout_s=_HEADER_TIMEOUT_S,
            idle_limit=self._idle_limit,
        )

    def _publish(self, publication):
        """Put published facts in force."""
        self._crashes.note_targets(publication.targets)
        catalogue = publication.catalogue
        if catalogue is None:
            return
        self._idle_limit.extend(catalogue.caller_limits.idle_timeout_s)
        entries = max(
            self.peering.table.max_entry_count, conf.EXPECTED_ENTRIES
        )
        self._allowances.set_entries(entries)
        closed = publication.closed_data_centres
        self._dispatching.publish(
            services_by_name=catalogue.services_by_name,
            targets=[
                x for x in publication.targets if x.data_centre not in closed
            ],
            entries=entries,
        )

    def _find_pause_s(self):
        return published_pacing.choose_read_pause_s(
            entry_count=self.peering.table.max_entry_count,
            is_settled=all(
                target.is_in_service and not target.is_draining
                for target in self.knowledge.publication.targets
            ),
        )

    def _knows_enough(self):
        publication = self.knowledge.publication
        return publication.catalogue is not None and bool(publication.targets)

    def _describe(self):
        return (
            self.is_ready,
            self._stopping.has_begun,
            self._dispatching.own_in_flight(),
        )

    async def _watch_signals(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                logs.write_event('signal_received', signal=received.name)
                if received is signal.SIGHUP:
                    self.reload()
                else:
                    self.stop()

    def _register_gauges(self):
        self._metrics.register_gauges(
            {
                'in_flight': (
                    'Requests of callers without a whole answer.',
                    lambda: self._front.in_flight,
                ),
                'queued': (
                    'Requests that wait for a target.',
                    self._dispatching.queue_length,
                ),
                'quarantined': (
                    'Requests that are quarantined for crashing targets.',
                    self._suspects.quarantined_count,
                ),
                'peers': (
                    'Other entries that are heard.',
                    lambda: len(self.peering.table.alive(now_s=self._clock())),
                ),
                'published_revision': (
                    'Revision of the view of published values.',
                    lambda: self.knowledge.as_of,
                ),
                'published_age_seconds': (
                    'Age of the view of published values.',
                    lambda: self.knowledge.stamp().age_s or 0.0,
                ),
            }
        )
