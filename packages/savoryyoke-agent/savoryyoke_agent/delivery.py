"""Deliver the maps that directives name to all ranks of a group."""

import collections
import dataclasses

import anyio

from savoryyoke.groups.rollout import blocks

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import group


@dataclasses.dataclass(frozen=True, kw_only=True)
class _QueuedMessage:
    message: object
    hosts: list[str]
    pause_s: float = 0.0


class MapDelivery:
    """Queue and send expert maps, and the requests for them.

    The leader sends the changes to the map in use to the first rank of each
    block, which forwards them to the others. A rank that receives a directive
    but not its map, or that lacks the map in use, requests the whole map from
    the leader. Answers to requests are paced, so that they leave
    room on the link for other traffic.
    """

    def __init__(self, *, own_host, exchange, membership, contents, clock):
        self._own_host = own_host
        self._exchange = exchange
        self._membership = membership
        self._contents = contents
        self._clock = clock
        self._enqueued_version = 0
        self._missing_version = 0
        self._missing_since_s = 0.0
        self._queue = collections.deque()
        self._wake = anyio.Event()

    async def run(self):
        """Send what is queued until cancelled."""
        while True:
            while self._queue:
                queued = self._queue.popleft()
                await self._exchange.send_paced(queued.message, queued.hosts)
                await anyio.sleep(queued.pause_s)
            await self._wake.wait()
            self._wake = anyio.Event()

    def send_map(self, directive, state):
        """Queue the map of a directive, once, for the leader's group.

        ``state`` is the ``EngineState`` of the own rank.
        """
        if directive.version == self._enqueued_version:
            return
        self._enqueued_version = directive.version
        message = self._build_map_message(directive, state)
        ranks = [*blocks.find_heads(state.ranks)]
        if state.rank in ranks:
            ranks.extend(blocks.find_other_members(state.rank, state.ranks))
        self._enqueue(
            _QueuedMessage(message=message, hosts=self._find_hosts(ranks))
        )

    def _build_map_message(self, directive, state):
        """Return the changes to the map in use, or the map if it is unknown.

        A map of hundreds of ranks takes several times as long to send.
        """
        change = self._contents.find_change(
            directive.expert_map,
            base_version=state.active,
            ranks=state.ranks,
        )
        if change is None:
            return group.MapContent(
                group=directive.group, expert_map=directive.expert_map
            )
        return group.MapChangeContent(group=directive.group, change=change)

    def receive(self, message, state):
        """Store, forward and return the map in a message from another rank.

        Return None for a map that is known or of another group, and for
        changes to a map that this rank lacks.
        """
        if state is None or message.group != state.group:
            return None
        if isinstance(message, group.MapChangeContent):
            expert_map = self._restore_map(message.change, state)
        else:
            expert_map = self._store_map(message.expert_map)
        if expert_map is not None:
            self.forward_map(message, state)
        return expert_map

    def _store_map(self, expert_map):
        if self._contents.find_map(expert_map.version) is not None:
            return None
        self._contents.add_map(expert_map)
        return expert_map

    def _restore_map(self, change, state):
        """Store and return the map that a ``MapChange`` describes."""
        if self._contents.find_map(change.version) is not None:
            return None
        expert_map = self._contents.add_change(change, ranks=state.ranks)
        if expert_map is None:
            # The map is requested as a whole once it is overdue.
            logs.write_event(
                'map_change_unusable',
                version=change.version,
                base_version=change.base_version,
            )
        return expert_map

    def forward_map(self, message, state):
        """Queue a received message for the own block, as its first rank."""
        if state.rank != blocks.find_head(state.rank, state.ranks):
            return
        other_ranks = blocks.find_other_members(state.rank, state.ranks)
        self._enqueue(
            _QueuedMessage(
                message=message, hosts=self._find_hosts(other_ranks)
            )
        )

    def request_overdue_map(self, directive, state):
        """Request the map of a directive from the leader if it is overdue."""
        now_s = self._clock()
        if directive.version != self._missing_version:
            self._missing_version, self._missing_since_s = (
                directive.version,
                now_s,
            )
        if now_s - self._missing_since_s < _choose_request_delay_s(state):
            return
        logs.write_event(
            'map_requested',
            version=directive.version,
            waited_s=now_s - self._missing_since_s,
        )
        request = group.MapRequest(
            group=directive.group,
            version=directive.version,
            host=self._own_host,
        )
        self._enqueue(
            _QueuedMessage(message=request, hosts=[directive.leader_host])
        )

    def answer_request(self, request):
        """Queue the map for the rank that requests it, if it is available."""
        expert_map = self._contents.find_map(request.version)
        if expert_map is None:
            return
        message = group.MapContent(group=request.group, expert_map=expert_map)
        answer = _QueuedMessage(
            message=message,
            hosts=[request.host],
            pause_s=conf.MAP_ANSWER_INTERVAL_S,
        )
        if answer not in self._queue:
            self._enqueue(answer)

    def _enqueue(self, queued):
        """Append a message, or drop it if the queue is full."""
        if len(self._queue) < conf.DELIVERY_QUEUE_MAX_MESSAGES:
            self._queue.append(queued)
            self._wake.set()

    def _find_hosts(self, ranks):
        members = self._membership.members
        hosts_by_rank = members.hosts_by_rank if members else {}
        hosts = [hosts_by_rank.get(rank) for rank in ranks]
        return [host for host in hosts if host not in (None, self._own_host)]


def _choose_request_delay_s(state):
    if not blocks.is_group_large(state):
        return conf.MAP_REQUEST_DELAY_S
    if state.rank == blocks.find_head(state.rank, state.ranks):
        return conf.MAP_REQUEST_DELAY_HEAD_S
    return conf.MAP_REQUEST_DELAY_LARGE_S
