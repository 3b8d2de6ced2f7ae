"""Simulate a network of state machines in virtual time."""

import heapq
import random

import numpy

from savoryyoke.membership import aggregate
from savoryyoke.membership import decisions
from savoryyoke.membership import events
from savoryyoke.membership import sizes


class Network:
    """Deliver datagrams and ticks in the order of virtual time.

    ``loss`` and ``duplication`` are shares of all datagrams, from 0 to 1.
    ``delays_s`` is the range of the random delay, which also reorders them.
    """

    def __init__(
        self, *, seed, loss=0.0, duplication=0.0, delays_s=(0.001, 0.02)
    ):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.loss = loss
        self.duplication = duplication
        self.delays_s = delays_s
        self.is_blocked = lambda source, destination: False
        self._paused_until_s = {}
        self._receivers = {}
        self._queue = []
        self._event_count = 0

    def attach(self, address, receive, tick, period_s):
        """Attach a process; its first tick comes within one period."""
        self._receivers[address] = receive

        def run():
            if self._receivers.get(address) is not receive:
                return
            resume_s = self._paused_until_s.get(address, 0.0)
            if resume_s > self.now_s:
                # A resumed process may tick before it reads its buffer.
                self.call_at(resume_s, run)
                return
            tick(self.now_s)
            self.call_at(self.now_s + period_s, run)

        self.call_at(self.now_s + self.random.random() * period_s, run)

    def detach(self, address):
        """Kill the process at an address."""
        self._receivers.pop(address, None)

    def pause(self, address, seconds):
        """Pause a process; its datagrams wait and its ticks are lost."""
        self._paused_until_s[address] = self.now_s + seconds

    def call_at(self, time_s, item):
        """Run a function, or deliver a datagram, at a virtual time."""
        self._event_count += 1
        heapq.heappush(self._queue, (time_s, self._event_count, item))

    def send(self, source, destination, message):
        """Send one datagram, which may be lost, delayed or duplicated."""
        random_share = self.random.random
        if self.is_blocked(source, destination) or random_share() < self.loss:
            return
        copies = 2 if random_share() < self.duplication else 1
        minimum_s, maximum_s = self.delays_s
        for _ in range(copies):
            due_s = (
                self.now_s
                + minimum_s
                + random_share() * (maximum_s - minimum_s)
            )
            self.call_at(due_s, (source, destination, message))

    def run(self, until_s):
        """Run until a virtual time."""
        queue = self._queue
        while queue and queue[0][0] <= until_s:
            self.now_s, _, item = heapq.heappop(queue)
            if type(item) is tuple:
                self._deliver(item)
            else:
                item()
        self.now_s = until_s

    def _deliver(self, item):
        source, destination, message = item
        resume_s = self._paused_until_s.get(destination, 0.0)
        if resume_s > self.now_s:
            self.call_at(resume_s + 1e-6, item)
            return
        receive = self._receivers.get(destination)
        if receive is not None:
            receive(source, message, self.now_s)


class Fleet:
    """Run many ``Membership`` aggregates on one network."""

    def __init__(
        self, *, network, entries, targets, data_centres=6, kind=None
    ):
        self.network = network
        self.kind = kind or aggregate.Membership
        self.vms = tuple(
            events.VmEntry(
                vm_id=f'{role}-{number}',
                role=role,
                data_centre=f'dc{number % data_centres}',
                address=f'10.{len(role)}.{number // 250}.{number % 250}:7000',
                state='live',
            )
            for role, count in (('entry', entries), ('target', targets))
            for number in range(count)
        )
        self.vms_by_id = {vm.vm_id: vm for vm in self.vms}
        self.members_by_id = {}
        self.logs_by_id = {vm.vm_id: [] for vm in self.vms}
        self.sent = self.sent_bytes = self.largest_bytes = 0
        self._incarnations = 0

    def start_all(self):
        """Start every process with the complete VM list."""
        for vm in self.vms:
            self.start(vm.vm_id)
        for vm in self.vms:
            self.feed(
                vm.vm_id, events.VmListRead(entries=self.vms, sequence=1)
            )

    def start(self, vm_id):
        """Start a process with a new random incarnation."""
        vm = self.vms_by_id[vm_id]
        self._incarnations += 1
        seed = self.network.random.getrandbits(63)
        member = self.kind(
            vm_id=vm_id,
            role=vm.role,
            data_centre=vm.data_centre,
            address=vm.address,
            incarnation=self.network.random.getrandbits(62) + 1,
            generator=numpy.random.Generator(numpy.random.PCG64(seed)),
        )
        self.members_by_id[vm_id] = member
        ticked = events.Ticked()

        def receive(source, message, now_s):
            event = events.MessageReceived(message=message, address=source)
            self._carry_out(vm, member.apply(event, now_s=now_s))

        def tick(now_s):
            self._carry_out(vm, member.apply(ticked, now_s=now_s))

        self.network.attach(vm.address, receive, tick, 0.25)

    def kill(self, vm_id):
        """Kill a process."""
        self.network.detach(self.vms_by_id[vm_id].address)
        del self.members_by_id[vm_id]

    def feed(self, vm_id, event):
        """Pass an event to one process."""
        emitted = self.members_by_id[vm_id].apply(
            event, now_s=self.network.now_s
        )
        self._carry_out(self.vms_by_id[vm_id], emitted)

    def found(self, kind, **fields):
        """Return (time, observer, decision) for matching decisions.

        ``fields`` are the values that attributes of the decision must have.
        """
        return [
            (time_s, observer, decision)
            for observer, log in self.logs_by_id.items()
            for time_s, decision in log
            if isinstance(decision, kind)
            and all(
                getattr(decision, name) == value
                for name, value in fields.items()
            )
        ]

    def clear(self):
        """Empty the logs and the counters."""
        for log in self.logs_by_id.values():
            log.clear()
        self.sent = self.sent_bytes = self.largest_bytes = 0

    def _carry_out(self, vm, emitted):
        for decision in emitted:
            if type(decision) is decisions.Send:
                self.sent += 1
                size = sizes.message_bytes(decision.message)
                self.sent_bytes += size
                self.largest_bytes = max(self.largest_bytes, size)
                self.network.send(
                    vm.address, decision.address, decision.message
                )
            else:
                self.logs_by_id[vm.vm_id].append(
                    (self.network.now_s, decision)
                )
