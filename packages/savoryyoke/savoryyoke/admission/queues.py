"""Share a target's queue fairly between teams.

Teams are served by start-time fair queueing: each start advances the
team's virtual time by its cost over its weight, and the team that lags
most goes next. Within a team priorities go first, see ``conf``.
"""

import collections
import dataclasses
import heapq

from savoryyoke.admission import conf

_SPARE_ENTRIES = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedCall:
    """Describe a waiting call; times are on the runtime's clock."""

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
        """Return the order within the team, least first."""
        return self.arrived_s - self.priority * conf.PRIORITY_HEAD_START_S


class _TeamQueue:
    """Hold one team's waiting calls and its virtual time."""

    def __init__(self, *, team):
        self.team = team
        self.weight = 1.0
        self.entered_tag = 0.0
        self.finish_tag = 0.0
        self.count = 0
        self.cost_by_priority = collections.Counter()
        self.calls_by_rank = []

    @property
    def start_tag(self):
        """Return the virtual time of the team's next start."""
        return max(self.entered_tag, self.finish_tag)

    @property
    def weighted_count(self):
        """Return the number of waiting calls over the team's weight."""
        return self.count / self.weight

    @property
    def cost(self):
        """Return the cost of the team's waiting calls."""
        return sum(self.cost_by_priority.values())

    def cost_ahead(self, priority):
        """Return the cost of waiting calls that go before a new one."""
        return sum(
            cost
            for level, cost in self.cost_by_priority.items()
            if level >= priority
        )

    def add(self, call):
        """Count a call in."""
        self.count += 1
        self.cost_by_priority[call.priority] += call.cost

    def discard(self, call):
        """Count a call out."""
        self.count -= 1
        self.cost_by_priority[call.priority] -= call.cost
        if not self.count:
            self.cost_by_priority.clear()


