"""Play an experiment."""

import dataclasses
import functools
import itertools
import random

from savoryyoke.placement import events

from savoryyoke_emulator import clocks
from savoryyoke_emulator import engines
from savoryyoke_emulator import entries
from savoryyoke_emulator import models

_Ending = models.Ending
_Kind = models.TroubleKind
_DIRECTORY_AGAIN_S = 0.1


@dataclasses.dataclass(kw_only=True)
class _Request:
    """Hold one request of a caller over all its tries."""

    asked_s: float
    prompt_tokens: int
    events: int
    tries: int = 0
    # Ends the present try early; None while there is none.
    abandon: object = None
    first_s: float | None = None
    last_s: float | None = None
    is_late: bool = False
    is_over: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Hold the outcomes of one run and the group's mean pass."""

    outcomes: tuple[models.Outcome, ...]
    pass_s: float


def play(experiment, *, seed):
    """Return the ``Result`` of one run."""
    return Emulation(experiment, seed=seed).run()


class Emulation:
    """Own one run."""

    def __init__(self, experiment, *, seed):
        self._experiment = experiment
        self._source = random.Random(seed)
        self._clock = clocks.VirtualClock()
        self._group = engines.EngineGroup(
            engines=experiment.engines, clock=self._clock
        )
        self._group.peak = experiment.maps.even
        self._shift = 0
        self._numbers = itertools.count()
        self._waiting_by_id = {}
        self._outcomes = []
        self._entries = [
            self._start_entry() for _ in range(experiment.fleet.entries)
        ]

    def run(self):
        """Play the experiment and return its ``Result``."""
        self._publish()
        for number in range(len(self._entries)):
            self._clock.call_at(
                self._source.random() * self._experiment.fleet.heartbeat_s,
                self._beat,
                number,
            )
        for trouble in self._experiment.troubles:
            self._clock.call_at(trouble.at_s, self._cause, trouble)
        self._arrive_next()
        deadline_s = self._experiment.traffic.deadline_s
        self._clock.run_until(self._experiment.seconds + deadline_s)
        return Result(
            outcomes=tuple(self._outcomes),
            pass_s=self._group.passing_s / max(self._group.passes, 1),
        )

    def _start_entry(self):
        return entries.Entry(
            fleet=self._experiment.fleet,
            source=self._source,
            clock=self._clock,
            on_decision=self._follow,
        )

    def _publish(self):
        targets = entries.build_targets(
            self._experiment.engines, is_open=self._group.is_open
        )
        for entry in self._entries:
            entry.publish(targets)

    def _beat(self, number):
        """Tell the other entries what one has in flight."""
        fleet = self._experiment.fleet
        entry = self._entries[number]
        if entry.is_up:
            self._clock.call_after(
                fleet.between_s, self._hear, number, entry.own_in_flight()
            )
            entry.tick()
        self._clock.call_after(fleet.heartbeat_s, self._beat, number)

    def _hear(self, number, in_flight):
        for other, entry in enumerate(self._entries):
            if other != number:
                entry.report_peer(str(number), in_flight)

    def _arrive_next(self):
        traffic = self._experiment.traffic
        rate_per_s = traffic.per_s * self._find_burst()
        at_s = self._clock.now_s + self._source.expovariate(rate_per_s)
        if at_s < self._experiment.seconds:
            self._clock.call_at(at_s, self._arrive)

    def _find_burst(self):
        now_s = self._clock.now_s
        return max(
            (
                trouble.x
                for trouble in self._experiment.troubles
                if trouble.kind is _Kind.BURST
                and trouble.at_s <= now_s < trouble.at_s + trouble.for_s
            ),
            default=1.0,
        )

    def _arrive(self):
        traffic = self._experiment.traffic
        request = _Request(
            asked_s=self._clock.now_s,
            prompt_tokens=self._draw_size(traffic.prompt_tokens, 0.3),
            events=self._draw_size(traffic.events, traffic.spread),
        )
        self._clock.call_after(
            traffic.deadline_s, self._end, request, _Ending.LOST
        )
        self._ask(request)
        self._arrive_next()

    def _draw_size(self, mean, spread):
        """Return a size of a log-normal distribution with this mean."""
        drawn = self._source.lognormvariate(-(spread**2) / 2, spread)
        return max(1, min(round(mean * drawn), round(2.5 * mean)))

    def _ask(self, request):
        """Send a request to an entry, as its caller does."""
        up = [entry for entry in self._entries if entry.is_up]
        if request.is_over:
            return
        if not up:
            # Nobody answers the directory: callers ask again.
            self._clock.call_after(_DIRECTORY_AGAIN_S, self._ask, request)
            return
        entry = self._source.choice(up)
        self._clock.call_after(
            self._experiment.traffic.callers_away_s,
            self._receive,
            request,
            entry,
        )

    def _receive(self, request, entry):
        if not entry.is_up:
            self._retry(request, self._experiment.traffic.callers_away_s)
            return
        traffic, fleet = self._experiment.traffic, self._experiment.fleet
        now_s = self._clock.now_s
        is_on_time = now_s - request.asked_s < traffic.aim_s
        wait_s = fleet.late_wait_s
        if is_on_time:
            wait_s = fleet.wait_share * traffic.aim_s
        request_id = str(next(self._numbers))
        self._waiting_by_id[request_id] = (request, entry)
        request.abandon = functools.partial(
            self._abandon_wait, request_id, entry
        )
        self._clock.call_after(
            traffic.silence_s, self._lose_patience, request, request.tries
        )
        ends_s = request.asked_s + traffic.deadline_s
        entry.ask(
            events.RequestArrived(
                request_id=request_id,
                is_on_time=is_on_time,
                priority=1,
                wait_until_s=min(now_s + wait_s, ends_s),
                time_left_s=max(ends_s - now_s, 0.0),
            )
        )

    def _follow(self, request_id, decision):
        """Carry out what an entry has decided."""
        request, entry = self._waiting_by_id.pop(request_id)
        request.abandon = None
        if not entries.is_placed(decision):
            pause_s = self._experiment.traffic.callers_away_s
            self._clock.call_after(
                pause_s, self._retry, request, decision.retry_after_s
            )
            return
        started_s = self._clock.now_s
        rank = int(decision.target.target_id)

        def end(service_time_s):
            entry.end_try(
                decision.target.target_id, service_time_s=service_time_s
            )

        def on_event(number):
            self._deliver(request, number)
            if number >= request.events:
                end(self._clock.now_s - started_s)

        def on_lost():
            request.abandon = None
            end(None)
            self._retry(request, 0.0)

        job = engines.Job(
            prompt_tokens=request.prompt_tokens,
            events=request.events,
            on_event=on_event,
            on_lost=on_lost,
        )

        def abandon():
            self._group.cancel(rank, job)
            end(None)

        if self._group.add(rank, job):
            request.abandon = abandon
        else:
            on_lost()

    def _abandon_wait(self, request_id, entry):
        self._waiting_by_id.pop(request_id, None)
        entry.withdraw(request_id)

    def _lose_patience(self, request, tries):
        """Let a caller leave a try that has brought no event."""
        has_event = request.first_s is not None
        if request.is_over or has_event or request.tries != tries:
            return
        if request.abandon is not None:
            self._leave(request)
            self._retry(request, 0.0)

    @staticmethod
    def _leave(request):
        abandon, request.abandon = request.abandon, None
        if abandon is not None:
            abandon()

    def _deliver(self, request, number):
        traffic = self._experiment.traffic
        now_s = self._clock.now_s
        if number == 1:
            # The first event needs some time more.
            seen_s = now_s + self._experiment.engines.first_ms / 1000
            seen_s += traffic.callers_away_s
            request.first_s = seen_s - request.asked_s
            request.is_late |= request.first_s > traffic.aim_s
        else:
            request.is_late |= now_s - request.last_s > traffic.pause_s
        request.last_s = now_s
        if number >= request.events:
            late = request.is_late
            self._end(request, _Ending.LATE if late else _Ending.ON_TIME)

    def _retry(self, request, after_s):
        """Let a caller come back, if it does."""
        traffic = self._experiment.traffic
        left_s = request.asked_s + traffic.deadline_s - self._clock.now_s
        if request.tries >= traffic.retries or after_s > left_s:
            self._end(request, _Ending.REFUSED)
            return
        request.tries += 1
        self._clock.call_after(after_s, self._ask, request)

    def _end(self, request, ending):
        if request.is_over:
            return
        request.is_over = True
        if ending is _Ending.LOST:
            self._leave(request)
        credits = {
            _Ending.ON_TIME: 1.0,
            _Ending.LATE: self._experiment.traffic.late_worth,
        }
        self._outcomes.append(
            models.Outcome(
                asked_s=request.asked_s,
                ending=ending,
                credit=credits.get(ending, 0.0),
                first_event_s=request.first_s,
            )
        )

    def _cause(self, trouble):
        if trouble.kind is _Kind.SHIFT:
            self._shift += 1
            self._group.peak = self._experiment.maps.uneven
            self._clock.call_after(
                self._experiment.maps.reaction_s,
                self._follow_shift,
                self._shift,
            )
        elif trouble.kind is _Kind.OUTAGE:
            self._group.lose(trouble.for_s)
            self._publish()
            forming_s = self._experiment.engines.forming_s
            self._clock.call_after(trouble.for_s + forming_s, self._publish)
        elif trouble.kind is _Kind.KILL:
            self._kill(trouble.for_s)

    def _follow_shift(self, shift):
        """Put the map that answers a shift in use, if it is the last."""
        if shift == self._shift:
            self._group.peak = self._experiment.maps.even

    def _kill(self, for_s):
        """Lose all entries; their requests are cut, and callers return."""
        for entry in self._entries:
            entry.is_up = False
        cut = [request for request, _ in self._waiting_by_id.values()]
        self._waiting_by_id.clear()
        for request in cut:
            self._retry(request, for_s)
        self._group.lose(-self._experiment.engines.forming_s)
        self._clock.call_after(for_s, self._start_anew)

    def _start_anew(self):
        self._entries = [self._start_entry() for _ in self._entries]
        self._publish()
