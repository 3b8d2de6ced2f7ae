"""Build and run the components of the target process."""

import secrets

import anyio
import anyio.abc
import prometheus_client

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf as admission_conf
from savoryyoke.admission import events as admission_events
from savoryyoke.calls import conf as calls_conf
from savoryyoke.calls.ledger import authority
from savoryyoke.configuration import schema as configuration_schema
from savoryyoke_edge import connections
from savoryyoke_edge.control import plane
from savoryyoke_edge import exceptions as edge_exceptions
from savoryyoke_edge import logs
from savoryyoke_edge import platform
from savoryyoke_edge import processes
from savoryyoke_target import backends
from savoryyoke_target import conf
from savoryyoke_target import crashes
from savoryyoke_target import departures
from savoryyoke_target import dispatcher
from savoryyoke_target import keyed_calls
from savoryyoke_target import metrics
from savoryyoke_target import sessions
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages

INCARNATION_BITS = 64
DRAIN_POLL_S = 0.05


class Daemon:
    """Accept calls from entries and run them on one back end."""

    def __init__(self, *, settings):
        self._settings = settings
        self._clock = anyio.current_time
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._registry = prometheus_client.CollectorRegistry()
        self._sessions_by_number = {}
        self._session_count = 0
        self._drain_requested = anyio.Event()
        self._draining = False
        self._admission = aggregates.Admission(
            limits=admission_conf.AdmissionLimits()
        )
        self._ledger = None
        self._dispatcher = None
        self._keyed_calls = None
        self._guard = None
        self._plane = None
        self._reader = platform.PlatformReader(
            url=settings.platform_url, timeout_s=settings.platform_timeout_s
        )

    @property
    def ready(self):
        """Return whether entries may send calls to this process."""
        return self._plane.applied is not None and not self._draining

    def start_drain(self):
        """Start the planned stop of this process."""
        self._drain_requested.set()

    def build_status(self):
        """Return the status that operators can read."""
        load = self._admission.snapshot()
        return {
            'role': 'target',
            'target_id': self._settings.target_id,
            'incarnation': f'{self._incarnation:016x}',
            'data_centre': self._settings.data_centre,
            'region': self._settings.region,
            'service': self._settings.service,
            'draining': self._draining,
            'entries': len(self._sessions_by_number),
            'running': load.running,
            'queued': load.queued,
            'limit': load.concurrency_limit,
            'cold': load.cold,
            'records': self._ledger.record_count,
            'members': len(self._plane.membership.members()),
            'self_suspected': self._plane.is_suspect,
            **plane.describe_configuration(self._plane),
        }

    async def run(self):
        """Serve until drained or cancelled."""
        started_s = self._clock()
        self._ledger = authority.Ledger(
            target_id=self._settings.target_id,
            incarnation=self._incarnation,
            started_s=started_s,
            limits=calls_conf.LedgerLimits(
                record_limit=self._settings.ledger_limit_records
            ),
        )
        async with anyio.create_task_group() as tasks:
            self._build_parts(tasks)
            await self._serve(tasks)
            tasks.cancel_scope.cancel()

    def _build_parts(self, tasks):
        backend = backends.Backend(
            url=self._settings.backend_url,
            connect_timeout_s=self._settings.connect_timeout_s,
            answer_limit_bytes=self._settings.body_limit_bytes,
        )
        self._guard = crashes.CrashGuard(
            process_name=(
                f'{self._settings.target_id}-{self._incarnation:016x}'
            ),
            backend=backend,
            tasks=tasks,
            clock=self._clock,
            broadcast_load=self._broadcast_load,
        )
        self._keyed_calls = keyed_calls.KeyedCalls(
            ledger=self._ledger,
            backend=backend,
            guard=self._guard,
            tasks=tasks,
            clock=self._clock,
            backend_timeout_s=self._settings.backend_timeout_s,
        )
        self._dispatcher = dispatcher.Dispatcher(
            admission=self._admission,
            keyed_calls=self._keyed_calls,
            backend=backend,
            guard=self._guard,
            tasks=tasks,
            clock=self._clock,
        )
        self._guard.attach(self._dispatcher)
        self._keyed_calls.attach(self._dispatcher.feed_admission)
        self._plane = plane.ControlPlane(
            settings=self._settings,
            role=plane.TARGET,
            hello=self._build_hello(),
            reader=self._reader,
            clock=self._clock,
            owner=self,
        )
        metrics.register(
            self._registry,
            admission=self._admission,
            ledger=self._ledger,
            dispatcher=self._dispatcher,
            plane=self._plane,
        )

    async def _serve(self, tasks):
        listener = await anyio.create_tcp_listener(
            local_host=self._settings.listen_address.host,
            local_port=self._settings.listen_address.port,
        )
        admin_server = processes.AdminServer(
            daemon=self, settings=self._settings, registry=self._registry
        )
        await self._plane.bind()
        self._announce(listener, admin_server)
        tasks.start_soon(self._plane.run)
        tasks.start_soon(self._tick)
        tasks.start_soon(self._report_load)
        tasks.start_soon(processes.watch_signals, self.start_drain)
        tasks.start_soon(self._accept, listener)
        tasks.start_soon(admin_server.run)
        await self._drain_requested.wait()
        await self._drain(tasks)
        admin_server.stop()

    def _announce(self, listener, admin_server):
        address = listener.extra(anyio.abc.SocketAttribute.local_address)
        logs.write_event(
            'target_started',
            target=self._settings.target_id,
            incarnation=f'{self._incarnation:016x}',
            address=f'{address[0]}:{address[1]}',
            admin_address=admin_server.address,
            control_address=self._plane.address,
            backend=self._settings.backend_url,
        )

    def on_vm_list(self, vm_list):
        """Ignore the list; the control plane stores it to find heirs."""

    def on_member_changed(self, decision):
        """Ignore the change; it does not affect a target process."""

    def on_attachments(self, vm_id, attachments):
        """Ignore the payloads; they do not affect a target process."""

    def on_configuration_applied(self, applied):
        """Apply the state of the data centre and the limits of the service."""
        data_centre = applied.configuration.data_centres_by_name.get(
            self._settings.data_centre
        )
        self._dispatcher.set_data_centre_out(
            data_centre is not None
            and data_centre.state is configuration_schema.DataCentreState.OUT
        )
        services = applied.configuration.services_by_name
        service = services.get(self._settings.service)
        if service is None:
            logs.write_event(
                'service_not_configured',
                level='error',
                service=self._settings.service,
            )
            return
        max_concurrency = service.admission.max_concurrency
        limits = admission_conf.AdmissionLimits(
            max_concurrency=max_concurrency,
            initial_concurrency=min(
                service.warm_up.initial_concurrency, max_concurrency
            ),
            queue_limit=service.admission.queue_limit,
        )
        policy = admission_conf.WarmUpPolicy(
            slow_start_step=service.warm_up.growth_per_success,
            idle_period_s=service.warm_up.cold_after_idle_s,
        )
        self._dispatcher.feed_admission(
            admission_events.LimitsChanged(limits=limits, policy=policy)
        )

    async def _accept(self, listener):
        await listener.serve(self._handle_connection)

    async def _handle_connection(self, stream):
        connection = connections.Connection(
            stream=stream, hello=self._build_hello()
        )
        try:
            early_messages = await connection.open()
        except edge_exceptions.ConnectionLost as error:
            logs.write_event(
                'connection_refused', level='warning', reason=str(error)
            )
            await anyio.aclose_forcefully(stream)
            return
        self._session_count += 1
        session = sessions.Session(
            number=self._session_count, connection=connection
        )
        self._sessions_by_number[session.number] = session
        session.send(self._build_load())
        try:
            await connection.run(
                lambda message: self._dispatcher.receive(session, message),
                early_messages,
            )
        finally:
            del self._sessions_by_number[session.number]
            self._dispatcher.end_session(session)

    def _build_hello(self):
        return messages.Hello(
            version_low=wire_conf.VERSION_LOW,
            version_high=wire_conf.VERSION_HIGH,
            process_id=self._settings.target_id,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            service=self._settings.service,
        )

    def _build_load(self):
        now_s = self._clock()
        load = self._admission.snapshot()
        return messages.Load(
            sent_ms=int(now_s * 1000),
            running=load.running,
            queued=load.queued,
            limit=load.concurrency_limit,
            wait_ms=int(load.estimated_wait_s * 1000),
            cold=load.cold,
            draining=self._draining,
            stamps=tuple(
                messages.Stamp(
                    target_id=stamp.target_id,
                    incarnation=stamp.incarnation,
                    stamp_ms=stamp.stamp_ms,
                    window_ms=stamp.window_ms,
                )
                for stamp in self._ledger.stamps(now_s=now_s)
            ),
            revision=plane.get_revision(self._plane),
            crash_reports=self._guard.next_reports(),
        )

    async def _report_load(self):
        while True:
            await anyio.sleep(self._settings.heartbeat_period_s)
            self._broadcast_load()

    def _broadcast_load(self):
        self._broadcast(self._build_load())

    async def _tick(self):
        while True:
            await anyio.sleep(conf.TICK_S)
            self._dispatcher.feed_admission(admission_events.Ticked())
            self._keyed_calls.tick()

    async def _drain(self, tasks):
        """Stop taking calls, transfer the ledger, finish the running calls."""
        self._draining = True
        self._plane.start_leaving()
        logs.write_event('drain_started', target=self._settings.target_id)
        self._broadcast_load()
        await self._depart(tasks)
        with anyio.move_on_after(conf.KEYED_DRAIN_S):
            while self._keyed_calls.unfinished:
                await anyio.sleep(DRAIN_POLL_S)
        self._dispatcher.feed_admission(admission_events.DrainStarted())
        with anyio.move_on_after(self._settings.drain_timeout_s):
            while self._is_busy():
                await anyio.sleep(DRAIN_POLL_S)
        logs.write_event(
            'drain_finished',
            target=self._settings.target_id,
            unfinished=self._dispatcher.unfinished,
        )
        await self._plane.leave()

    def _is_busy(self):
        """Return whether a call is running or a record awaits its transfer."""
        return self._dispatcher.unfinished or self._ledger.in_progress_count

    async def _depart(self, tasks):
        departure = departures.Departure(
            target_id=self._settings.target_id,
            hello=self._build_hello(),
            tasks=tasks,
            feed=self._keyed_calls.feed,
            broadcast=self._broadcast,
        )
        self._keyed_calls.start_departure(departure)
        await departure.run(await self._find_heirs())

    async def _find_heirs(self):
        vm_list = self._plane.vm_list
        with anyio.move_on_after(conf.HEIR_CONNECT_TIMEOUT_S):
            try:
                vm_list = await self._reader.read_vms()
            except edge_exceptions.PlatformUnavailable:
                logs.write_event('vm_list_old', level='warning')
        if vm_list is None:
            return ()
        return tuple(
            vm
            for vm in vm_list.vms
            if vm.role == 'target'
            and vm.service == self._settings.service
            and vm.state == 'live'
            and vm.vm_id != self._settings.vm_id
        )

    def _broadcast(self, message):
        for session in self._sessions_by_number.values():
            session.send(message)
