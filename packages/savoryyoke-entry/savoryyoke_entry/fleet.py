"""Track the targets of each service, their links and their state."""

import math

import anyio
import numpy

from savoryyoke.calls import conf as calls_conf
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import routes
from savoryyoke.configuration import schema as configuration_schema
from savoryyoke.membership import decisions as membership_decisions
from savoryyoke.retries import aggregates as retry_aggregates
from savoryyoke.retries import conf as retry_conf
from savoryyoke.routing import events as routing_events
from savoryyoke.routing import router as routing
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_entry import exceptions
from savoryyoke_entry import links
from savoryyoke_entry import suspects
from savoryyoke_entry import wait_queues
from savoryyoke_wire import messages


class Service:
    """Hold the router, retry budget and wait queue of one service."""

    def __init__(self, *, name, router, clock, links_by_target_id):
        self.name = name
        self.router = router
        self._clock = clock
        self._links_by_target_id = links_by_target_id
        self._retries = None
        self.wait_queue = wait_queues.WaitQueue(clock=clock)

    def configure(self, policy):
        """Apply the retry policy of the configuration in force."""
        self._retries = retry_aggregates.ServiceRetries(
            policy=retry_conf.RetryPolicy(
                budget_share=policy.budget_ratio,
                max_tries=policy.max_attempts,
            ),
            now_s=self._clock(),
        )

    def feed(self, event):
        """Pass an event to the router and log its decisions."""
        for decision in self.router.apply(event, now_s=self._clock()):
            logs.write_event(
                'routing_event',
                level='debug',
                service=self.name,
                decision=decision,
            )

    def feed_retries(self, event):
        """Pass an event to the retry policy and return its decisions."""
        return self._retries.apply(event, now_s=self._clock())

    @property
    def target_ids(self):
        """Return the ids of all targets with links, of any service.

        The router chooses only among the targets of its own service.
        """
        return frozenset(self._links_by_target_id)

    def get_link(self, target_id):
        """Return the link to a target; raise ``LinkDown`` without one."""
        return _find_link(self._links_by_target_id, target_id)


