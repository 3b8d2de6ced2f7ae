"""Know the targets of each service, their links and their state."""

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
from savoryyoke_entry import turns
from savoryyoke_wire import messages


class Service:
    """Hold the router and the retry budget of one service."""

    def __init__(self, *, name, router, clock, links_by_target_id):
        self.name = name
        self.router = router
        self._clock = clock
        self._links_by_target_id = links_by_target_id
        self._retries = None
        self.turns = turns.Turns(clock=clock)

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
        """Pass an event to the router and log what it rejects."""
        for decision in self.router.apply(event, now_s=self._clock()):
            logs.write_event(
                'routing_event',
                level='debug',
                service=self.name,
                decision=decision,
            )

    def feed_retries(self, event):
        """Pass an event to the retry rules and return their decisions."""
        return self._retries.apply(event, now_s=self._clock())

    @property
    def target_ids(self):
        """Return the targets with links; the router knows which are its."""
        return frozenset(self._links_by_target_id)

    def get_link(self, target_id):
        """Return the link to a target; raise ``LinkDown`` without one."""
        return _find_link(self._links_by_target_id, target_id)


class Fleet:
    """Own the links to the targets and what the entry knows of them."""

    def __init__(self, *, settings, hello, tasks, clock):
        self._settings = settings
        self._hello = hello
        self._tasks = tasks
        self._clock = clock
        self._generator = numpy.random.default_rng(settings.seed)
        self._links_by_target_id = {}
        self._scopes_by_target_id = {}
        self._rows_by_target_id = {}
        self._data_centres_by_entry_id = {}
        self._generations_by_target_id = {}
        self._services_by_name = {}
        self.routes = routes.Routes(limits=calls_conf.AttemptLimits())
        self.suspects = suspects.Suspects(clock=clock)

    @property
    def services(self):
        """Return the services by name."""
        return self._services_by_name

    @property
    def links_up(self):
        """Return how many targets are connected."""
        return sum(
            link.peer is not None for link in self._links_by_target_id.values()
        )

    @property
    def links_wanted(self):
        """Return how many targets should be connected."""
        return len(self._links_by_target_id)

    def count_heard(self, silence_s):
        """Return how many targets sent something in the last seconds."""
        since_s = self._clock() - silence_s
        return sum(
            link.heard_at_s >= since_s
            for link in self._links_by_target_id.values()
        )

    def get_link(self, target_id):
        """Return the link to a target; raise ``LinkDown`` without one."""
        return _find_link(self._links_by_target_id, target_id)

    def bind(self, service_name):
        """Return the text of a binding for new keys, or None."""
        service = self._services_by_name.get(service_name)
        if service is None:
            return None
        for offer in service.router.bindings(self._clock()):
            link = self._links_by_target_id.get(offer.target_id)
            if link is None or link.peer is None:
                continue
            binding = self.routes.make_binding(
                service=service_name,
                target_id=offer.target_id,
                incarnation=link.peer.incarnation,
            )
            if binding is not None:
                return binding.format()
        return None

    def apply_configuration(self, applied, out):
        """Follow the configuration in force.

        ``out`` names the data centres that are taken out.
        """
        configuration = applied.configuration
        for name, declared in configuration.services_by_name.items():
            self._ensure_service(name).configure(declared.retry)
        event = routing_events.ConfigurationApplied(
            revision=applied.base_revision + applied.overlay_revision,
            data_centres_out=out,
        )
        for service in self._services_by_name.values():
            service.feed(event)
        self._plan_links()

    def apply_vms(self, vm_list):
        """Follow the platform's list of VMs."""
        self._data_centres_by_entry_id = {
            vm.vm_id: vm.data_centre
            for vm in vm_list.vms
            if vm.role == 'entry' and vm.state == 'live'
        }
        rows = {vm.vm_id: vm for vm in vm_list.vms if vm.role == 'target'}
        for target_id in set(self._rows_by_target_id) - set(rows):
            self._feed_target(target_id, routing_events.TargetGone)
            self._drop_link(target_id)
            del self._rows_by_target_id[target_id]
        for target_id, row in rows.items():
            known = self._rows_by_target_id.get(target_id)
            if known is not None and known.address != row.address:
                self._drop_link(target_id)
            self._rows_by_target_id[target_id] = row
        self._plan_links()

    def _plan_links(self):
        """Connect to the targets that each service's router selects."""
        peers = routing_events.PeersChanged(
            data_centres_by_entry_id=self._data_centres_by_entry_id
        )
        for service in self._services_by_name.values():
            service.feed(peers)
        for row in self._rows_by_target_id.values():
            self._show_row(row)
        for service in self._services_by_name.values():
            change = service.router.plan_connections()
            for target_id in change.connect:
                self._ensure_link(self._rows_by_target_id[target_id])
            for target_id in change.disconnect:
                self._drop_link(target_id)

    def _show_row(self, row):
        service = self._services_by_name.get(row.service)
        if service is None:
            return
        generation, _ = self._generations_by_target_id.setdefault(
            row.vm_id, (0, None)
        )
        service.feed(
            routing_events.TargetSeen(
                target_id=row.vm_id,
                incarnation=generation,
                data_centre=row.data_centre,
                address=row.address,
            )
        )
        if row.state == 'leaving':
            self._report_leaving(row.vm_id)

    async def reach(self, target_id):
        """Return the link to a target once it is up.

        A bound key may name a target that this entry is not connected to.
        Raise ``LinkDown`` where it does not come up in time.
        """
        row = self._rows_by_target_id.get(target_id)
        if row is None:
            raise exceptions.LinkDown(target_id)
        self._ensure_link(row)
        link = self.get_link(target_id)
        await link.wait_until_up(self._settings.connect_timeout_s)
        return link

    def apply_member(self, decision):
        """Follow what membership says of a target's process."""
        if isinstance(decision, membership_decisions.MemberLeaving):
            self._report_leaving(decision.vm_id)

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

    def _ensure_link(self, row):
        if row.service not in self._services_by_name:
            return
        if row.vm_id in self._links_by_target_id:
            return
        link = links.Link(
            target_id=row.vm_id,
            address=addresses.parse_peer_address(row.address),
            hello=self._hello,
            timeout_s=self._settings.connect_timeout_s,
            owner=self,
        )
        self._links_by_target_id[row.vm_id] = link
        scope = anyio.CancelScope()
        self._scopes_by_target_id[row.vm_id] = scope
        self._tasks.start_soon(_run_in_scope, link, scope)

    def _drop_link(self, target_id):
        self._links_by_target_id.pop(target_id, None)
        scope = self._scopes_by_target_id.pop(target_id, None)
        if scope is not None:
            scope.cancel()

    def on_up(self, link):
        """Tell the router that a target is connected."""
        row = self._rows_by_target_id.get(link.target_id)
        if row is None:
            return
        generation = self._count_generation(link)
        service = self._services_by_name[row.service]
        service.feed(
            routing_events.TargetSeen(
                target_id=link.target_id,
                incarnation=generation,
                data_centre=link.peer.data_centre,
                address=row.address,
            )
        )
        service.feed(routing_events.TargetReachable(target_id=link.target_id))
        service.router.plan_connections()

    def _count_generation(self, link):
        """Return a number that grows with each incarnation of a target.

        Incarnations are random; the router needs to know which is newer,
        and a connection made later reaches the newer one.
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

    def on_down(self, link):
        """Tell the router that a target is not connected."""
        row = self._rows_by_target_id.get(link.target_id)
        if row is None:
            return
        self._services_by_name[row.service].feed(
            routing_events.TargetUnreachable(target_id=link.target_id)
        )

    def on_message(self, link, message):
        """Take a target's message that belongs to no call."""
        match message:
            case messages.Load():
                self._take_load(link, message)
            case messages.HeirNamed():
                self._follow_heir(message)

    def _follow_heir(self, named):
        heir = snapshots.Heir(
            target_id=named.heir_target_id,
            incarnation=named.heir_incarnation,
        )
        for stamp in named.stamps:
            self.routes.apply_handover(
                incarnation=stamp.incarnation,
                heir=heir,
                stamp_ms=stamp.stamp_ms,
            )

    def _take_load(self, link, load):
        for stamp in load.stamps:
            self.routes.apply_stamp(stamp)
        self.suspects.take(load.crash_reports)
        row = self._rows_by_target_id.get(link.target_id)
        if row is None:
            return
        generation, _ = self._generations_by_target_id[link.target_id]
        service = self._services_by_name[row.service]
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
            self._report_leaving(link.target_id)

    def _report_leaving(self, target_id):
        self._feed_target(target_id, routing_events.TargetLeaving)

    def _feed_target(self, target_id, event_class):
        known = self._generations_by_target_id.get(target_id)
        if known is None:
            return
        for service in self._services_by_name.values():
            service.feed(
                event_class(target_id=target_id, incarnation=known[0])
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
