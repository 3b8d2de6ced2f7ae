"""Coordinate the map changes of one group."""

import functools
import math

from savoryyoke.groups import exceptions
from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import models
from savoryyoke.groups.rollout import reports

_Phase = models.Phase
# Version of no map, in a RELEASE that abandons the change.
_NO_VERSION = 0


class GroupLeader:
    """Lead a group through the phases of a map change.

    1. PREPARE: every rank copies the experts of the new map. If demand shifts
       meanwhile, the change ends, so that a map for the new demand is planned.
    2. HOLD: another rank, which the leader orders directly, holds the group
       before a pass that is a few passes ahead. If the leader's VM freezes
       then, a new leader can reach that rank. Its agent has been told in
       PREPARE, so that it doesn't take the hold for a stale one. No rank is
       armed before the hold is confirmed and all agents have reported lately;
       otherwise the change is abandoned.
    3. ARM: every rank is armed for that pass, the leader's own rank last.
       Arming is never undone: a rank that has prepared the map can always be
       armed, by its agent or by the leader directly. If a rank fails, the
       group is formed again and the change is dropped.
    4. RELEASE: once every rank is armed, or if the change is abandoned, the
       hold is released.

    A new leader starts in LEARN. It waits until every other agent has
    accepted its term, after which no order of an older leader can be given,
    and then resumes the change from the state of the ranks. If only the
    former leader's rank can't be reached and no other rank may be armed, that
    rank isn't armed either, and the change is abandoned.
    """

    def __init__(
        self,
        *,
        group,
        term,
        host,
        generate_bits,
        has_map_content,
        now_s,
        previous_directive=None,
    ):
        """Start in phase LEARN.

        ``generate_bits(n)`` returns an integer of n random bits.
        ``has_map_content(version)`` returns whether the content of a map is
        available; if not, the ranks are asked for it. ``previous_directive``
        is the newest available directive of an older term, or None.
        """
        self._group = group
        self._term = term
        self._host = host
        self._generate_bits = generate_bits
        self._has_map_content = has_map_content
        self._sequence = 0
        self._reports = reports.RankReports()
        self._phase = _Phase.LEARN
        self._phase_started_s = now_s
        self._change_started_s = now_s
        self._epoch = None
        self._expert_map = None
        self._version = 0
        self._switch_step = 0
        self._change_first_step = 0
        self._hold_rank = term.rank
        # Number of the first directive that names the hold rank.
        self._hold_rank_sequence = 0
        # No engine that this leader or its predecessor has ordered to copy a
        # map accepts a version below this one.
        self._highest_version = 0
        if previous_directive is not None:
            self._highest_version = previous_directive.version
        # Changes that ended in a row because demand had shifted.
        self._outdated_changes = 0
        # How often the pass of a hold has begun before the hold took effect.
        self._missed_holds = 0
        self._has_ordered_own_rank = False
        self._last_intervention_s = now_s
        self._previous_directive = previous_directive

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
        """Return the newest ``EngineState`` of each rank by rank."""
        return self._reports.states_by_rank

    def is_complete(self, *, now_s):
        """Return whether all ranks reported lately and agree.

        They must be open and agree on group, epoch and active map.
        """
        return self._reports.are_fresh_and_agree(now_s=now_s)

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Process an event and return a tuple of decisions.

        Raise ``UnknownEvent`` for an event of another type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.RankReported, *, now_s):
        report = event.report
        self._reports.add(report, now_s=now_s)
        if self._epoch is not None and report.state.epoch > self._epoch:
            return self._restart_learning('group formed anew', now_s)
        return self._advance(now_s)

    @apply.register
    def _(self, event: events.MapProposed, *, now_s):
        if self._phase is not _Phase.IDLE or not self.is_complete(now_s=now_s):
            return ()
        states = self._reports.list_states()
        if any(state.armed is not None for state in states):
            return ()
        # The states don't show the version of a change that was ended while
        # the ranks copied its experts.
        newest_version = max(
            self._highest_version,
            *(state.newest_version for state in states),
        )
        self._version = self._choose_version(newest_version)
        self._highest_version = self._version
        self._expert_map = models.ExpertMap(
            version=self._version, experts=event.experts
        )
        self._epoch = states[0].epoch
        self._change_started_s = now_s
        self._change_first_step = self._reports.find_state(
            self._term.rank
        ).step
        self._hold_rank = self._choose_hold_rank()
        self._hold_rank_sequence = self._sequence + 1
        self._missed_holds = 0
        return self._enter_phase(_Phase.PREPARE, now_s)

    @apply.register
    def _(self, event: events.DemandShifted, *, now_s):
        if self._phase is not _Phase.PREPARE:
            return ()
        # If demand shifts more often than experts are copied, an outdated map
        # is better than none.
        if self._outdated_changes >= conf.MAX_OUTDATED_CHANGES:
            return ()
        self._outdated_changes += 1
        # No rank is armed or held yet, so that the next change may begin.
        return self._end_change('demand shifted', now_s)

    @apply.register
    def _(self, event: events.TimePassed, *, now_s):
        new_decisions = self._advance(now_s)
        return new_decisions or (
            self._publish(),
        ) + self._order_for_silent_agents(now_s)

    def _choose_version(self, newest_version):
        counter = (newest_version >> conf.VERSION_RANDOM_BITS) + 1
        random_bits = self._generate_bits(conf.VERSION_RANDOM_BITS)
        return (counter << conf.VERSION_RANDOM_BITS) + random_bits

    def _advance(self, now_s):
        return _HANDLERS_BY_PHASE[self._phase](self, now_s)

    def _recover_change(self, now_s):
        """Resume from the ranks' states once all have accepted this term."""
        states = self._reports.list_states()
        if not self._is_followed():
            if not self._can_abandon():
                return ()
            self._epoch = max(state.epoch for state in states)
            return self._abandon_change(_find_holding(states), now_s)
        self._epoch = max(state.epoch for state in states)
        holding_state = _find_holding(states)
        if holding_state is None:
            return self._enter_phase(_Phase.IDLE, now_s)
        self._hold_rank = holding_state.rank
        self._switch_step = holding_state.held
        self._version = self._find_held_version(states, holding_state)
        if self._version != _NO_VERSION:
            return self._enter_phase(_Phase.ARM, now_s)
        return self._enter_phase(_Phase.RELEASE, now_s)

    def _abandon_change(self, holding_state, now_s):
        """Release the hold of a change for which no rank is armed."""
        self._hold_rank = holding_state.rank
        self._switch_step = holding_state.held
        self._version = _NO_VERSION
        return self._enter_phase(_Phase.RELEASE, now_s)

    def _find_held_version(self, states, holding_state):
        """Return the version that the hold is for, or ``_NO_VERSION``.

        Every rank had prepared that map before the hold, so the change can
        be completed.
        """
        armed = next((state.armed for state in states if state.armed), None)
        if armed is not None:
            return armed
        if self._has_unknown_orders():
            # An order of an agent that has ended may still arm its engine for
            # the held pass, with the map that all of them have prepared.
            return _find_prepared_version(states)
        directive = self._previous_directive
        if directive is None or directive.epoch != holding_state.epoch:
            return _NO_VERSION
        if (
            directive.phase not in models.HOLD_PHASES
            or directive.step != holding_state.held
        ):
            return _NO_VERSION
        prepared = all(state.prepared == directive.version for state in states)
        return directive.version if prepared else _NO_VERSION

    def _has_unknown_orders(self):
        """Return whether a rank may be armed by an order that nobody knows.

        A former leader arms its own rank only after all others.
        """
        exempt_rank = self._find_exempt_rank()
        return any(
            report.may_be_armed and report.state.rank != exempt_rank
            for report in self._reports.list_reports()
        )

    def _wait_idle(self, now_s):
        return ()

    def _wait_prepared(self, now_s):
        states = self._reports.list_states()
        if self._all_ranks(lambda state: state.prepared == self._version):
            if not self._is_hold_rank_ready(now_s):
                return self._replace_hold_rank(now_s)
            if self._reports.count_fresh(now_s=now_s) == len(states):
                newest_step = max(state.step for state in states)
                return self._enter_hold(newest_step, now_s)
        if now_s - self._phase_started_s > conf.PREPARE_TIMEOUT_S:
            return self._end_change('not prepared in time', now_s)
        return ()

    def _count_passes_ahead(self):
        """Return after how many passes the group switches.

        The number falls as passes get longer, for example because of a slow
        rank. The duration of a pass is the mean since the start of the
        change, as observed on the leader's own rank. The number grows with
        each hold that came too late, because an order may take longer than a
        pass.
        """
        received = self._reports.find(self._term.rank)
        passes = received.report.state.step - self._change_first_step
        pass_s = (received.received_s - self._change_started_s) / max(
            passes, 1
        )
        passes_ahead = math.ceil(conf.SWITCH_LEAD_TIME_S / max(pass_s, 0.001))
        passes_ahead = max(passes_ahead, conf.MIN_PASSES_AHEAD)
        return min(passes_ahead + self._missed_holds, conf.MAX_PASSES_AHEAD)

    def _enter_hold(self, newest_step, now_s):
        """Order the hold rank to hold the group a few passes ahead."""
        self._switch_step = newest_step + self._count_passes_ahead()
        return self._enter_phase(_Phase.HOLD, now_s) + self._order_hold()

    def _choose_hold_rank(self):
        """Return the rank, other than the own one, that reported last.

        A rank without a stale hold is preferred.
        """
        return max(
            self._reports.states_by_rank,
            key=lambda rank: (
                rank != self._term.rank,
                self._reports.find_state(rank).held is None,
                self._reports.find(rank).received_s,
            ),
        )

    def _is_hold_rank_ready(self, now_s):
        """Return whether the agent of the hold rank knows its task."""
        received = self._reports.find(self._hold_rank)
        return (
            received.report.term == self._term
            and received.report.sequence >= self._hold_rank_sequence
            and now_s - received.received_s <= conf.AGENT_TIMEOUT_S
        )

    def _replace_hold_rank(self, now_s):
        """Choose another hold rank if the present one is silent."""
        received = self._reports.find(self._hold_rank)
        if now_s - received.received_s <= conf.AGENT_TIMEOUT_S:
            return ()
        self._hold_rank = self._choose_hold_rank()
        self._hold_rank_sequence = self._sequence + 1
        return (self._publish(),)

    def _order_hold(self):
        host = self._reports.find(self._hold_rank).report.host
        order = decisions.Hold(epoch=self._epoch, step=self._switch_step)
        return (decisions.OrderRemotely(host=host, order=order),)

    def _wait_held(self, now_s):
        hold_state = self._reports.find_state(self._hold_rank)
        if hold_state.held == self._switch_step:
            if self._reports.count_fresh(now_s=now_s) < hold_state.ranks:
                return self._abandon_change(hold_state, now_s)
            return self._enter_phase(_Phase.ARM, now_s)
        newest_step = max(state.step for state in self._reports.list_states())
        if newest_step >= self._switch_step:
            self._missed_holds += 1
            return self._enter_hold(newest_step, now_s)
        return ()

    def _wait_armed(self, now_s):
        states = self._reports.list_states()
        if self._all_ranks(self._is_armed):
            return self._enter_phase(_Phase.RELEASE, now_s)
        if self._is_own_rank_due(states) and not self._has_ordered_own_rank:
            self._has_ordered_own_rank = True
            return self._arm_own_rank()
        return ()

    def _is_own_rank_due(self, states):
        """Return whether all ranks but the own one are armed."""
        return len(states) == states[0].ranks and all(
            self._is_armed(state) != (state.rank == self._term.rank)
            for state in states
        )

    def _arm_own_rank(self):
        order = decisions.Arm(
            epoch=self._epoch, version=self._version, step=self._switch_step
        )
        return (decisions.OrderRemotely(host=self._host, order=order),)

    def _is_armed(self, state):
        return self._version in (state.armed, state.active)

    def _wait_released(self, now_s):
        if self._version == _NO_VERSION:
            if self._reports.find_state(self._hold_rank).held is None:
                return self._end_change('abandoned', now_s)
            return ()
        if self._all_ranks(lambda state: state.active == self._version):
            self._outdated_changes = 0
            return self._end_change('switched', now_s)
        return ()

    def _all_ranks(self, predicate):
        return self._reports.are_all(predicate)

    def _order_for_silent_agents(self, now_s):
        """Give orders to engines directly.

        These are repeated orders to hold the group or to arm the own rank, and
        orders to engines whose agents don't report, in the phases that need
        every rank or the holding rank: ARM and RELEASE. In LEARN, observe the
        rank of the previous leader instead.
        """
        if now_s - self._last_intervention_s < conf.ORDER_RETRY_S:
            return ()
        self._last_intervention_s = now_s
        if self._phase is _Phase.LEARN:
            return self._observe_former_leader()
        if self._phase is _Phase.HOLD:
            return self._order_hold()
        if self._phase is _Phase.ARM and self._is_own_rank_due(
            self._reports.list_states()
        ):
            return self._arm_own_rank()
        silent_reports = self._reports.list_silent(now_s=now_s)
        if 2 * len(silent_reports) > len(self._reports.states_by_rank):
            # Rather than most agents, this process has been frozen. Another
            # leader may have released the group since.
            return ()
        new_decisions = (
            self._choose_remote_order(report) for report in silent_reports
        )
        return tuple(
            decision for decision in new_decisions if decision is not None
        )

    def _observe_former_leader(self):
        if self._find_exempt_rank() is None:
            return ()
        return (
            decisions.ObserveRemotely(
                host=self._previous_directive.leader_host
            ),
        )

    def _find_exempt_rank(self):
        """Return the rank of a previous leader of an unfinished change.

        Only that rank need not accept this term: all orders that its agent
        may still give belong to the change that this leader completes.
        """
        directive = self._previous_directive
        if directive is None or directive.phase not in models.HOLD_PHASES:
            return None
        return directive.term.rank

    def _choose_remote_order(self, report):
        if self._phase is _Phase.ARM:
            is_own_rank = report.state.rank == self._term.rank
            if is_own_rank or report.state.armed == self._version:
                return None
            order = decisions.Arm(
                epoch=self._epoch,
                version=self._version,
                step=self._switch_step,
            )
        elif self._phase is _Phase.RELEASE:
            if report.state.rank != self._hold_rank:
                return None
            order = decisions.Go(epoch=self._epoch, step=self._switch_step)
        else:
            return None
        return decisions.OrderRemotely(host=report.host, order=order)

    def _is_followed(self):
        """Return whether every rank's agent has accepted this term."""
        exempt_rank = self._find_exempt_rank()
        received_reports = self._reports.list_reports()
        return self._reports.is_complete and all(
            report.term == self._term or report.state.rank == exempt_rank
            for report in received_reports
        )

    def _can_abandon(self):
        """Return whether no rank can be armed for the change.

        Every rank but the former leader's has accepted this term, has not been
        armed and will not be. A leader arms its own rank last.
        """
        received_reports = self._reports.list_reports()
        exempt_rank = self._find_exempt_rank()
        return (
            bool(received_reports)
            and exempt_rank is not None
            and exempt_rank not in self._reports.states_by_rank
            and len(received_reports) == received_reports[0].state.ranks - 1
            and _find_holding(self._reports.list_states()) is not None
            and all(
                report.term == self._term
                and report.state.armed is None
                and not report.may_be_armed
                for report in received_reports
            )
        )

    def _restart_learning(self, reason, now_s):
        """Drop the change, as the engines lose it when a group is re-formed.

        Returns to phase LEARN with the reports of the new epoch only.
        """
        end_decisions = ()
        if self._phase not in (_Phase.LEARN, _Phase.IDLE):
            end_decisions = (self._describe_end(reason, now_s),)
        self._reports.drop_until_epoch(self._epoch)
        self._epoch = None
        return end_decisions + self._enter_phase(_Phase.LEARN, now_s)

    def _end_change(self, reason, now_s):
        end_decisions = (self._describe_end(reason, now_s),)
        return end_decisions + self._enter_phase(_Phase.IDLE, now_s)

    def _describe_end(self, reason, now_s):
        return decisions.ChangeEnded(
            version=self._version,
            reason=reason,
            duration_s=now_s - self._change_started_s,
        )

    def _enter_phase(self, phase, now_s):
        self._phase = phase
        self._has_ordered_own_rank = False
        self._phase_started_s = now_s
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
                    self._expert_map if self._phase is _Phase.PREPARE else None
                ),
                step=self._switch_step,
                hold_rank=self._hold_rank,
                wants_experts=self._needs_experts(),
            )
        )

    def _needs_experts(self):
        """Return whether the content of an active map is unavailable.

        Without it no next map can be planned.
        """
        return self._phase is _Phase.IDLE and not all(
            self._has_map_content(state.active)
            for state in self._reports.list_states()
        )


def _find_prepared_version(states):
    """Return the next map if all ranks have prepared it, or ``_NO_VERSION``.

    Without it no rank can have been ordered to use it.
    """
    versions = {state.prepared for state in states}
    if len(versions) != 1:
        return _NO_VERSION
    (version,) = versions
    if version is None or any(state.active >= version for state in states):
        return _NO_VERSION
    return version


def _find_holding(states):
    """Return the state of a rank that holds the group, or None."""
    return next((state for state in states if state.held is not None), None)


_HANDLERS_BY_PHASE = {
    _Phase.LEARN: GroupLeader._recover_change,
    _Phase.IDLE: GroupLeader._wait_idle,
    _Phase.PREPARE: GroupLeader._wait_prepared,
    _Phase.HOLD: GroupLeader._wait_held,
    _Phase.ARM: GroupLeader._wait_armed,
    _Phase.RELEASE: GroupLeader._wait_released,
}
