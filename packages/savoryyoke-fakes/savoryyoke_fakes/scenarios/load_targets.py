"""Join a target's admission to an engine that bears little while cold."""

from savoryyoke.admission import aggregates
from savoryyoke.admission import conf
from savoryyoke.admission import decisions
from savoryyoke.admission import events

LIMITS = conf.AdmissionLimits(
    max_concurrency=16, initial_concurrency=2, queue_limit=32
)
SERVICE_S = 0.2
# A warm state that is lost without a word shows only in slow answers.
SILENT_COLD_GRACE_S = 5.0


class Engine:
    """Run calls; each answered call lets it bear a little more.

    Beyond what it bears each call takes longer in proportion, squared.
    """

    def __init__(self, *, clock, growth_per_answer=0.5):
        self._clock = clock
        self._growth_per_answer = growth_per_answer
        self._answered = 0
        self._excused_until_s = 0.0
        self.running = set()
        self.overruns = []
        self.excused_overruns = 0
        self.peak = 0

    @property
    def bears(self):
        """Return how many calls at once it bears now."""
        grown = LIMITS.initial_concurrency + (
            self._growth_per_answer * self._answered
        )
        return min(LIMITS.max_concurrency, grown)

    def turn_cold(self):
        """Lose the warm state without telling anybody."""
        self._answered = 0
        self._excused_until_s = self._clock.now_s + SILENT_COLD_GRACE_S

    def start(self, call_id, *, finish):
        """Run a call; ``finish`` is called with it and its service time."""
        self.running.add(call_id)
        self.peak = max(self.peak, len(self.running))
        strain = max(1.0, len(self.running) / self.bears)
        if strain > 1.0 and self._clock.now_s < self._excused_until_s:
            self.excused_overruns += 1
        elif strain > 1.0:
            self.overruns.append((self._clock.now_s, len(self.running)))
        service_s = SERVICE_S * strain**2
        self._clock.call_after(
            service_s, self._end, call_id, finish, service_s
        )

    def _end(self, call_id, finish, service_s):
        if call_id in self.running:
            self.running.discard(call_id)
            self._answered += 1
            finish(call_id, service_s)


class Target:
    """Stand for one incarnation of a target process and its engine.

    ``answer`` is called with a call's id and None, or with the refusal.
    """

    def __init__(self, *, target_id, incarnation, clock, answer, growth=0.5):
        self.target_id = target_id
        self.incarnation = incarnation
        self.admission = aggregates.Admission(limits=LIMITS)
        self.engine = Engine(clock=clock, growth_per_answer=growth)
        self._clock = clock
        self._answer = answer
        self.started = 0
        self.last_start_s = None

    def arrive(self, call_id):
        """Take in a call."""
        self.apply(
            events.Arrived(call_id=call_id, team='letters', remaining_s=20.0)
        )

    def apply(self, event):
        """Apply an event and carry out what admission decides."""
        for made in self.admission.apply(event, now_s=self._clock.now_s):
            if isinstance(made, decisions.Start):
                self.started += 1
                self.last_start_s = self._clock.now_s
                self.engine.start(made.call_id, finish=self._finish)
            elif isinstance(made, decisions.Refuse):
                self._answer(self, made.call_id, made)

    def _finish(self, call_id, service_s):
        self.apply(
            events.Finished(
                call_id=call_id, succeeded=True, service_time_s=service_s
            )
        )
        self._answer(self, call_id, None)
