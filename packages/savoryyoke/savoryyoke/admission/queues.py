"""Share a target fairly between the queued calls of teams.

Teams are served by start-time fair queueing: each started call advances the
virtual time of its team by its cost divided by the team's weight, and the
team with the smallest virtual time is served next. Within a team, calls are
ordered by priority and arrival, see ``conf.PRIORITY_HEAD_START_S``.
"""

import collections
import dataclasses
import heapq

from savoryyoke.admission import conf

_SPARE_HEAP_ENTRIES = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedCall:
    """Describe a waiting call; times are seconds of the local clock."""

    call_id: str
    team: str
    weight: float
    priority: int
    cost: float
    cancelable: bool
    arrived_s: float
    latest_start_s: float

    @property
    def rank(self):
        """Return the sort key within the team; the smallest starts first."""
        return self.arrived_s - self.priority * conf.PRIORITY_HEAD_START_S


class _TeamQueue:
    """Store the waiting calls and the virtual time of one team."""

    def __init__(self, *, team):
        self.team = team
        self.weight = 1.0
        self.arrival_tag = 0.0
        self.finish_tag = 0.0
        self.count = 0
        self.cost_by_priority = collections.Counter()
        self.calls_by_rank = []

    @property
    def start_tag(self):
        """Return the virtual time at which the team's next call starts."""
        return max(self.arrival_tag, self.finish_tag)

    @property
    def weighted_count(self):
        """Return the number of waiting calls divided by the weight."""
        return self.count / self.weight

    @property
    def cost(self):
        """Return the cost of the team's waiting calls."""
        return sum(self.cost_by_priority.values())

    def cost_ahead(self, priority):
        """Return the cost of the waiting calls that start before a new one."""
        return sum(
            cost
            for level, cost in self.cost_by_priority.items()
            if level >= priority
        )

    def add(self, call):
        """Add a call to the counts."""
        self.count += 1
        self.cost_by_priority[call.priority] += call.cost

    def discard(self, call):
        """Subtract a call from the counts."""
        self.count -= 1
        self.cost_by_priority[call.priority] -= call.cost
        if not self.count:
            self.cost_by_priority.clear()


