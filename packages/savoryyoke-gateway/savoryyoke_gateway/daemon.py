"""Assemble the gateway process."""

import gc
import random
import signal
import time

import anyio
import prometheus_client

from savoryyoke.forwarding import buffers as forwarding_buffers
from savoryyoke.intake import budget as intake_budget
from savoryyoke.intake import connections as intake_connections
from savoryyoke.intake import limits as intake_limits
from savoryyoke.published import pacing as published_pacing

from savoryyoke_edge import bounded_input
from savoryyoke_edge import logs
from savoryyoke_edge import reloading
from savoryyoke_edge import servers
from savoryyoke_edge import signal_receivers
from savoryyoke_edge import supervision
from savoryyoke_gateway import application
from savoryyoke_gateway import conf
from savoryyoke_gateway import crashes
from savoryyoke_gateway import dispatching
from savoryyoke_gateway import following
from savoryyoke_gateway import forwarder
from savoryyoke_gateway import metrics
from savoryyoke_gateway import peering
from savoryyoke_gateway import published_state
from savoryyoke_gateway import retrying
from savoryyoke_gateway import serving
from savoryyoke_gateway import stopping
from savoryyoke_gateway import suspects

# Limits in seconds of callers' connections. They are raised to those of each
# configuration, see ``serving.ConnectionTimeouts``.
_HEADER_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 15.0
# Settings that a running process can change. The others determine open sockets
# or limits that are already partly spent.
_RELOADABLE_FIELDS = frozenset({'seed_hosts', 'grace_s'})


