"""Model targets that serve calls, for measurements of routing.

A call waits for a free place of its target, computes the blocks of its
prompt that the cache lacks, and generates tokens at a rate that falls with
the occupancy. Load reports and cache events reach the entries late; cache
events get lost at times. No part of it stands for a network or a process.
"""

import collections
import dataclasses
import heapq
import itertools

LIMIT = 24
QUEUE_LIMIT = 24
CACHE_BLOCKS = 4000
BLOCK_PREFILL_S = 0.005
TOKEN_S = 0.015
CROWDING = 0.7
MEAN_TOKENS = 337
SYSTEM_BLOCKS = 20
CONVERSATION_BLOCKS = 20
COLD_LIMIT = 2
COLD_SLOWNESS = 3.0
STRAGGLER_SLOWNESS = 2.0
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.1
CACHE_EVENT_LOSS = 0.05
DISTANCE_S = 0.0005
CONNECT_TIMEOUT_S = 1.0
TRIES = 3


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one call and what became of it."""

    number: int
    entry: int
    kind: str
    priority: int
    deadline_s: float
    digests: tuple[bytes, ...]
    tokens: int
    arrived_s: float
    tries: int = 0
    excluded: set = dataclasses.field(default_factory=set)
    first_token_s: float | None = None
    token_s: float | None = None
    cached: int = 0
    outcome: str = 'open'
    sent_s: float = 0.0

    @property
    def attempt_id(self):
        """Return the id of the current try."""
        return f'{self.number}/{self.tries}'


class Target:
    """Run calls in a bounded batch behind a bounded queue."""

    def __init__(self, *, number, data_centre, world, slowness=1.0):
        self.number = number
        self.data_centre = data_centre
        self.slowness = slowness
        self.incarnation = 1
        self.up = True
        self.leaving = False
        self.bears = LIMIT
        self.running = {}
        self.queue = collections.deque()
        self.cache = collections.OrderedDict()
        self.added = []
        self.evicted = []
        self.sequence = 0
        self._world = world

    @property
    def cold(self):
        """Return whether the target bears less than its limit."""
        return self.bears < LIMIT

    @property
    def load(self):
        """Return the calls that run or wait."""
        return len(self.running) + len(self.queue)

    def restart(self):
        """Start again with an empty cache, bearing little."""
        self.up, self.leaving, self.bears = True, False, COLD_LIMIT
        self.incarnation += 1
        self.cache.clear()
        self.added, self.evicted, self.sequence = [], [], 0

    def fail(self):
        """Die; return the calls that were cut."""
        cut = list(self.running.values()) + list(self.queue)
        self.running.clear()
        self.queue.clear()
        self.up = False
        return cut

    def admit(self, call):
        """Take a call, or return why it is refused."""
        if self.leaving:
            return 'leaving'
        if self.cold and self.load >= self.bears:
            return 'cold'
        if len(self.queue) >= QUEUE_LIMIT:
            return 'overloaded'
        self.queue.append(call)
        self._start_next()
        return None

    def _start_next(self):
        while self.queue and len(self.running) < min(LIMIT, self.bears):
            self._start(self.queue.popleft())

    def _start(self, call):
        self.running[call.attempt_id] = call
        occupancy = len(self.running) / LIMIT
        slowness = self.slowness * (COLD_SLOWNESS if self.cold else 1.0)
        call.cached = self._use_cache(call.digests)
        missing = len(call.digests) - call.cached
        prefill_s = missing * BLOCK_PREFILL_S * (1.0 + occupancy) * slowness
        call.token_s = TOKEN_S * (1.0 + CROWDING * occupancy) * slowness
        first_s = prefill_s + call.token_s
        attempt = (self.number, self.incarnation, call, call.attempt_id)
        world = self._world
        world.schedule(first_s, world.give_first_token, *attempt)
        last_s = first_s + call.tokens * call.token_s
        world.schedule(last_s, world.finish, *attempt)

    def _use_cache(self, digests):
        cached = 0
        for digest in digests:
            if digest not in self.cache:
                break
            cached += 1
        for digest in digests:
            if digest not in self.cache:
                self.added.append(digest)
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > CACHE_BLOCKS:
            self.evicted.append(self.cache.popitem(last=False)[0])
        return cached

    def release(self, attempt_id):
        """Free the place of a finished call."""
        del self.running[attempt_id]
        self.bears = min(LIMIT, self.bears + 1)
        self._start_next()


class World:
    """Hold the event heap, the targets and one policy for each entry."""

    def __init__(self, *, generator, data_centres, targets_count):
        self.now_s = 0.0
        self.generator = generator
        self.calls = []
        self._heap = []
        self._numbers = itertools.count()
        self.targets = [
            Target(
                number=number,
                data_centre=number % data_centres,
                world=self,
                slowness=STRAGGLER_SLOWNESS if number % 12 == 5 else 1.0,
            )
            for number in range(targets_count)
        ]
        self.policies = []
        self.deliveries = []

    def schedule(self, delay_s, action, *arguments):
        """Run an action after a delay in seconds."""
        item = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._heap, item)

    def run(self, *, until_s):
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)

    def start_reports(self):
        """Let every target report at its own time, again and again."""
        for target in self.targets:
            phase_s = self.generator.random() * REPORT_INTERVAL_S
            self.schedule(phase_s, self._report, target)

    def _report(self, target):
        self.schedule(REPORT_INTERVAL_S, self._report, target)
        if not target.up:
            return
        target.sequence += 1
        wait_s = len(target.queue) * MEAN_TOKENS * TOKEN_S * 2 / LIMIT
        report = {
            'stamp_s': self.now_s,
            'incarnation': target.incarnation,
            'running': len(target.running),
            'queued': len(target.queue),
            'limit': min(LIMIT, target.bears),
            'estimated_wait_s': wait_s,
            'cold': target.cold,
        }
        changes = (target.sequence, target.added, target.evicted)
        target.added, target.evicted = [], []
        for policy in self.policies:
            if target.number not in policy.numbers:
                continue
            delay_s = REPORT_DELAY_S * (0.5 + self.generator.random())
            lost = self.generator.random() < CACHE_EVENT_LOSS
            self.schedule(
                delay_s,
                policy.on_report,
                target.number,
                report,
                None if lost else changes,
            )

    def arrive(self, call):
        """Bring a new call to its entry."""
        self.calls.append(call)
        self.dispatch(call)

    def dispatch(self, call):
        """Let the entry choose a target for a try."""
        policy = self.policies[call.entry]
        number = policy.choose(call)
        if number is None:
            call.outcome = 'refused'
            return
        call.sent_s = self.now_s
        policy.on_sent(call, number)
        self.schedule(DISTANCE_S, self._deliver, call, number)

    def _deliver(self, call, number):
        target = self.targets[number]
        self.deliveries.append((self.now_s, number))
        if not target.up:
            self.schedule(
                CONNECT_TIMEOUT_S, self._refuse, call, number, 'lost'
            )
            return
        reason = target.admit(call)
        if reason is not None:
            self.schedule(DISTANCE_S, self._refuse, call, number, reason)

    def _refuse(self, call, number, reason):
        self.policies[call.entry].on_refused(call, number, reason)
        self.retry(call, number)

    def retry(self, call, number):
        """Try a call elsewhere, a bounded number of times."""
        call.tries += 1
        call.excluded.add(number)
        if call.tries >= TRIES:
            call.outcome = 'refused'
        else:
            self.dispatch(call)

    def _is_current(self, number, incarnation, attempt_id):
        target = self.targets[number]
        return (
            target.incarnation == incarnation and attempt_id in target.running
        )

    def give_first_token(self, number, incarnation, call, attempt_id):
        """Record the first token of a call that still runs."""
        if self._is_current(number, incarnation, attempt_id):
            call.first_token_s = self.now_s - call.arrived_s
            self.policies[call.entry].on_first_token(call)

    def finish(self, number, incarnation, call, attempt_id):
        """Complete a call that still runs."""
        if self._is_current(number, incarnation, attempt_id):
            self.targets[number].release(attempt_id)
            call.outcome = 'answered'
            self.policies[call.entry].on_finished(call, number)
