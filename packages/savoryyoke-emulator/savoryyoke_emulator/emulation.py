"""Run an experiment."""

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
_DIRECTORY_RETRY_S = 0.1


@dataclasses.dataclass(kw_only=True)
class _Request:
    """Hold one request of a caller across all its tries.

    ``first_event_s`` counts from the request's arrival; the other times are
    those of the virtual clock.
    """

    arrived_s: float
    kind: models.Kind
    prompt_tokens: int
    events: int
    tries: int = 0
    # Ends the current try early; None while no try can be ended.
    abandon: object = None
    first_event_s: float | None = None
    last_event_s: float | None = None
    is_late: bool = False
    has_ended: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Hold the outcomes of one run and the mean time of a pass."""

    outcomes: tuple[models.Outcome, ...]
    pass_s: float


def play(experiment, *, seed):
    """Run an experiment with a seed and return its ``Result``."""
    return Emulation(experiment, seed=seed).run()


class Emulation:
    """Run an experiment once, with all its state."""

    def __init__(self, experiment, *, seed):
        self._experiment = experiment
        self._random = random.Random(seed)
        self._terms = entries.build_terms(experiment)
        # Drawn from a source of its own, so that experiments without kinds
        # draw the same numbers as before.
        self._kind_random = random.Random(seed)
        self._kinds = experiment.kinds or (
            models.Kind(
                name='', share=1.0, priority=1, aim_s=experiment.traffic.aim_s
            ),
        )
        self._clock = clocks.VirtualClock()
        self._group = engines.EngineGroup(
            engines=experiment.engines, clock=self._clock
        )
        self._group.peak = experiment.maps.even
        self._shift_count = 0
        self._request_numbers = itertools.count()
        self._waiting_by_id = {}
        self._outcomes = []
        self._entries = [
            self._start_entry() for _ in range(experiment.fleet.entries)
        ]

    def run(self):
        """Run the experiment to its end and return its ``Result``."""
        self._publish()
        for number in range(len(self._entries)):
            self._clock.call_at(
                self._random.random() * self._experiment.fleet.heartbeat_s,
                self._send_heartbeat,
                number,
            )
        for trouble in self._experiment.troubles:
            self._clock.call_at(trouble.at_s, self._start_trouble, trouble)
        self._schedule_arrival()
        deadline_s = self._experiment.traffic.deadline_s
        self._clock.run_until(self._experiment.seconds + deadline_s)
        return Result(
            outcomes=tuple(self._outcomes),
            pass_s=self._group.total_pass_s / max(self._group.pass_count, 1),
        )

    def _start_entry(self):
        return entries.Entry(
            fleet=self._experiment.fleet,
            random_source=self._random,
            clock=self._clock,
            on_decision=self._apply_decision,
            terms=self._terms,
        )

    def _publish(self):
        targets = entries.build_targets(
            self._experiment.engines, is_open=self._group.is_open
        )
        for entry in self._entries:
            entry.publish(targets)

    def _send_heartbeat(self, number):
        """Send an entry's requests in flight to the other entries."""
        fleet = self._experiment.fleet
        entry = self._entries[number]
        if entry.is_up:
            self._clock.call_after(
                fleet.between_s,
                self._deliver_heartbeat,
                number,
                entry.own_in_flight(),
            )
            entry.tick()
        self._clock.call_after(fleet.heartbeat_s, self._send_heartbeat, number)

    def _deliver_heartbeat(self, sender_number, in_flight):
        for number, entry in enumerate(self._entries):
            if number != sender_number:
                entry.report_peer(str(sender_number), in_flight)

    def _schedule_arrival(self):
        traffic = self._experiment.traffic
        rate_per_s = traffic.per_s * self._find_burst_factor()
        at_s = self._clock.now_s + self._random.expovariate(rate_per_s)
        if at_s < self._experiment.seconds:
            self._clock.call_at(at_s, self._create_request)

    def _find_burst_factor(self):
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

    def _create_request(self):
        traffic = self._experiment.traffic
        request = _Request(
            arrived_s=self._clock.now_s,
            kind=self._choose_kind(),
            prompt_tokens=self._choose_size(traffic.prompt_tokens, 0.3),
            events=self._choose_size(traffic.events, traffic.spread),
        )
        self._clock.call_after(
            traffic.deadline_s, self._end, request, _Ending.LOST
        )
        self._send_request(request)
        self._schedule_arrival()

    def _choose_kind(self):
        (kind,) = self._kind_random.choices(
            self._kinds, [kind.share for kind in self._kinds]
        )
        return kind

    def _choose_size(self, mean, spread):
        """Return a random size from a log-normal distribution.

        Sizes are at least 1 and at most 2.5 times ``mean``.
        """
        factor = self._random.lognormvariate(-(spread**2) / 2, spread)
        return max(1, min(round(mean * factor), round(2.5 * mean)))

    def _send_request(self, request):
        """Send a request to a random running entry."""
        running_entries = [entry for entry in self._entries if entry.is_up]
        if request.has_ended:
            return
        if not running_entries:
            # No entry serves the directory: the caller asks it again later.
            self._clock.call_after(
                _DIRECTORY_RETRY_S, self._send_request, request
            )
            return
        entry = self._random.choice(running_entries)
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
        is_on_time = now_s - request.arrived_s < request.kind.aim_s
        wait_s = fleet.late_wait_s
        if is_on_time:
            wait_s = fleet.wait_share * request.kind.aim_s
        request_id = str(next(self._request_numbers))
        self._waiting_by_id[request_id] = (request, entry)
        request.abandon = functools.partial(
            self._abandon_wait, request_id, entry
        )
        self._clock.call_after(
            traffic.silence_s, self._check_silence, request, request.tries
        )
        ends_s = request.arrived_s + traffic.deadline_s
        entry.receive(
            events.RequestArrived(
                request_id=request_id,
                is_on_time=is_on_time,
                priority=request.kind.priority,
                route_priority=request.kind.priority,
                wait_until_s=min(now_s + wait_s, ends_s),
                time_left_s=max(ends_s - now_s, 0.0),
            )
        )

    def _apply_decision(self, request_id, decision):
        """Carry out an entry's decision about a request."""
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
            if number > 1:
                pause_s = self._clock.now_s - request.last_event_s
                entry.record_pause(decision.target, pause_s)
            self._deliver_event(request, number)
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

    def _check_silence(self, request, tries):
        """Retry a request whose try has produced no event in time."""
        has_event = request.first_event_s is not None
        if request.has_ended or has_event or request.tries != tries:
            return
        if request.abandon is not None:
            self._abandon_try(request)
            self._retry(request, 0.0)

    @staticmethod
    def _abandon_try(request):
        abandon, request.abandon = request.abandon, None
        if abandon is not None:
            abandon()

    def _deliver_event(self, request, number):
        traffic = self._experiment.traffic
        now_s = self._clock.now_s
        if number == 1:
            # The first event takes extra time to reach the caller.
            received_s = now_s + self._experiment.engines.first_ms / 1000
            received_s += traffic.callers_away_s
            request.first_event_s = received_s - request.arrived_s
            request.is_late |= request.first_event_s > request.kind.aim_s
        else:
            request.is_late |= now_s - request.last_event_s > traffic.pause_s
        request.last_event_s = now_s
        if number >= request.events:
            is_late = request.is_late
            self._end(request, _Ending.LATE if is_late else _Ending.ON_TIME)

    def _retry(self, request, after_s):
        """Schedule a retry; end the request if no retry or time is left."""
        traffic = self._experiment.traffic
        remaining_s = (
            request.arrived_s + traffic.deadline_s - self._clock.now_s
        )
        if request.tries >= traffic.retries or after_s > remaining_s:
            self._end(request, _Ending.REFUSED)
            return
        request.tries += 1
        self._clock.call_after(after_s, self._send_request, request)

    def _end(self, request, ending):
        if request.has_ended:
            return
        request.has_ended = True
        if ending is _Ending.LOST:
            self._abandon_try(request)
        credit_by_ending = {
            _Ending.ON_TIME: 1.0,
            _Ending.LATE: self._experiment.traffic.late_worth,
        }
        self._outcomes.append(
            models.Outcome(
                arrived_s=request.arrived_s,
                ending=ending,
                credit=request.kind.worth * credit_by_ending.get(ending, 0.0),
                first_event_s=request.first_event_s,
                kind=request.kind.name,
            )
        )

    def _start_trouble(self, trouble):
        if trouble.kind is _Kind.SHIFT:
            self._shift_count += 1
            self._group.peak = self._experiment.maps.uneven
            self._clock.call_after(
                self._experiment.maps.reaction_s,
                self._apply_new_map,
                self._shift_count,
            )
        elif trouble.kind is _Kind.OUTAGE:
            self._group.lose(trouble.for_s)
            self._publish()
            forming_s = self._experiment.engines.forming_s
            self._clock.call_after(trouble.for_s + forming_s, self._publish)
        elif trouble.kind is _Kind.KILL:
            self._kill_entries(trouble.for_s)

    def _apply_new_map(self, shift):
        """Switch to a map for the shifted demand.

        Do nothing if a later shift has made this map outdated.
        """
        if shift == self._shift_count:
            self._group.peak = self._experiment.maps.even

    def _kill_entries(self, for_s):
        """Kill all entries; callers of waiting and running requests retry."""
        for entry in self._entries:
            entry.is_up = False
        waiting = [request for request, _ in self._waiting_by_id.values()]
        self._waiting_by_id.clear()
        for request in waiting:
            self._retry(request, for_s)
        # The engines keep running: the group reopens at once.
        self._group.lose(-self._experiment.engines.forming_s)
        self._clock.call_after(for_s, self._restart_entries)

    def _restart_entries(self):
        self._entries = [self._start_entry() for _ in self._entries]
        self._publish()