class FairQueue:
    """Hold the waiting calls of all teams.

    Removed calls stay in the heaps until they surface or until the heaps
    hold more removed calls than waiting ones.
    """

    def __init__(self):
        self._calls_by_id = {}
        self._teams_by_name = {}
        self._active_by_name = {}
        self._backlogged = []
        self._latest_starts = []
        self._virtual_time = 0.0
        self._sequence = 0
        self._sweep_at = _SPARE_ENTRIES

    def __len__(self):
        """Return the number of waiting calls."""
        return len(self._calls_by_id)

    def __contains__(self, call_id):
        """Tell whether a call waits."""
        return call_id in self._calls_by_id

    @property
    def call_ids(self):
        """Return the ids of all waiting calls in order of arrival."""
        return tuple(self._calls_by_id)

    @property
    def cost(self):
        """Return the cost of all waiting calls."""
        return sum(queue.cost for queue in self._active_by_name.values())

    @property
    def next_latest_start_s(self):
        """Return when the next call expires; None if none waits."""
        while self._latest_starts:
            latest_start_s, _, call = self._latest_starts[0]
            if self._waits(call):
                return latest_start_s
            heapq.heappop(self._latest_starts)
        return None

    @property
    def greatest_weighted_count(self):
        """Return the count over the weight of the longest team's queue."""
        return max(
            (queue.weighted_count for queue in self._active_by_name.values()),
            default=0.0,
        )

    def share(self, *, team, weight):
        """Return the share of the target that a team gets now."""
        others = sum(
            queue.weight
            for queue in self._active_by_name.values()
            if queue.team != team
        )
        return weight / (weight + others)

    def team_count(self, team):
        """Return the number of waiting calls of a team."""
        queue = self._active_by_name.get(team)
        return queue.count if queue else 0

    def cost_ahead(self, *, team, weight, priority, cost):
        """Return the cost that fair sharing starts before a new call."""
        queue = self._active_by_name.get(team)
        own = queue.cost_ahead(priority) if queue else 0.0
        allowance = (own + cost) / weight
        others = sum(
            min(queue.cost, allowance * queue.weight)
            for queue in self._active_by_name.values()
            if queue.team != team
        )
        return own + others

    def push(self, call):
        """Add a call."""
        queue = self._team_queue(call.team)
        queue.weight = call.weight
        self._calls_by_id[call.call_id] = call
        queue.add(call)
        self._push_entry(queue.calls_by_rank, call.rank, call)
        self._push_entry(self._latest_starts, call.latest_start_s, call)
        self._compact(queue.calls_by_rank, queue.count)
        self._compact(self._latest_starts, len(self))
        if queue.count == 1:
            self._active_by_name[call.team] = queue
            self._enter(queue)

    def pop(self):
        """Remove and return the call that goes next; None if empty."""
        while self._backlogged:
            start_tag, _, team = heapq.heappop(self._backlogged)
            queue = self._active_by_name.get(team)
            if queue is not None and queue.start_tag == start_tag:
                return self._serve(queue)
        return None

    def remove(self, call_id):
        """Remove and return a waiting call; None if it does not wait."""
        call = self._calls_by_id.pop(call_id, None)
        if call is None:
            return None
        queue = self._active_by_name[call.team]
        queue.discard(call)
        if not queue.count:
            del self._active_by_name[call.team]
        return call

    def remove_expired(self, *, now_s):
        """Remove and return the calls whose latest start has passed."""
        expired = []
        while self.next_latest_start_s is not None:
            if self.next_latest_start_s > now_s:
                break
            _, _, call = heapq.heappop(self._latest_starts)
            expired.append(self.remove(call.call_id))
        return expired

    def remove_last_of_longest(self):
        """Remove and return the last call of the longest team's queue.

        The queue must not be empty.
        """
        longest = max(
            self._active_by_name.values(),
            key=lambda queue: queue.weighted_count,
        )
        waiting = [e for e in longest.calls_by_rank if self._waits(e[2])]
        _, _, call = max(waiting)
        return self.remove(call.call_id)

    def _waits(self, call):
        return self._calls_by_id.get(call.call_id) is call

    def _serve(self, queue):
        self._virtual_time = max(self._virtual_time, queue.start_tag)
        while True:
            _, _, call = heapq.heappop(queue.calls_by_rank)
            if self._waits(call):
                break
        queue.finish_tag = queue.start_tag + call.cost / queue.weight
        self.remove(call.call_id)
        if queue.count:
            self._enter(queue)
        return call

    def _enter(self, queue):
        queue.entered_tag = self._virtual_time
        self._push_entry(self._backlogged, queue.start_tag, queue.team)
        if len(self._backlogged) > self._bound(len(self._active_by_name)):
            self._rebuild_backlogged()

    def _rebuild_backlogged(self):
        self._backlogged.clear()
        for queue in self._active_by_name.values():
            self._push_entry(self._backlogged, queue.start_tag, queue.team)

    def _push_entry(self, heap, order, item):
        self._sequence += 1
        heapq.heappush(heap, (order, self._sequence, item))

    def _compact(self, heap, waiting):
        if len(heap) <= self._bound(waiting):
            return
        heap[:] = [entry for entry in heap if self._waits(entry[2])]
        heapq.heapify(heap)

    def _bound(self, waiting):
        return 2 * waiting + _SPARE_ENTRIES

    def _team_queue(self, team):
        if team not in self._teams_by_name:
            self._sweep()
            self._teams_by_name[team] = _TeamQueue(team=team)
        return self._teams_by_name[team]

    def _sweep(self):
        # A team without calls whose virtual time was overtaken is like new.
        if len(self._teams_by_name) < self._sweep_at:
            return
        self._teams_by_name = {
            name: queue
            for name, queue in self._teams_by_name.items()
            if queue.count or queue.finish_tag > self._virtual_time
        }
        self._sweep_at = self._bound(len(self._teams_by_name))
