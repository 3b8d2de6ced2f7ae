"""Simulate a group of engines and an entry with published values."""

import anyio

from savoryyoke.groups.balancing import planner
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import models
from savoryyoke_agent import daemon
from savoryyoke_agent import ports
from savoryyoke_fakes.deployment import sockets
from savoryyoke_wire import group as wire_group

PASS_S = 0.04
TIMEOUT_S = 20.0
SHAPE = models.GroupShape(sets=1, experts=6, slots=4, max_copies_per_rank=2)
RANKS = 3
ENTRY_HOST = '127.0.1.1'


class Group:
    """Simulate the engines of a group, which run passes together.

    ``mixed_passes`` lists the passes in which ranks used different maps.
    ``on_hold(rank)`` is called when the agent of a rank orders a hold.
    ``most_chosen_expert`` is chosen 18 times as often as each other expert.
    Other VMs can't call the engines of ``unreachable_ranks``.
    """

    def __init__(self, *, ranks):
        self.ranks = ranks
        self.on_hold = lambda rank: None
        self.step = 0
        self.active = [0] * ranks
        self.prepared = [None] * ranks
        self.armed = [None] * ranks
        self.held = [None] * ranks
        self.mixed_passes = []
        self.unreachable_ranks = set()
        self.most_chosen_expert = 0
        initial_map = planner.make_initial_map(
            sets=SHAPE.sets, ranks=ranks, experts=SHAPE.experts
        )
        self._experts_by_version = {0: initial_map}
        self._counts = [[0] * SHAPE.experts for _ in range(ranks)]

    async def run(self):
        """Run passes until cancelled; none while one is held."""
        while True:
            await anyio.sleep(PASS_S)
            if self.step + 1 in self.held:
                continue
            self.step += 1
            for rank in range(self.ranks):
                self._switch(rank)
                self._count(rank)
            if len(set(self.active)) > 1:
                self.mixed_passes.append(self.step)

    def observe(self, rank):
        """Return the state of a rank."""
        return models.EngineState(
            group='g',
            epoch=1,
            rank=rank,
            ranks=self.ranks,
            is_open=True,
            step=self.step,
            active=self.active[rank],
            prepared=self.prepared[rank],
            armed=self.armed[rank][0] if self.armed[rank] else None,
            held=self.held[rank],
        )

    def read_counts(self, rank):
        """Return the counts of a rank."""
        return tuple(self._counts[rank])

    def read_experts(self, rank):
        """Return the experts that a rank holds under the map in use."""
        version = self.active[rank]
        return models.RankMap(
            version=version,
            experts=tuple(
                by_rank[rank] for by_rank in self._experts_by_version[version]
            ),
        )

    def execute(self, rank, order, *, sender_rank):
        """Execute an order of an agent and return its result."""
        match order:
            case decisions.Prepare(expert_map=expert_map):
                self._experts_by_version[expert_map.version] = (
                    expert_map.experts
                )
                self.prepared[rank] = expert_map.version
            case decisions.Arm(version=version, step=step):
                self.armed[rank] = (version, step)
            case decisions.Hold(step=step):
                if step <= self.step:
                    return events.OrderResult.REFUSED
                self.held[rank] = step
                self.on_hold(sender_rank)
            case decisions.Go():
                self.held[rank] = None
        return events.OrderResult.DONE

    def _switch(self, rank):
        armed = self.armed[rank]
        if armed is not None and armed[1] == self.step:
            self.active[rank] = armed[0]
            self.armed[rank] = None

    def _count(self, rank):
        counts = self._counts[rank]
        for expert in range(SHAPE.experts):
            counts[expert] += 900 if expert == self.most_chosen_expert else 50


class Engine:
    """Implement ``ports.Engine`` on a ``Group``.

    The last number of a host is its rank plus 2.
    """

    def __init__(self, *, group, rank):
        self._group = group
        self._rank = rank

    async def observe(self, host=None):
        """Return the state of a rank, or None if it can't be called."""
        rank = self._find_rank(host)
        return self._group.observe(rank) if self._can_call(rank) else None

    async def read_counts(self):
        """Return the own counts."""
        return self._group.read_counts(self._rank)

    async def read_experts(self):
        """Return the experts that the own rank holds."""
        return self._group.read_experts(self._rank)

    async def send_order(self, order, host=None):
        """Execute an order and return its result."""
        rank = self._find_rank(host)
        if not self._can_call(rank):
            return events.OrderResult.UNKNOWN
        return self._group.execute(rank, order, sender_rank=self._rank)

    def _can_call(self, rank):
        return rank == self._rank or rank not in self._group.unreachable_ranks

    def _find_rank(self, host):
        return self._rank if host is None else int(host[-1]) - 2


def build_members(ranks):
    """Return the members of a group of this size."""
    return models.GroupMembers(
        shape=SHAPE,
        hosts_by_rank={rank: make_host(rank) for rank in range(ranks)},
    )


def make_host(rank):
    """Return the loopback host of a rank."""
    return f'127.0.1.{rank + 2}'


def find_port():
    """Return a port that is free on loopback."""
    (port,) = sockets.find_ports(ENTRY_HOST, 1)
    return port


async def stall_copies(port):
    """Accept connections for copies of published values and send nothing.

    So does an entry whose link is full.
    """
    listener = await anyio.create_tcp_listener(
        local_host=ENTRY_HOST, local_port=port
    )

    async def handle(stream):
        async with stream:
            await anyio.sleep_forever()

    async with listener:
        await listener.serve(handle)


async def serve_members(port, *, ranks):
    """Answer agents that ask for the members of their group, as entries do."""
    async with await anyio.create_udp_socket(
        local_host=ENTRY_HOST, local_port=port
    ) as udp_socket:
        async for datagram, (host, sender_port) in udp_socket:
            message = wire_group.decode(datagram)
            if isinstance(message, wire_group.MembersRequest):
                report = wire_group.MembersReport(
                    group=message.group, members=build_members(ranks)
                )
                await udp_socket.sendto(
                    wire_group.encode(report), host, sender_port
                )


def build_daemon(*, group, rank, port):
    """Return the daemon of a rank."""

    async def read_published_values():
        return None

    return daemon.RankDaemon(
        settings=ports.AgentSettings(
            vm_id=f'side-{rank}',
            data_centre='dc',
            own_host=make_host(rank),
            peer_port=port,
            pace_port=port,
            own_address=f'{make_host(rank)}:80',
            seed_hosts=(ENTRY_HOST,),
            link_bytes_per_s=500_000,
        ),
        engine=Engine(group=group, rank=rank),
        member_finder=None,
        read_published_values=read_published_values,
        read_settings=None,
    )