class FairQueue:
    """Store the waiting calls of all teams.

    Removed calls stay in the heaps until they reach the top, or until a
    heap has more removed calls than waiting ones and is rebuilt.
    """

    def __init__(self):
        self._calls_by_id = {}
        self._queues_by_team = {}
        self._active_queues_by_team = {}
        self._team_heap = []
        self._expiry_heap = []
        self._virtual_time = 0.0
        self._sequence = 0
        self._cleanup_size = _SPARE_HEAP_ENTRIES

    def __len__(self):
        """Return the number of waiting calls."""
        return len(self._calls_by_id)

    def __contains__(self, call_id):
        """Return whether a call is waiting."""
        return call_id in self._calls_by_id

    @property
    def call_ids(self):
        """Return the ids of all waiting calls in order of arrival."""
        return tuple(self._calls_by_id)

    @property
    def cost(self):
        """Return the cost of all waiting calls."""
        return sum(
            queue.cost for queue in self._active_queues_by_team.values()
        )

    @property
    def next_latest_start_s(self):
        """Return when the next call expires; None if the queue is empty."""
        while self._expiry_heap:
            latest_start_s, _, call = self._expiry_heap[0]
            if self._is_waiting(call):
                return latest_start_s
            heapq.heappop(self._expiry_heap)
        return None

    @property
    def max_weighted_count(self):
        """Return the largest weighted count of any team, 0.0 if empty."""
        return max(
            (
                queue.weighted_count
                for queue in self._active_queues_by_team.values()
            ),
            default=0.0,
        )

    def share(self, *, team, weight):
        """Return the share of the target that a team gets, up to 1.0."""
        other_weight = sum(
            queue.weight
            for queue in self._active_queues_by_team.values()
            if queue.team != team
        )
        return weight / (weight + other_weight)

    def team_count(self, team):
        """Return the number of waiting calls of a team."""
        queue = self._active_queues_by_team.get(team)
        return queue.count if queue else 0

    def cost_ahead(self, *, team, weight, priority, cost):
        """Return the cost of the calls that start before a new one."""
        queue = self._active_queues_by_team.get(team)
        team_cost = queue.cost_ahead(priority) if queue else 0.0
        cost_per_weight = (team_cost + cost) / weight
        other_cost = sum(
            min(queue.cost, cost_per_weight * queue.weight)
            for queue in self._active_queues_by_team.values()
            if queue.team != team
        )
        return team_cost + other_cost

    def push(self, call):
        """Add a call."""
        queue = self._find_or_create_team_queue(call.team)
        queue.weight = call.weight
        self._calls_by_id[call.call_id] = call
        queue.add(call)
        self._push_entry(queue.calls_by_rank, call.rank, call)
        self._push_entry(self._expiry_heap, call.latest_start_s, call)
        self._compact(queue.calls_by_rank, queue.count)
        self._compact(self._expiry_heap, len(self))
        if queue.count == 1:
            self._active_queues_by_team[call.team] = queue
            self._add_backlogged(queue)

    def pop(self):
        """Remove and return the next call to start; None if empty."""
        while self._team_heap:
            start_tag, _, team = heapq.heappop(self._team_heap)
            queue = self._active_queues_by_team.get(team)
            if queue is not None and queue.start_tag == start_tag:
                return self._pop_call(queue)
        return None

    def remove(self, call_id):
        """Remove and return a waiting call; None if it is not waiting."""
        call = self._calls_by_id.pop(call_id, None)
        if call is None:
            return None
        queue = self._active_queues_by_team[call.team]
        queue.discard(call)
        if not queue.count:
            del self._active_queues_by_team[call.team]
        return call

    def remove_expired(self, *, now_s):
        """Remove and return the calls whose latest start has passed."""
        expired = []
        while self.next_latest_start_s is not None:
            if self.next_latest_start_s > now_s:
                break
            _, _, call = heapq.heappop(self._expiry_heap)
            expired.append(self.remove(call.call_id))
        return expired

    def remove_last_of_longest_queue(self):
        """Remove and return the last call of the team that waits most.

        That is the team with the largest weighted count. Raises ValueError
        if the queue is empty.
        """
        longest_queue = max(
            self._active_queues_by_team.values(),
            key=lambda queue: queue.weighted_count,
        )
        waiting = [
            heap_entry
            for heap_entry in longest_queue.calls_by_rank
            if self._is_waiting(heap_entry[2])
        ]
        _, _, call = max(waiting)
        return self.remove(call.call_id)

    def _is_waiting(self, call):
        return self._calls_by_id.get(call.call_id) is call

    def _pop_call(self, queue):
        self._virtual_time = max(self._virtual_time, queue.start_tag)
        while True:
            _, _, call = heapq.heappop(queue.calls_by_rank)
            if self._is_waiting(call):
                break
        queue.finish_tag = queue.start_tag + call.cost / queue.weight
        self.remove(call.call_id)
        if queue.count:
            self._add_backlogged(queue)
        return call

    def _add_backlogged(self, queue):
        queue.arrival_tag = self._virtual_time
        self._push_entry(self._team_heap, queue.start_tag, queue.team)
        if len(self._team_heap) > self._max_heap_size(
            len(self._active_queues_by_team)
        ):
            self._rebuild_team_heap()

    def _rebuild_team_heap(self):
        self._team_heap.clear()
        for queue in self._active_queues_by_team.values():
            self._push_entry(self._team_heap, queue.start_tag, queue.team)

    def _push_entry(self, heap, order, item):
        self._sequence += 1
        heapq.heappush(heap, (order, self._sequence, item))

    def _compact(self, heap, waiting):
        if len(heap) <= self._max_heap_size(waiting):
            return
        heap[:] = [entry for entry in heap if self._is_waiting(entry[2])]
        heapq.heapify(heap)

    def _max_heap_size(self, waiting):
        return 2 * waiting + _SPARE_HEAP_ENTRIES

    def _find_or_create_team_queue(self, team):
        if team not in self._queues_by_team:
            self._remove_inactive_teams()
            self._queues_by_team[team] = _TeamQueue(team=team)
        return self._queues_by_team[team]

    def _remove_inactive_teams(self):
        # The state of a team without calls no longer matters once the virtual
        # time has passed the finish tag of its last call.
        if len(self._queues_by_team) < self._cleanup_size:
            return
        self._queues_by_team = {
            team: queue
            for team, queue in self._queues_by_team.items()
            if queue.count or queue.finish_tag > self._virtual_time
        }
        self._cleanup_size = self._max_heap_size(len(self._queues_by_team))
