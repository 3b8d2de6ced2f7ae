"""Lead the map changes of one group."""

import dataclasses
import functools
import math

from savoryyoke.groups import exceptions
from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import models

_Phase = models.Phase
_HOLDING = frozenset({_Phase.HOLD, _Phase.ARM, _Phase.RELEASE})


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Heard:
    report: models.RankReport
    heard_s: float


class GroupLeader:
    """Take a group from one map to the next.

    1. PREPARE: every rank copies the experts of the new map.
    2. HOLD: the leader's rank holds the group before a pass a few ahead.
       No rank is armed before the hold is confirmed.
    3. ARM: every rank is armed for that pass. This is never undone: a rank
       that has prepared the map can always be armed, by its agent or from
       here. If it dies, the group forms anew and forgets all of it.
    4. RELEASE: once every rank is armed, the hold is released.

    A new leader first LEARNs: it waits until every other agent follows its
    term, so nothing of an older leader can follow, and goes on from where
    the ranks are.
    """

    def __init__(
        self,
        *,
        group,
        term,
        host,
        draw_bits,
        knows_map,
        now_s,
        former=None,
    ):
        """Start to learn.

        ``draw_bits(n)`` returns an integer of n random bits, and
        ``knows_map(version)`` whether the content of a map is known; if not,
        the ranks are asked for it. ``former`` is the newest directive of an
        older term that is known.
        """
        self._group = group
        self._term = term
        self._host = host
        self._draw_bits = draw_bits
        self._knows_map = knows_map
        self._sequence = 0
        self._heard_by_rank = {}
        self._phase = _Phase.LEARN
        self._entered_s = now_s
        self._started_s = now_s
        self._epoch = None
        self._map = None
        self._version = 0
        self._step = 0
        self._first_step = 0
        self._hold_rank = term.rank
        self._helped_s = now_s
        self._former = former

    @property
    def term(self):
        """Return the leader's term."""
        return self._term

    @property
    def phase(self):
        """Return the phase of the change."""
        return self._phase

    @property
    def states_by_rank(self):
        """Return the newest states of the ranks."""
        return {
            rank: heard.report.state
            for rank, heard in self._heard_by_rank.items()
        }

    def is_complete(self, *, now_s):
        """Return whether all ranks are heard and agree on their group."""
        states = self._fresh_states(now_s)
        if not states or len(states) < states[0].ranks:
            return False
        first = states[0]
        return all(
            (x.group, x.epoch, x.active, x.is_open)
            == (first.group, first.epoch, first.active, True)
            for x in states
        )

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in an event and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.RankReported, *, now_s):
        report = event.report
        self._heard_by_rank[report.state.rank] = _Heard(
            report=report, heard_s=now_s
        )
        if self._epoch is not None and report.state.epoch > self._epoch:
            return self._start_over('group formed anew', now_s)
        return self._advance(now_s)

    @apply.register
    def _(self, event: events.MapProposed, *, now_s):
        if self._phase is not _Phase.IDLE or not self.is_complete(now_s=now_s):
            return ()
        states = self._fresh_states(now_s)
        if any(x.armed is not None for x in states):
            return ()
        newest = max(x.newest_version for x in states)
        self._version = self._choose_version(newest)
        self._map = models.ExpertMap(
            version=self._version, experts=event.experts
        )
        self._epoch = states[0].epoch
        self._started_s = now_s
        self._first_step = self._state_of(self._term.rank).step
        return self._enter(_Phase.PREPARE, now_s)

    @apply.register
    def _(self, event: events.TimePassed, *, now_s):
        made = self._advance(now_s)
        return made or (self._publish(),) + self._help(now_s)

    def _choose_version(self, newest):
        counter = (newest >> conf.VERSION_RANDOM_BITS) + 1
        low = self._draw_bits(conf.VERSION_RANDOM_BITS)
        return (counter << conf.VERSION_RANDOM_BITS) + low

    def _advance(self, now_s):
        return _STEPS_BY_PHASE[self._phase](self, now_s)

    def _learn(self, now_s):
        """Go on from what the ranks hold once all follow this term."""
        if not self._is_followed():
            return ()
        states = self._current_states()
        self._epoch = max(x.epoch for x in states)
        holder = next((x for x in states if x.held is not None), None)
        if holder is None:
            return self._enter(_Phase.IDLE, now_s)
        self._hold_rank = holder.rank
        self._step = holder.held
        self._version = self._find_change(states, holder)
        if self._version:
            return self._enter(_Phase.ARM, now_s)
        return self._enter(_Phase.RELEASE, now_s)

    def _find_change(self, states, holder):
        """Return the version that the hold is for; 0 for a stray hold.

        Every rank had prepared it before the hold, so it can be finished.
        """
        armed = next((x.armed for x in states if x.armed), None)
        if armed is not None:
            return armed
        former = self._former
        if former is None or former.epoch != holder.epoch:
            return 0
        if former.phase not in _HOLDING or former.step != holder.held:
            return 0
        prepared = all(x.prepared == former.version for x in states)
        return former.version if prepared else 0

    def _wait_idle(self, now_s):
        return ()

    def _wait_prepared(self, now_s):
        states = self._current_states()
        if self._all(states, lambda x: x.prepared == self._version):
            self._step = max(x.step for x in states) + self._ahead()
            self._hold_rank = self._term.rank
            return self._enter(_Phase.HOLD, now_s)
        if now_s - self._entered_s > conf.PREPARE_TIMEOUT_S:
            return self._end('not prepared in time', now_s)
        return ()

    def _ahead(self):
        """Return how many passes ahead the group switches.

        Answers passes that a slow rank makes long: the pace is that since
        the ranks began to prepare, as the leader's own rank shows it.
        """
        own = self._heard_by_rank[self._term.rank]
        passes = own.report.state.step - self._first_step
        pass_s = (own.heard_s - self._started_s) / max(passes, 1)
        ahead = math.ceil(conf.SWITCH_AHEAD_S / max(pass_s, 0.001))
        return min(max(ahead, conf.LEAST_PASSES_AHEAD), conf.MOST_PASSES_AHEAD)

    def _wait_held(self, now_s):
        own = self._state_of(self._hold_rank)
        if own.held == self._step:
            return self._enter(_Phase.ARM, now_s)
        if own.step >= self._step:
            self._step = own.step + self._ahead()
            return self._enter(_Phase.HOLD, now_s)
        return ()

    def _wait_armed(self, now_s):
        states = self._current_states()
        if self._all(states, self._is_armed):
            return self._enter(_Phase.RELEASE, now_s)
        return ()

    def _is_armed(self, state):
        return self._version in (state.armed, state.active)

    def _wait_released(self, now_s):
        states = self._current_states()
        if self._all(states, lambda x: x.active == self._version):
            return self._end('switched', now_s)
        return ()

    def _all(self, states, holds):
        return len(states) == states[0].ranks and all(map(holds, states))

    def _help(self, now_s):
        """Order for agents that are not heard, in phases that can't wait."""
        if now_s - self._helped_s < conf.ORDER_TIMEOUT_S:
            return ()
        self._helped_s = now_s
        if self._phase is _Phase.LEARN:
            return self._observe_former_leader()
        silent = [
            heard.report
            for heard in self._heard_by_rank.values()
            if now_s - heard.heard_s > conf.SILENCE_S
        ]
        made = (self._order_for(report) for report in silent)
        return tuple(x for x in made if x is not None)

    def _observe_former_leader(self):
        if self._excused_rank() is None:
            return ()
        return (decisions.ObserveRemotely(host=self._former.leader_host),)

    def _excused_rank(self):
        """Return the rank of a former leader that may hold the group.

        It alone needs not follow: whatever it still orders concerns the
        change that this leader finishes.
        """
        former = self._former
        if former is None or former.phase not in _HOLDING:
            return None
        return former.hold_rank

    def _order_for(self, report):
        if self._phase is _Phase.ARM:
            if report.state.armed == self._version:
                return None
            order = decisions.Arm(
                epoch=self._epoch, version=self._version, step=self._step
            )
        elif self._phase is _Phase.RELEASE:
            if report.state.rank != self._hold_rank:
                return None
            order = decisions.Go(epoch=self._epoch, step=self._step)
        else:
            return None
        return decisions.OrderRemotely(host=report.host, order=order)

    def _is_followed(self):
        """Return whether every rank's agent follows this term."""
        reports = [heard.report for heard in self._heard_by_rank.values()]
        if not reports or len(reports) < reports[0].state.ranks:
            return False
        excused = self._excused_rank()
        return all(
            x.term == self._term or x.state.rank == excused for x in reports
        )

    def _fresh_states(self, now_s):
        return [
            heard.report.state
            for heard in self._heard_by_rank.values()
            if now_s - heard.heard_s <= conf.SILENCE_S
        ]

    def _current_states(self):
        return [x.report.state for x in self._heard_by_rank.values()]

    def _state_of(self, rank):
        return self._heard_by_rank[rank].report.state

    def _start_over(self, reason, now_s):
        """Forget the change: a new formation knows nothing of it."""
        ended = ()
        if self._phase not in (_Phase.LEARN, _Phase.IDLE):
            ended = (self._describe_end(reason, now_s),)
        self._heard_by_rank = {
            rank: heard
            for rank, heard in self._heard_by_rank.items()
            if heard.report.state.epoch > self._epoch
        }
        self._epoch = None
        return ended + self._enter(_Phase.LEARN, now_s)

    def _end(self, reason, now_s):
        ended = (self._describe_end(reason, now_s),)
        return ended + self._enter(_Phase.IDLE, now_s)

    def _describe_end(self, reason, now_s):
        return decisions.ChangeEnded(
            version=self._version,
            reason=reason,
            took_s=now_s - self._started_s,
        )

    def _enter(self, phase, now_s):
        self._phase = phase
        self._entered_s = now_s
        return (self._publish(),)

    def _publish(self):
        self._sequence += 1
        return decisions.Publish(
            directive=models.Directive(
                group=self._group,
                epoch=self._epoch or 0,
                term=self._term,
                sequence=self._sequence,
                leader_host=self._host,
                phase=self._phase,
                version=self._version,
                expert_map=(
                    self._map if self._phase is _Phase.PREPARE else None
                ),
                step=self._step,
                hold_rank=self._hold_rank,
                wants_experts=self._lacks_map(),
            )
        )

    def _lacks_map(self):
        """Return whether a map in use can't be planned upon."""
        return self._phase is _Phase.IDLE and not all(
            self._knows_map(x.active) for x in self._current_states()
        )


_STEPS_BY_PHASE = {
    _Phase.LEARN: GroupLeader._learn,
    _Phase.IDLE: GroupLeader._wait_idle,
    _Phase.PREPARE: GroupLeader._wait_prepared,
    _Phase.HOLD: GroupLeader._wait_held,
    _Phase.ARM: GroupLeader._wait_armed,
    _Phase.RELEASE: GroupLeader._wait_released,
}
