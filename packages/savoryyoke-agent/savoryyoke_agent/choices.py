"""Report the choices and experts of a rank to the leader of its group."""

import anyio

from savoryyoke.groups.balancing import demand
from savoryyoke.groups.rollout import blocks

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import group


class ChoiceReporting:
    """Report how often the requests of this rank choose each expert.

    In a large group the first rank of a block adds up the choices of its block
    for the leader. ``agent`` is the ``RankAgent`` of this rank.
    ``is_leading()`` returns whether this process leads the group; reports then
    go to its ``balancer``.
    """

    def __init__(
        self,
        *,
        settings,
        engine,
        agent,
        exchange,
        membership,
        balancer,
        is_leading,
    ):
        self._settings = settings
        self._engine = engine
        self._agent = agent
        self._exchange = exchange
        self._membership = membership
        self._balancer = balancer
        self._is_leading = is_leading
        self._choices = demand.ChoiceCounter()

    async def run(self):
        """Send reports until cancelled."""
        while True:
            await anyio.sleep(self._choose_interval_s())
            state, directive = self._agent.state, self._agent.directive
            if state is None or directive is None:
                continue
            if directive.wants_experts:
                await self._send_rank_map(state, directive)
            await self._send_choices(state, directive)

    def receive_choices(self, choices):
        """Add the choices that another rank has reported."""
        if self._is_leading():
            self._balancer.add_choices(choices)
        else:
            self._choices.add(choices)

    def receive_rank_map(self, report):
        """Add the experts that a rank has reported to the map in use."""
        state, contents = self._agent.state, self._balancer.contents
        version = report.held.version
        if state is None or contents.has_map(version):
            return
        contents.add_rank_map(report.rank, report.held, ranks=state.ranks)
        if contents.has_map(version):
            logs.write_event('map_collected', version=version)

    def _choose_interval_s(self):
        if blocks.is_group_large(self._agent.state):
            return conf.COUNTS_INTERVAL_LARGE_S
        return conf.COUNTS_INTERVAL_S

    async def _send_choices(self, state, directive):
        counts = await self._engine.read_counts()
        if counts is not None:
            self._choices.add_engine_counts(counts)
        choices = self._choices.pop_choices()
        if choices is None:
            return
        if self._is_leading():
            self._balancer.add_choices(choices)
            return
        report = group.ChoicesReport(
            group=state.group, rank=state.rank, choices=tuple(choices)
        )
        await self._exchange.send(
            report, [self._find_choices_host(state, directive)]
        )

    def _find_choices_host(self, state, directive):
        """Return the host that this rank reports its choices to.

        It is the first rank of the block or, for that rank, the leader.
        """
        head = blocks.find_head(state.rank, state.ranks)
        members = self._membership.members
        if head == state.rank or members is None:
            return directive.leader_host
        return members.hosts_by_rank.get(head, directive.leader_host)

    async def _send_rank_map(self, state, directive):
        """Send the experts that this rank holds to the leader."""
        rank_map = await self._engine.read_experts()
        if rank_map is None:
            return
        report = group.HeldReport(
            group=state.group, rank=state.rank, held=rank_map
        )
        if self._is_leading():
            self.receive_rank_map(report)
        else:
            await self._exchange.send(report, [directive.leader_host])
