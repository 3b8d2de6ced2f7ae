"""Adapt the router and naive policies to the serving model."""

import numpy as np

from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import router


class Policy:
    """Serve as the base of the policies; learn nothing by default."""

    def __init__(self, *, world, entry, entries, data_centres, numbers):
        self.world = world
        self.entry = entry
        self.entries = entries
        self.data_centres = data_centres
        self.numbers = numbers
        self.listed = sorted(numbers)

    def choose(self, call):
        """Return a target's number, or None to refuse."""
        raise NotImplementedError

    def on_listed(self, numbers):
        """Learn the lagging list of targets."""
        self.listed = sorted(self.numbers & set(numbers))

    def on_sent(self, call, number):
        """Learn that a call was sent."""

    def on_refused(self, call, number, reason):
        """Learn that a target refused a call."""

    def on_first_token(self, call):
        """Learn that a call's answer began."""

    def on_finished(self, call, number):
        """Learn that a call was answered."""

    def on_cut(self, call, number):
        """Learn that a call was cut by the end of its target."""

    def on_report(self, number, report, changes):
        """Learn a target's load and the changes of its cache."""

    def on_data_centre(self, data_centre, state):
        """Learn that a data centre was taken out or brought back."""

    def on_connection(self, number, reachable):
        """Learn that the connection to a target went down or up."""


class RoundRobin(Policy):
    """Take the listed targets in turn."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._turn = self.entry

    def choose(self, call):
        """Return the next target of the list."""
        left = [n for n in self.listed if n not in call.excluded]
        if not left:
            return None
        self._turn += 1
        return left[self._turn % len(left)]


class LeastReported(Policy):
    """Take the target with the least reported load."""

    def __init__(self, **arguments):
        super().__init__(**arguments)
        self._loads = {}

    def on_report(self, number, report, changes):
        """Keep the load."""
        self._loads[number] = report['running'] + report['queued']

    def choose(self, call):
        """Return the first target of the least load."""
        left = [n for n in self.listed if n not in call.excluded]
        if not left:
            return None
        return min(left, key=lambda number: self._loads.get(number, 0))


class PerfectShortestQueue(Policy):
    """Take the shortest queue of all targets, known without delay."""

    def choose(self, call):
        """Return the target that holds the fewest calls now."""
        targets = [
            target
            for target in self.world.targets
            if target.up
            and not target.leaving
            and target.number not in call.excluded
            and target.load < target.bears + (0 if target.cold else 24)
        ]
        if not targets:
            return None
        return min(targets, key=lambda target: target.load).number


class Routed(Policy):
    """Ask a router of savoryyoke."""

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
            self._see(target)
        self._router.plan_connections()
        for number in self.numbers:
            self.on_connection(number, True)

    def _apply(self, event):
        return self._router.apply(event, now_s=self.world.now_s)

    def _see(self, target):
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
        """Tell the router."""
        sent = events.Dispatched(
            call_id=call.attempt_id,
            target_id=str(number),
            priority=call.priority,
            prefix_digests=call.digests,
        )
        self._apply(sent)

    def on_refused(self, call, number, reason):
        """Tell the router; a lost connection is no refusal."""
        if reason == 'lost':
            self.on_cut(call, number)
            return
        refused = events.Refused(
            call_id=call.attempt_id,
            target_id=str(number),
            retry_after_s=1.0,
            reason=events.RefusalReason(reason),
        )
        self._apply(refused)

    def on_first_token(self, call):
        """Tell the router, with the cached blocks that the answer tells."""
        first = events.FirstToken(
            call_id=call.attempt_id,
            latency_s=self.world.now_s - call.sent_s,
            cached_digests=call.cached,
        )
        self._apply(first)

    def on_finished(self, call, number):
        """Tell the router."""
        self._complete(call, events.Outcome.ANSWERED)

    def on_cut(self, call, number):
        """Tell the router."""
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
        """Tell the router; events of a lost message never come."""
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
        """Tell the router."""
        changed = events.DataCentreStateChanged(
            data_centre=f'dc-{data_centre}', state=state
        )
        self._apply(changed)

    def on_connection(self, number, reachable):
        """Tell the router, which also learns the incarnation then."""
        kind = events.TargetUnreachable
        if reachable:
            kind = events.TargetReachable
            self._see(self.world.targets[number])
            self._router.plan_connections()
        self._apply(kind(target_id=str(number)))
