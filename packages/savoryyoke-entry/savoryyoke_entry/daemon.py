"""Assemble and run the entry daemon."""

import functools
import secrets

import anyio
import prometheus_client

from savoryyoke.calls.attempts import forwarded
from savoryyoke.calls.attempts import pauses
from savoryyoke.calls import conf as calls_conf
from savoryyoke.configuration import routes
from savoryyoke_edge.control import plane
from savoryyoke_edge import logs
from savoryyoke_edge import platform
from savoryyoke_edge import problems
from savoryyoke_edge import processes
from savoryyoke_edge import servers
from savoryyoke_entry import application
from savoryyoke_entry import conf
from savoryyoke_entry import directories
from savoryyoke_entry import fleet
from savoryyoke_entry import metrics
from savoryyoke_entry import requests
from savoryyoke_entry import team_limits
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages

INCARNATION_BITS = 64


class Daemon:
    """Serve callers by relaying their requests to targets."""

    def __init__(self, *, settings):
        self._settings = settings
        self._clock = anyio.current_time
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._registry = prometheus_client.CollectorRegistry()
        self._metrics = metrics.EntryMetrics(registry=self._registry)
        self._reader = platform.PlatformReader(
            url=settings.platform_url, timeout_s=settings.platform_timeout_s
        )
        self._drain_requested = anyio.Event()
        self._draining = False
        self._route_table = None
        self._teams = {}
        self._application = None
        self._plane = None
        self._pauses = None
        self._address = ''
        self.attempt_limits = calls_conf.AttemptLimits()
        self.carried = forwarded.ForwardedAnswers(limits=self.attempt_limits)
        self.fleet = None
        self._directory = None
        self.team_limiter = team_limits.TeamLimiter(
            entry_id=settings.vm_id,
            incarnation=self._incarnation,
            clock=self._clock,
        )

    @property
    def ready(self):
        """Return whether this entry can serve callers."""
        return (
            self._route_table is not None
            and self._plane.vm_list is not None
            and not self._plane.is_suspect
            and not self._draining
            and self.fleet.connected_target_count > 0
        )

    def start_drain(self):
        """Start the planned stop of this process."""
        self._drain_requested.set()

    def build_status(self):
        """Return the status document for operators."""
        return {
            'role': 'entry',
            'vm_id': self._settings.vm_id,
            'incarnation': f'{self._incarnation:016x}',
            'data_centre': self._settings.data_centre,
            'region': self._settings.region,
            'address': self._address,
            'ready': self.ready,
            'draining': self._draining,
            'in_flight': self._application.in_flight,
            'targets_connected': self.fleet.connected_target_count,
            'targets_known': self.fleet.expected_target_count,
            'members': len(self._plane.membership.members()),
            'self_suspected': self._plane.is_suspect,
            **plane.describe_configuration(self._plane),
        }

    def observe_pause(self):
        """Return whether this process may have been paused just now."""
        return self._pauses.observe(now_s=self._clock())

    def get_routes_and_teams(self):
        """Return the route table and the teams by name.

        Raise ``RequestRefused`` while no configuration is in force.
        """
        if self._route_table is None:
            requests.refuse(
                'cut-off',
                'no configuration is in force yet',
                retry_after_s=conf.RETRY_AFTER_S,
            )
        return self._route_table, self._teams

    def count_request(self, service, operation, outcome, duration_s):
        """Count one ended request."""
        self._metrics.count(
            service=service,
            operation=operation,
            outcome=outcome,
            duration_s=duration_s,
        )

    def build_directory(self, scope):
        """Return the directory document for a caller, or a ``Problem``."""
        if self._route_table is None or self._plane.vm_list is None:
            return problems.Problem(
                name='cut-off',
                detail='this entry has just started; use another',
                retry_after_s=conf.RETRY_AFTER_S,
            )
        team = requests.read_team_name(scope)
        return self._directory.build_answer(
            scope,
            team=team,
            may_serve=functools.partial(
                self.team_limiter.may_serve, team=team
            ),
            bindings=self._build_bindings(),
        )

    def _build_bindings(self):
        """Return a binding for each service with non-idempotent calls."""
        bindings = {}
        for name in self._keyed_services:
            binding = self.fleet.make_binding(name)
            if binding is not None:
                bindings[name] = binding
        return bindings

    async def run(self):
        """Serve until drained or cancelled."""
        self._pauses = pauses.PauseMonitor(
            now_s=self._clock(),
            threshold_s=self.attempt_limits.pause_threshold_s,
            recovery_s=self.attempt_limits.pause_recovery_s,
        )
        self._application = application.Application(
            daemon=self,
            settings=self._settings,
            clock=self._clock,
            incarnation=self._incarnation,
        )
        async with anyio.create_task_group() as tasks:
            self.fleet = fleet.Fleet(
                settings=self._settings,
                hello=self._build_hello(),
                task_group=tasks,
                clock=self._clock,
            )
            self._directory = directories.EntryDirectory(
                settings=self._settings,
                clock=self._clock,
                fleet=self.fleet,
            )
            self._plane = plane.ControlPlane(
                settings=self._settings,
                role=plane.ENTRY,
                hello=self._build_hello(),
                reader=self._reader,
                clock=self._clock,
                owner=self,
            )
            self._metrics.register_state(
                application=self._application,
                fleet=self.fleet,
                plane=self._plane,
            )
            await self._serve(tasks)
            tasks.cancel_scope.cancel()

    async def _serve(self, tasks):
        listener = servers.bind(self._settings.listen_address)
        server = servers.build_server(
            self._application,
            header_timeout_s=self._settings.header_timeout_s,
            idle_timeout_s=self._settings.idle_timeout_s,
            connection_limit=self._settings.connection_limit,
        )
        admin_server = processes.AdminServer(
            daemon=self, settings=self._settings, registry=self._registry
        )
        await self._plane.bind()
        self._log_start(listener, admin_server)
        tasks.start_soon(self._plane.run)
        tasks.start_soon(self.team_limiter.run, self._plane.send_request)
        tasks.start_soon(self._directory.run, self._plane.membership)
        tasks.start_soon(self._check_pauses)
        tasks.start_soon(processes.watch_signals, self.start_drain)
        tasks.start_soon(admin_server.run)
        tasks.start_soon(_serve_http, server, listener)
        await self._drain_requested.wait()
        await self._drain(server)
        admin_server.stop()

    def _log_start(self, listener, admin_server):
        host, port = listener.getsockname()
        advertised = self._settings.advertised_address
        self._address = str(advertised) if advertised else f'{host}:{port}'
        logs.write_event(
            'entry_started',
            vm=self._settings.vm_id,
            incarnation=f'{self._incarnation:016x}',
            address=f'{host}:{port}',
            admin_address=admin_server.address,
            control_address=self._plane.address,
        )

    def _build_hello(self):
        return messages.Hello(
            version_low=wire_conf.VERSION_LOW,
            version_high=wire_conf.VERSION_HIGH,
            process_id=self._settings.vm_id,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
        )

    def on_vm_list(self, vm_list):
        """Apply the platform's list of VMs."""
        self.team_limiter.apply_vm_list(vm_list)
        self.fleet.apply_vm_list(vm_list)
        self._directory.apply_vm_list(vm_list)

    def on_member_changed(self, decision):
        """Apply a membership change."""
        self.fleet.apply_membership_change(decision)

    def answer_loan(self, request):
        """Return the ``LoanAnswer`` to another entry's loan request."""
        return self.team_limiter.answer_loan_request(request)

    def on_attachments(self, vm_id, attachments):
        """Ignore the attachments of another process."""

    def on_configuration_applied(self, applied):
        """Apply the configuration in force."""
        configuration = applied.configuration
        self._route_table = routes.RouteTable(configuration=configuration)
        self._teams = configuration.teams_by_name
        self.team_limiter.apply_teams(self._teams)
        self._keyed_services = tuple(
            name
            for name, service in configuration.services_by_name.items()
            if _has_keyed_operations(service)
        )
        data_centres_out = fleet.find_data_centres_out(applied.configuration)
        self.fleet.apply_configuration(applied, data_centres_out)
        self._directory.apply_data_centres_out(data_centres_out)

    async def _check_pauses(self):
        while True:
            self.observe_pause()
            await anyio.sleep(conf.PAUSE_CHECK_S)

    async def _drain(self, server):
        """Stop once no caller uses this entry.

        Serve until the directory answers that list this entry have expired,
        then wait for the requests in flight, up to the drain timeout.
        """
        self._draining = True
        self._plane.start_leaving()
        logs.write_event('drain_started', vm=self._settings.vm_id)
        await anyio.sleep_until(self._directory.start_drain())
        with anyio.move_on_after(self._settings.drain_timeout_s):
            while self._application.in_flight:
                await anyio.sleep(conf.DRAIN_POLL_S)
        logs.write_event(
            'drain_finished',
            vm=self._settings.vm_id,
            in_flight=self._application.in_flight,
        )
        await self._plane.leave()
        server.should_exit = True


async def _serve_http(server, listener):
    await server.serve(sockets=[listener])


def _has_keyed_operations(service):
    return any(
        not operation.idempotent
        for operation in service.operations_by_name.values()
    )