class Gateway:
    """Own the components of one gateway process.

    The attribute ``published_state`` holds the published values, ``peering``
    the exchange with the other entries.

    ``settings`` is a ``ports.GatewaySettings``; ``source``, ``interpreter``
    and ``translator`` are described in ``ports``. ``read_settings()`` reads
    the settings again and returns them; it raises ``SettingsUnusable``.
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
        random_fraction = (random_source or random.SystemRandom()).random
        self._settings = settings
        self._reloader = reloading.SettingsReloader(
            settings=settings,
            reloadable_fields=_RELOADABLE_FIELDS,
            read_settings=read_settings,
            apply=self._apply_settings,
        )
        self._clock = clock
        self._connection_timeouts = serving.ConnectionTimeouts(
            header_s=_HEADER_TIMEOUT_S, idle_s=_IDLE_TIMEOUT_S
        )
        self._metrics = metrics.GatewayMetrics(
            registry=prometheus_client.CollectorRegistry()
        )
        process_limits = intake_limits.derive_limits(
            memory_mb=settings.memory_mb, max_fds=settings.max_fds
        )
        self._buffers = forwarding_buffers.BufferAccount(
            limit_bytes=min(
                conf.BUFFERS_LIMIT_BYTES, process_limits.answers_bytes
            )
        )
        self._intake = bounded_input.Intake(
            budget=intake_budget.ByteBudget(
                limit_bytes=process_limits.budget_bytes,
                get_answer_bytes=lambda: self._buffers.total_bytes,
            ),
            connections=intake_connections.ConnectionTable(
                limit=process_limits.connections
            ),
            answers=self._buffers,
            refusals=bounded_input.RefusalLog(
                count=self._metrics.count_input_refusal, clock=clock
            ),
            idle_s=_IDLE_TIMEOUT_S,
        )
        self._stopping = stopping.Stopping(
            grace_s=settings.grace_s, clock=clock
        )
        self._dispatching = dispatching.Dispatching(
            own_data_centre=settings.data_centre,
            random_fraction=random_fraction,
            clock=clock,
            metrics=self._metrics,
        )
        self.suspects = suspects.Suspects(metrics=self._metrics, clock=clock)
        self._crashes = crashes.CrashWatch(
            suspects=self.suspects, metrics=self._metrics, clock=clock
        )
        self.published_state = published_state.PublishedState(
            interpreter=interpreter,
            hold_times=settings.hold_times,
            metrics=self._metrics,
            clock=clock,
            on_change=self._apply_publication,
        )
        self._unsettled_targets = published_pacing.UnsettledTargets()
        self._allowances = retrying.RetryAllowances(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            clock=clock,
        )
        self.peering = peering.Peering(
            settings=settings,
            published_state=self.published_state,
            dispatching=self._dispatching,
            suspects=self.suspects,
            get_entry_state=self._get_entry_state,
            choose_read_pause_s=self._choose_read_pause_s,
            restart_long_poll=lambda: self._follower.restart_long_poll(),
            random_fraction=random_fraction,
            clock=clock,
        )
        self._follower = following.Follower(
            source=source,
            published_state=self.published_state,
            metrics=self._metrics,
            ask_peers=self.peering.copies.copy_at_start,
            choose_read_pause_s=self._choose_read_pause_s,
            choose_long_poll_s=lambda: published_pacing.choose_long_poll_s(
                peer_count=len(self.peering.table.alive(now_s=clock())),
                random_fraction=random_fraction,
            ),
        )
        self._forwarder = forwarder.Forwarder(
            published_state=self.published_state,
            dispatching=self._dispatching,
            allowances=self._allowances,
            translator=translator,
            metrics=self._metrics,
            crashes=self._crashes,
            suspects=self.suspects,
            stopping=self._stopping,
            buffers=self._buffers,
            random_fraction=random_fraction,
            clock=clock,
        )
        self._application = application.ForwardingApplication(
            forwarder=self._forwarder,
            translator=translator,
            published_state=self.published_state,
            stopping=self._stopping,
            clock=clock,
        )
        self._register_gauges()

    @property
    def is_ready(self):
        """Return whether callers should send requests to this entry."""
        return self._has_usable_publication() and not self._stopping.has_begun

    def stop(self):
        """Begin a graceful shutdown."""
        self._stopping.begin()

    def reload(self):
        """Read the settings again and apply those that need no restart."""
        self._reloader.reload()

    def directory_addresses(self):
        """Return the sorted addresses of the entries that accept requests."""
        addresses = self.peering.serving_addresses()
        if self.is_ready:
            addresses.append(str(self._settings.caller_address))
        return sorted(addresses)

    async def run(self, *, directory, readiness, listeners_by_address=None):
        """Serve until the shutdown that ``stop()`` or a signal begins.

        ``directory`` and ``readiness`` are the ASGI applications served at
        the directory address and the readiness address. The sockets in
        ``listeners_by_address`` listen already; their keys are
        ``host:port``.
        """
        server = self._build_server(directory, readiness)
        listeners = self._open_listeners(listeners_by_address or {})
        logs.write_event(
            'started',
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            address=self._settings.caller_address,
            seeds=','.join(self._settings.seed_hosts),
        )
        # Excludes what has been imported from further collections.
        gc.freeze()
        gc.enable()
        async with anyio.create_task_group() as group:
            for task in (
                self._watch_signals,
                self._reloader.run,
                self.peering.run,
                self._follower.run,
                self._crashes.run,
            ):
                group.start_soon(supervision.keep_running, task)
            group.start_soon(server.serve, listeners)
            await self._stopping.run(
                count_in_flight=lambda: self._application.in_flight,
                announce=self.peering.announce,
            )
            server.should_exit = True
            await anyio.sleep(conf.STOP_MARGIN_S / 2)
            group.cancel_scope.cancel()

    def _open_listeners(self, listeners_by_address):
        unused_listeners = dict(listeners_by_address)
        listeners = [
            unused_listeners.pop(str(address), None) or servers.bind(address)
            for address in self._addresses()
        ]
        # The settings have changed since these were opened.
        for listener in unused_listeners.values():
            listener.close()
        return listeners

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
            self._application,
            directory,
            readiness,
            prometheus_client.make_asgi_app(registry),
        )
        applications_by_port = {
            address.port: served_application
            for address, served_application in zip(
                self._addresses(), applications, strict=True
            )
        }
        return serving.build_server(
            serving.ApplicationsByPort(applications_by_port),
            timeouts=self._connection_timeouts,
            intake=self._intake,
        )

    def _apply_settings(self, settings):
        self._settings = settings
        self._stopping.set_grace(settings.grace_s)
        self.peering.table.set_seeds(settings.seed_hosts)

    def _apply_publication(self, publication):
        """Apply a new publication to the components that use it."""
        self._unsettled_targets.replace(
            [
                (target.target_id, target.incarnation, target.group_epoch)
                for target in publication.targets
                if target.is_draining or not target.is_in_service
            ],
            now_s=self._clock(),
        )
        # A target that only the configuration has dropped hasn't crashed.
        self._crashes.set_targets(
            publication.targets + publication.ignored_targets
        )
        catalogue = publication.catalogue
        if catalogue is None:
            return
        self._connection_timeouts.extend(
            header_s=catalogue.caller_limits.header_timeout_s,
            idle_s=catalogue.caller_limits.idle_timeout_s,
        )
        self._intake.idle_s = self._connection_timeouts.idle_s
        self._intake.header_bytes = catalogue.caller_limits.header_bytes
        self._intake.body_bytes = catalogue.caller_limits.body_bytes
        entry_count = max(
            self.peering.table.max_entry_count, conf.EXPECTED_ENTRY_COUNT
        )
        self._allowances.set_entry_count(entry_count)
        self._dispatching.update_targets(
            services_by_name=catalogue.services_by_name,
            targets=publication.open_targets(publication.targets),
            retired_targets=[
                target
                for target in publication.open_targets(
                    publication.ignored_targets
                )
                if target.service_name not in catalogue.service_names
            ],
            entry_count=entry_count,
            terms_by_service=catalogue.terms_by_service,
        )

    def _choose_read_pause_s(self):
        return published_pacing.choose_read_pause_s(
            entry_count=self.peering.table.max_entry_count,
            is_settled=self._unsettled_targets.is_settled(now_s=self._clock()),
        )

    def _has_usable_publication(self):
        publication = self.published_state.publication
        return publication.catalogue is not None and bool(publication.targets)

    def _get_entry_state(self):
        return (
            self.is_ready,
            self._stopping.has_begun,
            self._dispatching.own_in_flight(),
        )

    async def _watch_signals(self):
        with signal_receivers.open_receiver() as signals:
            async for received_signal in signals:
                logs.write_event(
                    'signal_received', signal=received_signal.name
                )
                if received_signal is signal.SIGHUP:
                    self.reload()
                else:
                    self.stop()

    def _register_gauges(self):
        self._metrics.register_gauges(
            {
                'in_flight': (
                    'Requests of callers without a whole answer.',
                    lambda: self._application.in_flight,
                ),
                'queued': (
                    'Requests that wait for a target.',
                    self._dispatching.queue_length,
                ),
                'buffered_answer_bytes': (
                    'Size of the answers of targets that are buffered.',
                    self._forwarder.buffered_bytes,
                ),
                'input_bytes': (
                    'Size of what callers have sent and that is in use.',
                    lambda: self._intake.budget.total_bytes,
                ),
                'input_limit_bytes': (
                    'Limit on input and buffered answers together.',
                    lambda: self._intake.budget.limit_bytes,
                ),
                'connections': (
                    'Open connections at all addresses.',
                    lambda: self._intake.connections.count,
                ),
                'lowest_group_limit': (
                    'Lowest limit of a group of engines, as a share of its'
                    ' slots; 1 without scarcity.',
                    self._dispatching.group_limits,
                ),
                'rate_limited_targets': (
                    'Targets that limit their requests per second.',
                    self._dispatching.rate_limited_count,
                ),
                'quarantined': (
                    'Patterns of requests that are quarantined.',
                    self.suspects.quarantined_count,
                ),
                'peers': (
                    'Other entries that are heard.',
                    lambda: len(self.peering.table.alive(now_s=self._clock())),
                ),
                'published_revision': (
                    'Revision of the view of published values.',
                    lambda: self.published_state.as_of.number,
                ),
                'published_epoch': (
                    'Epoch of the platform in the view of published values.',
                    lambda: self.published_state.as_of.epoch,
                ),
                'published_age_seconds': (
                    'Age of the view of published values.',
                    lambda: self.published_state.stamp().age_s or 0.0,
                ),
            }
        )
