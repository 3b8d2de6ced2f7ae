"""Run fleet membership and configuration propagation in a daemon."""

import functools

import anyio
import anyio.abc
import numpy

from savoryyoke.membership import aggregate as membership_aggregate
from savoryyoke.membership import conf as membership_conf
from savoryyoke.membership import decisions as membership_decisions
from savoryyoke.membership import events as membership_events
from savoryyoke.membership import messages as membership_messages
from savoryyoke.propagation import aggregate as propagation_aggregate
from savoryyoke.propagation import events as propagation_events
from savoryyoke_edge.control import conf
from savoryyoke_edge.control import exchange
from savoryyoke_edge.control import gossip
from savoryyoke_edge.control import propagation_driver
from savoryyoke_edge.control import sockets
from savoryyoke_edge.control import validator
from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_wire import messages

ENTRY = 'entry'
TARGET = 'target'
_REACHABLE_STATES = frozenset(
    {
        membership_messages.MemberState.ALIVE,
        membership_messages.MemberState.LEAVING,
        membership_messages.MemberState.SUSPECT,
    }
)


class ControlPlane:
    """Keep this process's membership, VM list and configuration current.

    ``role`` is ``ENTRY`` or ``TARGET``; ``reader`` is a
    ``platform.PlatformReader``; ``clock()`` returns monotonic seconds.
    ``owner`` receives the callbacks ``on_configuration_applied(applied)``,
    ``on_vm_list(vm_list)``, ``on_member_changed(decision)`` and
    ``on_attachments(vm_id, attachments)``. The owner in an entry also has
    ``answer_loan(request)``, which returns the answer to a loan request.
    """

    def __init__(self, *, settings, role, hello, reader, clock, owner):
        self._settings = settings
        self._role = role
        self._hello = hello
        self._reader = reader
        self._clock = clock
        self._owner = owner
        self._validator = validator.ConfigurationValidator()
        self._gossip = None
        self._exchange = None
        self._propagation = None
        self._tasks = None
        self.address = ''
        self.applied = None
        self.vm_list = None
        self._vm_sequence = None
        self.report_count = 0
        self.refused_revisions = ()

    @property
    def membership(self):
        """Return the membership aggregate, for queries."""
        return self._gossip.membership

    @property
    def is_suspect(self):
        """Return whether this process's view of the fleet is unreliable."""
        return self._gossip is None or self.membership.is_suspect

    @property
    def sent_bytes(self):
        """Return the number of datagram bytes sent so far."""
        return self._gossip.sent_bytes if self._gossip else 0

    @property
    def received_bytes(self):
        """Return the number of datagram bytes received so far."""
        return self._gossip.received_bytes if self._gossip else 0

    async def bind(self):
        """Bind the control address; must be called before ``run``.

        Raise ``OSError`` if the address cannot be bound.
        """
        socket, listener = await sockets.bind(self._settings.control_address)
        host, port = socket.extra(anyio.abc.SocketAttribute.local_address)
        advertised = self._settings.advertised_control_address
        self.address = str(
            advertised or addresses.Address(host=host, port=port)
        )
        self._gossip = gossip.Gossip(
            socket=socket,
            membership=self._build_membership(),
            clock=self._clock,
            tick_s=membership_conf.DEFAULTS.tick_s,
            on_decision=self._carry_out,
        )
        self._exchange = exchange.Exchange(
            listener=listener,
            hello=self._hello,
            on_request=self._answer_request,
        )

    def _build_membership(self):
        return membership_aggregate.Membership(
            vm_id=self._settings.vm_id,
            role=self._role,
            data_centre=self._settings.data_centre,
            address=self.address,
            incarnation=self._hello.incarnation,
            generator=numpy.random.default_rng(self._settings.seed),
        )

    async def run(self):
        """Run membership and propagation until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._propagation = propagation_driver.PropagationDriver(
                propagation=self._build_propagation(),
                reader=self._reader,
                exchange=self._exchange,
                find_address=self._find_address,
                tasks=tasks,
                clock=self._clock,
                owner=self,
            )
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._exchange.run)
            tasks.start_soon(self._propagation.run)
            tasks.start_soon(self._watch_vms)

    def _build_propagation(self):
        return propagation_aggregate.Propagation(
            vm_id=self._settings.vm_id,
            role=self._role,
            data_centre=self._settings.data_centre,
            site=self._settings.site,
            sites=(self._settings.site,),
            validate=self._validator,
        )

    def start_leaving(self):
        """Announce to the fleet that this process is about to stop."""
        self._gossip.feed(membership_events.LeaveRequested())

    async def leave(self):
        """Announce to the fleet that this process has stopped."""
        self._gossip.feed(membership_events.Stopped())
        await self._gossip.flush()

    def set_attachments(self, attachments):
        """Set the attachments that outgoing membership messages carry."""
        self._gossip.feed(
            membership_events.AttachmentsChanged(attachments=attachments)
        )

    def apply_configuration(self, decision):
        """Apply a configuration in this process and notify the owner."""
        self.applied = self._validator.build_applied(decision)
        logs.write_event(
            'configuration_applied',
            revision=self.applied.revision_text,
            digest=self.applied.digest,
            confirmed=self.applied.confirmed,
        )
        self._owner.on_configuration_applied(self.applied)

    def report(self, report):
        """Log and count a fault in a document that was read or received."""
        self.report_count += 1
        if report.kind.value == 'refused':
            self.refused_revisions = (
                *self.refused_revisions[-7:],
                f'{report.name}.{report.revision}',
            )
        logs.write_event(
            f'configuration_{report.kind.value}',
            level='error',
            name=report.name,
            revision=report.revision,
            detail=report.detail,
        )

    def send_summary(self, versions):
        """Set the document versions that membership messages carry."""
        self._gossip.feed(membership_events.VersionsChanged(versions=versions))

    def _find_address(self, vm_id):
        member = self.membership.member(vm_id)
        return member.address if member is not None else None

    async def send_request(self, vm_id, build_request):
        """Return the answer of process ``vm_id`` to one request.

        ``build_request(request_id)`` returns the request message. Raise
        ``ConnectionLost`` if no answer arrives in time.
        """
        address = self._find_address(vm_id)
        if address is None:
            raise exceptions.ConnectionLost(
                f'{vm_id} has no known control address'
            )
        return await self._exchange.send_request(address, build_request)

    def _answer_request(self, request, reply):
        if isinstance(request, messages.LoanRequest):
            if self._role == ENTRY:
                reply(self._owner.answer_loan(request))
            return
        if self._propagation is not None:
            self._propagation.answer(request, reply)

    async def _watch_vms(self):
        period_s = conf.TARGET_VM_LIST_PERIOD_S
        if self._role == ENTRY:
            period_s = conf.ENTRY_VM_LIST_PERIOD_S
        while True:
            try:
                vm_list = await self._reader.read_vms(
                    unless_sequence=self._vm_sequence
                )
            except exceptions.PlatformUnavailable as error:
                logs.write_event(
                    'vm_list_unavailable', level='warning', reason=str(error)
                )
                await anyio.sleep(conf.VM_LIST_RETRY_DELAY_S)
                continue
            if vm_list is not None:
                self._vm_sequence = vm_list.sequence
                self._apply_vm_list(vm_list)
            # A list without this process is outdated; read it again soon.
            is_listed = self.vm_list is not None and any(
                vm.vm_id == self._settings.vm_id for vm in self.vm_list.vms
            )
            await anyio.sleep(
                period_s if is_listed else conf.VM_LIST_RETRY_DELAY_S
            )

    def _apply_vm_list(self, vm_list):
        previous = self.vm_list
        if previous is not None and vm_list.sequence == previous.sequence:
            return
        event = membership_events.VmListRead(
            sequence=vm_list.sequence,
            entries=tuple(
                membership_events.VmEntry(
                    vm_id=vm.vm_id,
                    role=vm.role,
                    data_centre=vm.data_centre,
                    address=vm.control_address,
                    state=vm.state,
                )
                for vm in vm_list.vms
            ),
        )
        made_decisions = self.membership.apply(event, now_s=self._clock())
        for decision in made_decisions:
            self._carry_out(decision)
        if any(
            isinstance(decision, membership_decisions.VmListRefused)
            for decision in made_decisions
        ):
            return
        self.vm_list = vm_list
        logs.write_event(
            'vm_list_applied', sequence=vm_list.sequence, vms=len(vm_list.vms)
        )
        self._owner.on_vm_list(vm_list)

    @functools.singledispatchmethod
    def _carry_out(self, decision):
        """Log a change of one member and notify the owner."""
        logs.write_event(
            _get_event_name(decision),
            vm=decision.vm_id,
            incarnation=f'{decision.incarnation:016x}',
        )
        self._owner.on_member_changed(decision)
        self._update_peers()

    @_carry_out.register
    def _(self, decision: membership_decisions.VmListRefused):
        logs.write_event(
            'vm_list_refused',
            level='error',
            sequence=decision.sequence,
            faults='; '.join(str(fault) for fault in decision.faults),
        )

    @_carry_out.register
    def _(self, decision: membership_decisions.SelfSuspected):
        logs.write_event(
            'self_suspected', level='warning', reason=decision.reason
        )

    @_carry_out.register
    def _(self, decision: membership_decisions.SelfConfirmed):
        logs.write_event('self_confirmed')
        self._update_peers()

    @_carry_out.register
    def _(self, decision: membership_decisions.SummaryReceived):
        if decision.versions and self._propagation is not None:
            self._propagation.feed(
                propagation_events.SummaryReceived(
                    vm_id=decision.vm_id, versions=decision.versions
                )
            )
        if decision.attachments:
            self._owner.on_attachments(decision.vm_id, decision.attachments)

    def _update_peers(self):
        if self._propagation is None:
            return
        peers = tuple(
            propagation_events.Peer(
                vm_id=member.vm_id,
                role=member.role,
                data_centre=member.data_centre,
            )
            for member in self.membership.members()
            if member.state in _REACHABLE_STATES
        )
        self._propagation.feed(propagation_events.PeersChanged(peers=peers))


def _get_event_name(decision):
    """Return the log event of a decision, such as ``member_failed``."""
    name = type(decision).__name__.removeprefix('Member').lower()
    return f'member_{name}'


def get_revision(plane):
    """Return the revision in force, or an empty text without one."""
    return plane.applied.revision_text if plane.applied else ''


def describe_configuration(plane):
    """Return the configuration fields of the operators' status page."""
    applied = plane.applied
    return {
        'revision': get_revision(plane),
        'digest': applied.digest if applied else '',
        'confirmed': bool(applied and applied.confirmed),
        'refused_revisions': list(plane.refused_revisions),
    }
