"""Simulate admission with scheduled arrivals and a simple back end."""

import heapq

from savoryyoke.admission import decisions
from savoryyoke.admission import events


class Simulation:
    """Run one Admission in simulated time and record its decisions.

    ``service_time_s`` is called with the call, the number of running calls
    and the time, and returns the seconds that the back end needs.
    """

    def __init__(self, *, admission, service_time_s):
        self.admission = admission
        self._service_time_s = service_time_s
        self._scheduled_events = []
        self._sequence = 0
        self.arrivals_by_id = {}
        self.started_s_by_id = {}
        self.refusals_by_id = {}
        self.estimates_s_by_id = {}
        self.limits = []

    def schedule(self, *, at_s, event):
        """Schedule an event at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._scheduled_events, (at_s, self._sequence, event))

    def run(self):
        """Handle all scheduled events and the completions they cause."""
        while self._scheduled_events:
            now_s, _, event = heapq.heappop(self._scheduled_events)
            if isinstance(event, events.Arrived):
                self.arrivals_by_id[event.call_id] = (now_s, event)
            for decision in self.admission.apply(event, now_s=now_s):
                self._record(decision, now_s)
            limit = self.admission.snapshot().concurrency_limit
            self.limits.append((now_s, limit))

    def waits_s(self, team):
        """Return the sorted waits of a team's started calls."""
        return sorted(
            self.wait_s(call_id)
            for call_id in self.started_s_by_id
            if self.arrivals_by_id[call_id][1].team == team
        )

    def wait_s(self, call_id):
        """Return the wait of a started call."""
        return self.started_s_by_id[call_id] - self.arrivals_by_id[call_id][0]

    def _record(self, decision, now_s):
        if isinstance(decision, decisions.Refuse):
            self.refusals_by_id[decision.call_id] = (now_s, decision)
        elif isinstance(decision, decisions.Queue):
            estimated_s = decision.estimated_wait_s
            self.estimates_s_by_id[decision.call_id] = estimated_s
        elif isinstance(decision, decisions.Start):
            self._start(decision.call_id, now_s)

    def _start(self, call_id, now_s):
        self.started_s_by_id[call_id] = now_s
        _, call = self.arrivals_by_id[call_id]
        running = self.admission.snapshot().running
        service_s = self._service_time_s(call, running, now_s)
        finished = events.Finished(
            call_id=call_id, succeeded=True, service_time_s=service_s
        )
        self.schedule(at_s=now_s + service_s, event=finished)
