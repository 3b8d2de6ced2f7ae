"""Bring the maps that directives name to all ranks of a group."""

import collections
import dataclasses

import anyio

from savoryyoke.groups.rollout import blocks
from savoryyoke.groups.rollout import conf as rollout_conf

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import group


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sending:
    message: object
    hosts: list[str]
    pause_s: float = 0.0


class MapDelivery:
    """Own the way of maps from the leader to the ranks.

    The leader sends a map to the first rank of each block, which passes it on
    to the others. A rank that a directive reaches well before its map asks
    the leader for it; answers are paced, so that they leave room on the link
    for everything else.
    """

    def __init__(self, *, own_host, exchange, membership, contents, clock):
        self._own_host = own_host
        self._exchange = exchange
        self._membership = membership
        self._contents = contents
        self._clock = clock
        self._announced = 0
        self._missing = 0
        self._missing_s = 0.0
        self._queue = collections.deque()
        self._wake = anyio.Event()

    async def run(self):
        """Send what is queued until cancelled."""
        while True:
            while self._queue:
                sending = self._queue.popleft()
                await self._exchange.send_spaced(
                    sending.message, sending.hosts
                )
                await anyio.sleep(sending.pause_s)
            await self._wake.wait()
            self._wake = anyio.Event()

    def announce(self, directive, state):
        """Queue the map of a directive for the other ranks, once."""
        if directive.version == self._announced:
            return
        self._announced = directive.version
        message = group.MapContent(
            group=directive.group, expert_map=directive.expert_map
        )
        ranks = [*blocks.find_heads(state.ranks)]
        if state.rank in ranks:
            ranks.extend(blocks.find_other_members(state.rank, state.ranks))
        self._enqueue(_Sending(message=message, hosts=self._find_hosts(ranks)))

    def pass_on(self, message, state):
        """Queue a map that has arrived for the rest of the own block."""
        if state.rank != blocks.find_head(state.rank, state.ranks):
            return
        others = blocks.find_other_members(state.rank, state.ranks)
        self._enqueue(
            _Sending(message=message, hosts=self._find_hosts(others))
        )

    def note_missing(self, directive, state):
        """Ask the leader for the map of a directive if it is overdue."""
        now_s = self._clock()
        if directive.version != self._missing:
            self._missing, self._missing_s = directive.version, now_s
        if now_s - self._missing_s < _find_patience_s(state.ranks):
            return
        logs.write_event(
            'map_requested',
            version=directive.version,
            waited_s=now_s - self._missing_s,
        )
        request = group.MapRequest(
            group=directive.group,
            version=directive.version,
            host=self._own_host,
        )
        self._enqueue(_Sending(message=request, hosts=[directive.leader_host]))

    def answer(self, request):
        """Queue a map for a rank that asks for it."""
        expert_map = self._contents.find_map(request.version)
        if expert_map is None:
            return
        message = group.MapContent(group=request.group, expert_map=expert_map)
        sending = _Sending(
            message=message, hosts=[request.host], pause_s=conf.MAP_PAUSE_S
        )
        if sending not in self._queue:
            self._enqueue(sending)

    def _enqueue(self, sending):
        if len(self._queue) < conf.DELIVERY_LIMIT:
            self._queue.append(sending)
            self._wake.set()

    def _find_hosts(self, ranks):
        known = self._membership.known
        hosts_by_rank = known.hosts_by_rank if known else {}
        hosts = [hosts_by_rank.get(rank) for rank in ranks]
        return [host for host in hosts if host not in (None, self._own_host)]


def _find_patience_s(ranks):
    if ranks <= rollout_conf.SMALL_GROUP_MAX_RANKS:
        return conf.MAP_PATIENCE_S
    return conf.BLOCK_MAP_PATIENCE_S
