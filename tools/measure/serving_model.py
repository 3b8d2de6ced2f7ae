"""Model targets that serve calls, for measurements of routing.

A call waits for a free place in the batch of its target, computes the blocks
of its prompt that are not cached, and generates tokens at a rate that falls
with the occupancy. Load reports and cache events reach the entries late, and
some cache events are lost. Networks and processes are not modelled.
"""

import collections
import dataclasses
import heapq
import itertools

CONCURRENCY_LIMIT = 24
QUEUE_LIMIT = 24
CACHE_BLOCKS = 4000
BLOCK_PREFILL_S = 0.005
TOKEN_S = 0.015
FULL_BATCH_TOKEN_SLOWDOWN = 0.7
MEAN_TOKENS = 337
SYSTEM_BLOCKS = 20
CONVERSATION_BLOCKS = 20
COLD_CONCURRENCY_LIMIT = 2
COLD_SLOWDOWN_FACTOR = 3.0
STRAGGLER_SLOWDOWN_FACTOR = 2.0
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.1
CACHE_EVENT_LOSS_SHARE = 0.05
NETWORK_DELAY_S = 0.0005
CONNECT_TIMEOUT_S = 1.0
MAX_TRIES = 3


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one call and its outcome."""

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

    def __init__(self, *, number, data_centre, world, slowdown_factor=1.0):
        self.number = number
        self.data_centre = data_centre
        self.slowdown_factor = slowdown_factor
        self.incarnation = 1
        self.up = True
        self.leaving = False
        self.current_limit = CONCURRENCY_LIMIT
        self.running = {}
        self.queue = collections.deque()
        self.cache = collections.OrderedDict()
        self.added = []
        self.evicted = []
        self.sequence = 0
        self._world = world

    @property
    def cold(self):
        """Return whether the current limit is below the full limit."""
        return self.current_limit < CONCURRENCY_LIMIT

    @property
    def load(self):
        """Return the number of calls that run or wait."""
        return len(self.running) + len(self.queue)

    def restart(self):
        """Start again with an empty cache and the limit of a cold target."""
        self.up, self.leaving, self.current_limit = (
            True,
            False,
            COLD_CONCURRENCY_LIMIT,
        )
        self.incarnation += 1
        self.cache.clear()
        self.added, self.evicted, self.sequence = [], [], 0

    def fail(self):
        """Stop abruptly; return the interrupted calls."""
        interrupted_calls = list(self.running.values()) + list(self.queue)
        self.running.clear()
        self.queue.clear()
        self.up = False
        return interrupted_calls

    def admit(self, call):
        """Queue a call and return None, or return why it is refused."""
        if self.leaving:
            return 'leaving'
        if self.cold and self.load >= self.current_limit:
            return 'cold'
        if len(self.queue) >= QUEUE_LIMIT:
            return 'overloaded'
        self.queue.append(call)
        self._start_next()
        return None

    def _start_next(self):
        while self.queue and len(self.running) < min(
            CONCURRENCY_LIMIT, self.current_limit
        ):
            self._start(self.queue.popleft())

    def _start(self, call):
        self.running[call.attempt_id] = call
        occupancy = len(self.running) / CONCURRENCY_LIMIT
        slowdown_factor = self.slowdown_factor * (
            COLD_SLOWDOWN_FACTOR if self.cold else 1.0
        )
        call.cached = self._use_cache(call.digests)
        missing = len(call.digests) - call.cached
        prefill_s = (
            missing * BLOCK_PREFILL_S * (1.0 + occupancy) * slowdown_factor
        )
        call.token_s = (
            TOKEN_S
            * (1.0 + FULL_BATCH_TOKEN_SLOWDOWN * occupancy)
            * slowdown_factor
        )
        first_s = prefill_s + call.token_s
        attempt = (self.number, self.incarnation, call, call.attempt_id)
        world = self._world
        world.schedule(first_s, world.record_first_token, *attempt)
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
        """Remove a finished call from the batch and start the next."""
        del self.running[attempt_id]
        self.current_limit = min(CONCURRENCY_LIMIT, self.current_limit + 1)
        self._start_next()


class World:
    """Simulate the targets and one policy for each entry."""

    def __init__(self, *, generator, data_centres, targets_count):
        self.now_s = 0.0
        self.generator = generator
        self.calls = []
        self._pending_actions = []
        self._numbers = itertools.count()
        self.targets = [
            Target(
                number=number,
                data_centre=number % data_centres,
                world=self,
                slowdown_factor=STRAGGLER_SLOWDOWN_FACTOR
                if number % 12 == 5
                else 1.0,
            )
            for number in range(targets_count)
        ]
        self.policies = []
        self.deliveries = []

    def schedule(self, delay_s, action, *arguments):
        """Run an action after a delay in seconds."""
        item = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._pending_actions, item)

    def run(self, *, until_s):
        """Run all actions up to a virtual time."""
        while self._pending_actions and self._pending_actions[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(
                self._pending_actions
            )
            action(*arguments)

    def start_reports(self):
        """Schedule periodic load reports with a random phase per target."""
        for target in self.targets:
            phase_s = self.generator.random() * REPORT_INTERVAL_S
            self.schedule(phase_s, self._report, target)

    def _report(self, target):
        self.schedule(REPORT_INTERVAL_S, self._report, target)
        if not target.up:
            return
        target.sequence += 1
        wait_s = (
            len(target.queue) * MEAN_TOKENS * TOKEN_S * 2 / CONCURRENCY_LIMIT
        )
        report = {
            'stamp_s': self.now_s,
            'incarnation': target.incarnation,
            'running': len(target.running),
            'queued': len(target.queue),
            'limit': min(CONCURRENCY_LIMIT, target.current_limit),
            'estimated_wait_s': wait_s,
            'cold': target.cold,
        }
        changes = (target.sequence, target.added, target.evicted)
        target.added, target.evicted = [], []
        for policy in self.policies:
            if target.number not in policy.numbers:
                continue
            delay_s = REPORT_DELAY_S * (0.5 + self.generator.random())
            lost = self.generator.random() < CACHE_EVENT_LOSS_SHARE
            self.schedule(
                delay_s,
                policy.on_report,
                target.number,
                report,
                None if lost else changes,
            )

    def arrive(self, call):
        """Record a new call and dispatch it at its entry."""
        self.calls.append(call)
        self.dispatch(call)

    def dispatch(self, call):
        """Send a call to the target that its entry's policy chooses."""
        policy = self.policies[call.entry]
        number = policy.choose(call)
        if number is None:
            call.outcome = 'refused'
            return
        call.sent_s = self.now_s
        policy.on_sent(call, number)
        self.schedule(NETWORK_DELAY_S, self._deliver, call, number)

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
            self.schedule(NETWORK_DELAY_S, self._refuse, call, number, reason)

    def _refuse(self, call, number, reason):
        self.policies[call.entry].on_refused(call, number, reason)
        self.retry(call, number)

    def retry(self, call, number):
        """Send a call to another target, unless its tries are used up."""
        call.tries += 1
        call.excluded.add(number)
        if call.tries >= MAX_TRIES:
            call.outcome = 'refused'
        else:
            self.dispatch(call)

    def _is_current(self, number, incarnation, attempt_id):
        target = self.targets[number]
        return (
            target.incarnation == incarnation and attempt_id in target.running
        )

    def record_first_token(self, number, incarnation, call, attempt_id):
        """Record the first token of a call that is still running."""
        if self._is_current(number, incarnation, attempt_id):
            call.first_token_s = self.now_s - call.arrived_s
            self.policies[call.entry].on_first_token(call)

    def finish(self, number, incarnation, call, attempt_id):
        """Complete a call that is still running."""
        if self._is_current(number, incarnation, attempt_id):
            self.targets[number].release(attempt_id)
            call.outcome = 'answered'
            self.policies[call.entry].on_finished(call, number)