class Fleet:
    """Manage the links to the targets and the state of each target."""

    def __init__(self, *, settings, hello, task_group, clock):
        self._settings = settings
        self._hello = hello
        self._task_group = task_group
        self._clock = clock
        self._generator = numpy.random.default_rng(settings.seed)
        self._links_by_target_id = {}
        self._scopes_by_target_id = {}
        self._vms_by_target_id = {}
        self._data_centres_by_entry_id = {}
        self._generations_by_target_id = {}
        self._services_by_name = {}
        self.routes = routes.Routes(limits=calls_conf.AttemptLimits())
        self.suspect_requests = suspects.SuspectRequests(clock=clock)

    @property
    def services(self):
        """Return the services by name."""
        return self._services_by_name

    @property
    def connected_target_count(self):
        """Return the number of connected targets."""
        return sum(
            link.peer is not None for link in self._links_by_target_id.values()
        )

    @property
    def expected_target_count(self):
        """Return the number of targets that should be connected."""
        return len(self._links_by_target_id)

    def count_targets_in_contact(self, silence_s):
        """Return how many targets sent a message in the last ``silence_s``."""
        since_s = self._clock() - silence_s
        return sum(
            link.last_message_at_s >= since_s
            for link in self._links_by_target_id.values()
        )

    def get_link(self, target_id):
        """Return the link to a target; raise ``LinkDown`` without one."""
        return _find_link(self._links_by_target_id, target_id)

    def make_binding(self, service_name):
        """Return the text of a binding for new keys of a service.

        Return None if no connected target can be bound.
        """
        service = self._services_by_name.get(service_name)
        if service is None:
            return None
        for candidate in service.router.bindings(self._clock()):
            link = self._links_by_target_id.get(candidate.target_id)
            if link is None or link.peer is None:
                continue
            binding = self.routes.make_binding(
                service=service_name,
                target_id=candidate.target_id,
                incarnation=link.peer.incarnation,
            )
            if binding is not None:
                return binding.format()
        return None

    def apply_configuration(self, applied, data_centres_out):
        """Apply the configuration in force to all services.

        ``data_centres_out`` names the data centres that are taken out.
        """
        configuration = applied.configuration
        for name, declared in configuration.services_by_name.items():
            self._ensure_service(name).configure(declared.retry)
        event = routing_events.ConfigurationApplied(
            revision=applied.base_revision + applied.overlay_revision,
            data_centres_out=data_centres_out,
        )
        for service in self._services_by_name.values():
            service.feed(event)
        self._plan_links()

    def apply_vm_list(self, vm_list):
        """Update targets and links from the platform's list of VMs."""
        self._data_centres_by_entry_id = {
            vm.vm_id: vm.data_centre
            for vm in vm_list.vms
            if vm.role == 'entry' and vm.state == 'live'
        }
        vms_by_id = {vm.vm_id: vm for vm in vm_list.vms if vm.role == 'target'}
        for target_id in set(self._vms_by_target_id) - set(vms_by_id):
            self._feed_target(target_id, routing_events.TargetGone)
            self._drop_link(target_id)
            del self._vms_by_target_id[target_id]
        for target_id, vm in vms_by_id.items():
            previous_vm = self._vms_by_target_id.get(target_id)
            if previous_vm is not None and previous_vm.address != vm.address:
                self._drop_link(target_id)
            self._vms_by_target_id[target_id] = vm
        self._plan_links()

    def _plan_links(self):
        """Connect to the targets that each service's router selects."""
        peers = routing_events.PeersChanged(
            data_centres_by_entry_id=self._data_centres_by_entry_id
        )
        for service in self._services_by_name.values():
            service.feed(peers)
        for vm in self._vms_by_target_id.values():
            self._add_target(vm)
        for service in self._services_by_name.values():
            change = service.router.plan_connections()
            for target_id in change.connect:
                self._ensure_link(self._vms_by_target_id[target_id])
            for target_id in change.disconnect:
                self._drop_link(target_id)

    def _add_target(self, vm):
        service = self._services_by_name.get(vm.service)
        if service is None:
            return
        generation, _ = self._generations_by_target_id.setdefault(
            vm.vm_id, (0, None)
        )
        service.feed(
            routing_events.TargetSeen(
                target_id=vm.vm_id,
                incarnation=generation,
                data_centre=vm.data_centre,
                address=vm.address,
            )
        )
        if vm.state == 'leaving':
            self._mark_leaving(vm.vm_id)

    async def connect_target(self, target_id):
        """Return the link to a target once it is up.

        A bound key may name a target that this entry is not connected to.
        Raise ``LinkDown`` if the link is not up in time.
        """
        vm = self._vms_by_target_id.get(target_id)
        if vm is None:
            raise exceptions.LinkDown(target_id)
        self._ensure_link(vm)
        link = self.get_link(target_id)
        await link.wait_until_up(self._settings.connect_timeout_s)
        return link

    def apply_membership_change(self, decision):
        """Apply a membership decision on a target's process."""
        if isinstance(decision, membership_decisions.MemberLeaving):
            self._mark_leaving(decision.vm_id)

    def _ensure_service(self, name):
        service = self._services_by_name.get(name)
        if service is None:
            router = routing.Router(
                service=name,
                entry_id=self._settings.vm_id,
                data_centre=self._settings.data_centre,
                generator=self._generator,
            )
            service = Service(
                name=name,
                router=router,
                clock=self._clock,
                links_by_target_id=self._links_by_target_id,
            )
            self._services_by_name[name] = service
        return service

    def _ensure_link(self, vm):
        if vm.service not in self._services_by_name:
            return
        if vm.vm_id in self._links_by_target_id:
            return
        link = links.Link(
            target_id=vm.vm_id,
            address=addresses.parse_peer_address(vm.address),
            hello=self._hello,
            timeout_s=self._settings.connect_timeout_s,
            owner=self,
        )
        self._links_by_target_id[vm.vm_id] = link
        scope = anyio.CancelScope()
        self._scopes_by_target_id[vm.vm_id] = scope
        self._task_group.start_soon(_run_in_scope, link, scope)

    def _drop_link(self, target_id):
        self._links_by_target_id.pop(target_id, None)
        scope = self._scopes_by_target_id.pop(target_id, None)
        if scope is not None:
            scope.cancel()

    def on_link_up(self, link):
        """Notify the router that a target is connected."""
        vm = self._vms_by_target_id.get(link.target_id)
        if vm is None:
            return
        generation = self._update_generation(link)
        service = self._services_by_name[vm.service]
        service.feed(
            routing_events.TargetSeen(
                target_id=link.target_id,
                incarnation=generation,
                data_centre=link.peer.data_centre,
                address=vm.address,
            )
        )
        service.feed(routing_events.TargetReachable(target_id=link.target_id))
        service.router.plan_connections()

    def _update_generation(self, link):
        """Return a number that grows with each incarnation of a target.

        Incarnations are random numbers, but the router needs them in order.
        A later connection reaches the newer incarnation.
        """
        generation, incarnation = self._generations_by_target_id[
            link.target_id
        ]
        if incarnation != link.peer.incarnation:
            generation += 1
        self._generations_by_target_id[link.target_id] = (
            generation,
            link.peer.incarnation,
        )
        return generation

    def on_link_down(self, link):
        """Notify the router that a target is not connected."""
        vm = self._vms_by_target_id.get(link.target_id)
        if vm is None:
            return
        self._services_by_name[vm.service].feed(
            routing_events.TargetUnreachable(target_id=link.target_id)
        )

    def on_link_message(self, link, message):
        """Handle a message of a target that belongs to no call."""
        match message:
            case messages.Load():
                self._handle_load(link, message)
            case messages.HeirNamed():
                self._apply_heir(message)

    def _apply_heir(self, heir_message):
        heir = snapshots.Heir(
            target_id=heir_message.heir_target_id,
            incarnation=heir_message.heir_incarnation,
        )
        for stamp in heir_message.stamps:
            self.routes.apply_handover(
                incarnation=stamp.incarnation,
                heir=heir,
                stamp_ms=stamp.stamp_ms,
            )

    def _handle_load(self, link, load):
        for stamp in load.stamps:
            self.routes.apply_stamp(stamp)
        self.suspect_requests.record_crash_reports(load.crash_reports)
        vm = self._vms_by_target_id.get(link.target_id)
        if vm is None:
            return
        generation, _ = self._generations_by_target_id[link.target_id]
        service = self._services_by_name[vm.service]
        service.feed(
            routing_events.LoadReported(
                target_id=link.target_id,
                incarnation=generation,
                stamp_s=load.sent_ms / 1000,
                running=load.running,
                queued=load.queued,
                limit=load.limit,
                estimated_wait_s=load.wait_ms / 1000,
                cold=load.cold,
                kv_free_ratio=_bound_ratio(load.kv_free),
            )
        )
        if load.draining:
            self._mark_leaving(link.target_id)

    def _mark_leaving(self, target_id):
        self._feed_target(target_id, routing_events.TargetLeaving)

    def _feed_target(self, target_id, event_class):
        generation_record = self._generations_by_target_id.get(target_id)
        if generation_record is None:
            return
        for service in self._services_by_name.values():
            service.feed(
                event_class(
                    target_id=target_id, incarnation=generation_record[0]
                )
            )


def find_data_centres_out(configuration):
    """Return the names of the data centres that are taken out."""
    return frozenset(
        name
        for name, data_centre in configuration.data_centres_by_name.items()
        if data_centre.state is configuration_schema.DataCentreState.OUT
    )


async def _run_in_scope(link, scope):
    with scope:
        await link.run()


def _find_link(links_by_target_id, target_id):
    link = links_by_target_id.get(target_id)
    if link is None:
        raise exceptions.LinkDown(target_id)
    return link


def _bound_ratio(value):
    if not math.isfinite(value):
        return 0.0
    return min(1.0, max(0.0, value))
