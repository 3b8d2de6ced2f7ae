"""Define routing policies for the serving model."""

import numpy as np

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import router


class Policy:
    """Define the interface of the policies; ignore events by default."""

    def __init__(self, *, world, entry, entries, data_centres, numbers):
        self.world = world
        self.entry = entry
        self.entries = entries
        self.data_centres = data_centres
        self.numbers = numbers
        self.listed_numbers = sorted(numbers)

    def choose(self, call):
        """Return the number of a target, or None to refuse the call."""
        raise NotImplementedError

    def on_target_list(self, numbers):
        """Handle a new list of targets, which may be out of date."""
        self.listed_numbers = sorted(self.numbers & set(numbers))

    def on_sent(self, call, number):
        """Handle the sending of a call."""

    def on_refused(self, call, number, reason):
        """Handle the refusal of a call by a target."""

    def on_first_token(self, call):
        """Handle the first token of a call."""

    def on_finished(self, call, number):
        """Handle the end of an answered call."""

    def on_interrupted(self, call, number):
        """Handle the interruption of a call by the stop of its target."""

    def on_report(self, number, report, changes):
        """Handle a load report of a target and the changes of its cache."""

    def on_data_centre(self, data_centre, state):
        """Handle the removal or the return of a data centre."""

    def on_connection(self, number, reachable):
        """Handle the loss or the opening of a connection to a target."""


class RoundRobin(Policy):
    """Choose the listed targets in rotation."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._next_index = self.entry

    def choose(self, call):
        """Return the next target of the list."""
        candidates = [
            number
            for number in self.listed_numbers
            if number not in call.excluded
        ]
        if not candidates:
            return None
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class LeastReported(Policy):
    """Choose the target with the least reported load."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._loads = {}

    def on_report(self, number, report, changes):
        """Store the reported load."""
        self._loads[number] = report['running'] + report['queued']

    def choose(self, call):
        """Return the first listed target with the least load."""
        candidates = [
            number
            for number in self.listed_numbers
            if number not in call.excluded
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda number: self._loads.get(number, 0))


class PerfectShortestQueue(Policy):
    """Choose the target with the fewest calls, without report delays."""

    def choose(self, call):
        """Return the target that has the fewest calls now."""
        targets = [
            target
            for target in self.world.targets
            if target.up
            and not target.leaving
            and target.number not in call.excluded
            and target.load < target.current_limit + (0 if target.cold else 24)
        ]
        if not targets:
            return None
        return min(targets, key=lambda target: target.load).number


class RouterPolicy(Policy):
    """Choose targets with the router of savoryyoke."""

    def __init__(self, *, settings=None, **arguments):
        super().__init__(**arguments)
        self._router = router.Router(
            service='letters',
            entry_id=f'entry-{self.entry}',
            data_centre=f'dc-{self.entry % self.data_centres}',
            generator=np.random.default_rng(self.entry),
            settings=settings,
        )
        peers = {
            f'entry-{number}': f'dc-{number % self.data_centres}'
            for number in range(self.entries)
        }
        self._apply(events.PeersChanged(data_centres_by_entry_id=peers))
        for target in self.world.targets:
            self._register_target(target)
        self._router.plan_connections()
        for number in self.numbers:
            self.on_connection(number, True)

    def _apply(self, event):
        return self._router.apply(event, now_s=self.world.now_s)

    def _register_target(self, target):
        seen = events.TargetSeen(
            target_id=str(target.number),
            incarnation=target.incarnation,
            data_centre=f'dc-{target.data_centre}',
            address='',
        )
        self._apply(seen)

    def choose(self, call):
        """Return the router's choice."""
        request = decisions.Request(
            service='letters',
            prefix_digests=call.digests,
            priority=call.priority,
            remaining_s=30.0,
            excluded_target_ids=frozenset(map(str, call.excluded)),
        )
        choice = self._router.choose(request, self.world.now_s)
        if isinstance(choice, decisions.Chosen):
            return int(choice.target_id)
        return None

    def on_sent(self, call, number):
        """Pass the event to the router."""
        sent = events.Dispatched(
            call_id=call.attempt_id,
            target_id=str(number),
            priority=call.priority,
            prefix_digests=call.digests,
        )
        self._apply(sent)

    def on_refused(self, call, number, reason):
        """Pass the refusal to the router; treat a lost call as failed."""
        if reason == 'lost':
            self.on_interrupted(call, number)
            return
        refused = events.Refused(
            call_id=call.attempt_id,
            target_id=str(number),
            retry_after_s=1.0,
            reason=events.RefusalReason(reason),
        )
        self._apply(refused)

    def on_first_token(self, call):
        """Pass the event to the router with the number of cached blocks."""
        first = events.FirstToken(
            call_id=call.attempt_id,
            latency_s=self.world.now_s - call.sent_s,
            cached_digests=call.cached,
        )
        self._apply(first)

    def on_finished(self, call, number):
        """Pass the event to the router."""
        self._complete(call, events.Outcome.ANSWERED)

    def on_interrupted(self, call, number):
        """Pass the event to the router."""
        self._complete(call, events.Outcome.FAILED)

    def _complete(self, call, outcome):
        completed = events.Completed(
            call_id=call.attempt_id,
            outcome=outcome,
            latency_s=self.world.now_s - call.sent_s,
            token_s=call.token_s,
        )
        self._apply(completed)

    def on_report(self, number, report, changes):
        """Pass the load to the router, and cache events unless lost."""
        target_id = str(number)
        self._apply(events.LoadReported(target_id=target_id, **report))
        if changes is not None:
            sequence, added, evicted = changes
            seen = events.CacheEventSeen(
                target_id=target_id,
                incarnation=report['incarnation'],
                sequence=sequence,
                added=tuple(added),
                evicted=tuple(evicted),
            )
            self._apply(seen)

    def on_data_centre(self, data_centre, state):
        """Pass the event to the router."""
        changed = events.DataCentreStateChanged(
            data_centre=f'dc-{data_centre}', state=state
        )
        self._apply(changed)

    def on_connection(self, number, reachable):
        """Pass the event to the router; register a new incarnation first."""
        event_class = events.TargetUnreachable
        if reachable:
            event_class = events.TargetReachable
            self._register_target(self.world.targets[number])
            self._router.plan_connections()
        self._apply(event_class(target_id=str(number)))
