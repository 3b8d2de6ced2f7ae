"""Join an entry's router to callers and to messages that arrive late."""

from savoryyoke.admission import decisions as admission_decisions
from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import router

SERVICE = 'language'
MOST_TRIES = 3
_COLD = {
    True: events.RefusalReason.COLD,
    False: events.RefusalReason.OVERLOADED,
}


class Entry:
    """Stand for an entry; ``deliver`` carries a call to a target."""

    def __init__(self, *, entry_id, data_centre, clock, deliver, ended):
        self.entry_id = entry_id
        self._clock = clock
        self._deliver = deliver
        self._ended = ended
        self._tried_by_call_id = {}
        self._sent_s_by_call_id = {}
        self._inbox = None
        self.router = router.Router(
            service=SERVICE,
            entry_id=entry_id,
            data_centre=data_centre,
            generator=clock.generator,
        )

    def freeze(self):
        """Stop taking messages in."""
        self._inbox = []

    def thaw(self):
        """Take in what came meanwhile, in the order of arrival."""
        inbox, self._inbox = self._inbox, None
        for function, arguments in inbox:
            function(*arguments)

    def receive(self, function, *arguments):
        """Handle a message, or keep it while frozen."""
        if self._inbox is None:
            function(*arguments)
        else:
            self._inbox.append((function, arguments))

    def learn(self, event):
        """Apply an event to the router and connect where it asks to."""
        self.router.apply(event, now_s=self._clock.now_s)
        if isinstance(event, events.TargetSeen):
            for target_id in self.router.plan_connections().connect:
                reachable = events.TargetReachable(target_id=target_id)
                self.router.apply(reachable, now_s=self._clock.now_s)

    def call(self, call_id):
        """Route a caller's request, or refuse it."""
        tried = self._tried_by_call_id.setdefault(call_id, set())
        request = decisions.Request(
            service=SERVICE, excluded_target_ids=frozenset(tried)
        )
        choice = self.router.choose(request, self._clock.now_s)
        if isinstance(choice, decisions.NoTarget) or len(tried) == MOST_TRIES:
            self._ended(call_id, 'refused')
            return
        tried.add(choice.target_id)
        self._sent_s_by_call_id[call_id] = self._clock.now_s
        self.learn(
            events.Dispatched(call_id=call_id, target_id=choice.target_id)
        )
        self._deliver(self, choice.target_id, call_id)

    def answer(self, target_id, call_id, refusal, cold):
        """Take in a target's last word on a call."""
        if refusal is None:
            self._complete(call_id, events.Outcome.ANSWERED)
            self._ended(call_id, 'served')
            return
        reason = _COLD[cold]
        draining = admission_decisions.RefusalReason.DRAINING
        if refusal.reason is draining:
            reason = events.RefusalReason.LEAVING
        self.learn(
            events.Refused(
                call_id=call_id,
                target_id=target_id,
                retry_after_s=refusal.retry_after_s,
                reason=reason,
            )
        )
        self.call(call_id)

    def lose(self, call_id):
        """Take in that the target of a call is gone; try another one."""
        self._complete(call_id, events.Outcome.FAILED)
        self.call(call_id)

    def _complete(self, call_id, outcome):
        latency_s = self._clock.now_s - self._sent_s_by_call_id[call_id]
        self.learn(
            events.Completed(
                call_id=call_id, outcome=outcome, latency_s=latency_s
            )
        )
