"""Run the agent of one rank as a daemon."""

import dataclasses
import functools
import gc
import random
import signal
import time

import anyio

from savoryyoke.groups.rollout import agent
from savoryyoke.groups.rollout import blocks
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import elections
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import leader
from savoryyoke.groups.rollout import models

from savoryyoke_agent import balancer
from savoryyoke_agent import choices
from savoryyoke_agent import conf
from savoryyoke_agent import delivery
from savoryyoke_agent import exchange
from savoryyoke_agent import membership
from savoryyoke_agent import slowdowns

from savoryyoke_edge import logs
from savoryyoke_edge import reloading
from savoryyoke_edge import signal_receivers
from savoryyoke_edge import supervision
from savoryyoke_wire import group

_Phase = models.Phase
# Settings that a running process can change. The others determine open sockets
# and the own rank.
_RELOADABLE_FIELDS = frozenset({'seed_hosts'})


class RankDaemon:
    """Run the agent of one rank and, while elected, the leader of its group.

    ``engine`` implements ``ports.Engine`` and ``member_finder``
    ``ports.MemberFinder``. ``read_published_values()`` returns items by key
    from the platform, or None. ``read_settings()`` reads the settings again
    and returns them; it raises ``SettingsUnusable``. ``clock`` returns
    seconds.
    """

    def __init__(
        self,
        *,
        settings,
        engine,
        member_finder,
        read_published_values,
        read_settings,
        clock=time.monotonic,
        random_source=None,
    ):
        self._settings = settings
        self._reloader = reloading.SettingsReloader(
            settings=settings,
            reloadable_fields=_RELOADABLE_FIELDS,
            read_settings=read_settings,
            apply=self._apply_settings,
        )
        self._engine = engine
        self._clock = clock
        self._random = random_source or random.SystemRandom()
        self._agent = agent.RankAgent()
        self._leader = None
        self._last_directive_s = clock()
        self._last_report_s = clock()
        self._last_report_fields = None
        self._last_publish_s = clock()
        self._cycle_due = anyio.Event()
        self._balancer = balancer.Balancer(clock=clock)
        self._exchange = exchange.Exchange(
            host=settings.own_host,
            port=settings.peer_port,
            link_bytes_per_s=settings.link_bytes_per_s,
            receive=self.receive,
            clock=clock,
        )
        self._membership = membership.GroupMembership(
            settings=settings,
            send=self._exchange.send,
            member_finder=member_finder,
            read_published_values=read_published_values,
            clock=clock,
            random_source=self._random,
        )
        self._delivery = delivery.MapDelivery(
            own_host=settings.own_host,
            exchange=self._exchange,
            membership=self._membership,
            contents=self._balancer.contents,
            clock=clock,
        )
        self._choices = choices.ChoiceReporting(
            settings=settings,
            engine=engine,
            agent=self._agent,
            exchange=self._exchange,
            membership=self._membership,
            balancer=self._balancer,
            is_leading=lambda: self._leader is not None,
        )
        self._slowdown = slowdowns.SlowdownReporting(
            settings=settings, agent=self._agent, exchange=self._exchange
        )
        self._outbox = []
        self._stopping = anyio.Event()

    async def run(self):
        """Run until stopped by a signal."""
        logs.write_event(
            'started',
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            seeds=','.join(self._settings.seed_hosts),
        )
        # Excludes what has been imported from further collections.
        gc.freeze()
        async with anyio.create_task_group() as tasks:
            for task in (
                self._exchange.run,
                self._run_cycles,
                self._delivery.run,
                self._choices.run,
                self._refresh_members,
                self._plan,
                self._slowdown.run,
                self._log_load,
                self._watch_signals,
                self._reloader.run,
            ):
                tasks.start_soon(supervision.keep_running, task)
            await self._stopping.wait()
            await self._finish_change()
            tasks.cancel_scope.cancel()
        logs.write_event('stopped', vm=self._settings.vm_id)

    def stop(self):
        """Stop after the map change that this process leads, if any."""
        self._stopping.set()

    async def _finish_change(self):
        """Wait a limited time for the end of a map change that is led here."""
        with anyio.move_on_after(conf.STOP_CHANGE_TIMEOUT_S):
            while self._leader is not None and (
                self._leader.phase not in (_Phase.IDLE, _Phase.LEARN)
            ):
                await anyio.sleep(conf.OBSERVE_INTERVAL_CHANGING_S)

    async def _watch_signals(self):
        with signal_receivers.open_receiver() as signals:
            async for received in signals:
                logs.write_event('signal_received', signal=received.name)
                if received is signal.SIGHUP:
                    self._reloader.reload()
                else:
                    self.stop()

    def _apply_settings(self, settings):
        self._settings = settings
        self._membership.set_seeds(settings.seed_hosts)
        self._slowdown.set_seeds(settings.seed_hosts)

    async def _run_cycles(self):
        """Repeat the cycle: observe the engine, order, report and lead."""
        while True:
            state = await self._engine.observe()
            if state is not None:
                await self._execute_order(
                    self._agent.apply(events.EngineObserved(state=state))
                )
                self._balancer.record_pass(state.step)
                await self._report()
                await self._lead()
            await self._pause()

    async def _execute_order(self, order):
        """Send an order to the own engine and apply its result."""
        if order is None:
            return
        result = await self._engine.send_order(order)
        self._agent.apply(events.OrderEnded(result=result))
        logs.write_event(
            'order_given',
            order=type(order).__name__.lower(),
            result=result.value,
            epoch=order.epoch,
            step=getattr(order, 'step', ''),
        )
        if result is events.OrderResult.DONE:
            # Observe the effect of the order without a pause.
            self._cycle_due.set()

    async def _pause(self):
        with anyio.move_on_after(self._choose_observe_interval_s()):
            await self._cycle_due.wait()
        self._cycle_due = anyio.Event()

    def _choose_observe_interval_s(self):
        if self._phase() not in (_Phase.IDLE, _Phase.LEARN):
            return conf.OBSERVE_INTERVAL_CHANGING_S
        if self._leader is None and blocks.is_group_large(self._agent.state):
            return conf.OBSERVE_INTERVAL_IDLE_LARGE_S
        return conf.OBSERVE_INTERVAL_IDLE_S

    def _phase(self):
        directive = self._agent.directive
        return directive.phase if directive else _Phase.LEARN

    async def _report(self):
        """Send the state of this rank to the leader if changed or due."""
        directive = self._agent.directive
        if directive is None:
            return
        report = self._build_report()
        if self._leader is not None:
            self._apply_to_leader(events.RankReported(report=report))
            return
        report_fields = _select_change_fields(report)
        due_s = self._last_report_s + self._choose_repeat_interval_s(
            directive.phase
        )
        if report_fields == self._last_report_fields and self._clock() < due_s:
            return
        self._last_report_fields, self._last_report_s = (
            report_fields,
            self._clock(),
        )
        await self._exchange.send(report, [directive.leader_host])

    def _build_report(self):
        return models.RankReport(
            host=self._settings.own_host,
            state=self._agent.state,
            term=self._agent.term,
            sequence=self._agent.sequence,
            may_be_armed=self._agent.may_be_armed,
        )

    async def _lead(self):
        if self._leader is None:
            self._become_leader_if_due()
        if self._leader is not None:
            repeat_s = self._choose_repeat_interval_s(self._leader.phase)
            if self._clock() - self._last_publish_s >= repeat_s:
                self._last_publish_s = self._clock()
                self._apply_to_leader(events.TimePassed())
        outbox, self._outbox = self._outbox, []
        for decision in outbox:
            await self._execute(decision)

    def _choose_repeat_interval_s(self, phase):
        """Return the interval for repeating directives and reports."""
        if phase in (_Phase.IDLE, _Phase.LEARN):
            return conf.REPEAT_INTERVAL_S
        return max(
            conf.OBSERVE_INTERVAL_CHANGING_S,
            conf.REPEAT_INTERVAL_CHANGING_PER_RANK_S * self._agent.state.ranks,
        )

    def _become_leader_if_due(self):
        """Become the leader after too long without a directive."""
        state = self._agent.state
        delay_s = elections.choose_election_delay_s(
            rank=state.rank,
            phase=self._phase(),
            repeat_interval_s=self._choose_repeat_interval_s(self._phase()),
        )
        if self._clock() - self._last_directive_s < delay_s:
            return
        if not self._membership.other_hosts():
            return
        term = models.Term(number=self._agent.term.number + 1, rank=state.rank)
        self._leader = leader.GroupLeader(
            group=state.group,
            term=term,
            host=self._settings.own_host,
            generate_bits=self._random.getrandbits,
            has_map_content=self._balancer.contents.has_map,
            now_s=self._clock(),
            previous_directive=self._agent.directive,
        )
        logs.write_event(
            'leader_elected',
            group=state.group,
            term=term.number,
            rank=term.rank,
        )
        self._apply_to_leader(events.TimePassed())

    def _apply_to_leader(self, event):
        previous_phase = self._leader.phase
        self._outbox.extend(self._leader.apply(event, now_s=self._clock()))
        if self._leader.phase is not previous_phase:
            logs.write_event(
                'change_advanced',
                term=self._leader.term.number,
                before=previous_phase.value,
                phase=self._leader.phase.value,
                step=self._agent.state.step,
            )

    async def _execute(self, decision):
        await _execute_decision(decision, self)

    async def publish(self, directive):
        """Send a directive to the other ranks, then apply it to this one."""
        if self._leader is None or directive.term != self._leader.term:
            # Another leader has replaced this one since the decision.
            return
        if directive.term < self._agent.term:
            self._step_down(self._agent.term)
            return
        self._last_directive_s = self._clock()
        if directive.expert_map is not None:
            self._delivery.send_map(directive, self._agent.state)
        await self._exchange.send(directive, self._membership.other_hosts())
        order = self._agent.apply(
            events.DirectiveReceived(directive=directive)
        )
        await self._execute_order(order)

    def store_map(self, expert_map):
        """Store a map that may come into use."""
        self._balancer.contents.add_map(expert_map)

    async def send_remote_order(self, host, order):
        """Send an order to the engine of a rank whose agent doesn't respond.

        Then observe the engine.
        """
        result = await self._engine.send_order(order, host=host)
        logs.write_event(
            'remote_order_given',
            host=host,
            order=type(order).__name__.lower(),
            result=result.value,
            epoch=order.epoch,
            step=order.step,
            newest_step=self._find_newest_step(),
        )
        await self.observe_remote_rank(host)

    def _find_newest_step(self):
        steps = [self._agent.state.step]
        if self._leader is not None:
            steps.extend(
                state.step for state in self._leader.states_by_rank.values()
            )
        return max(steps)

    async def observe_remote_rank(self, host):
        """Observe the engine of a rank whose agent doesn't respond.

        The leader in this process gets the state as a report.
        """
        state = await self._engine.observe(host=host)
        if state is not None and self._leader is not None:
            report = models.RankReport(
                host=host, state=state, term=models.Term(number=0, rank=-1)
            )
            self._apply_to_leader(events.RankReported(report=report))

    def receive(self, message):
        """Process a message from another agent."""
        match message:
            case models.Directive():
                self._receive_directive(message)
            case models.RankReport():
                if self._leader is not None:
                    self._apply_to_leader(events.RankReported(report=message))
                    self._cycle_due.set()
            case group.ChoicesReport():
                self._choices.receive_choices(message.choices)
            case group.MapContent() | group.MapChangeContent():
                self._receive_map(message)
            case group.MapRequest():
                self._delivery.answer_request(message)
            case group.HeldReport():
                self._choices.receive_rank_map(message)
            case group.MembersReport():
                self._receive_members(message)

    def _receive_directive(self, directive):
        state = self._agent.state
        if state is None or directive.group != state.group:
            return
        if directive.term < self._agent.term:
            return
        self._last_directive_s = self._clock()
        if self._leader is not None and directive.term > self._leader.term:
            self._step_down(directive.term)
        previous_phase = self._phase()
        if directive.phase is _Phase.PREPARE:
            directive = self._attach_stored_map(directive, state)
        # The next observation leads to the orders for this directive.
        self._agent.accept_directive(directive)
        if (
            directive.phase is not previous_phase
            or directive.phase is not _Phase.IDLE
        ):
            self._cycle_due.set()

    def _attach_stored_map(self, directive, state):
        """Return a directive with its map, if that is stored here.

        Otherwise request the map if it is overdue.
        """
        expert_map = self._balancer.contents.find_map(directive.version)
        if expert_map is None:
            self._delivery.request_overdue_map(directive, state)
        return dataclasses.replace(directive, expert_map=expert_map)

    def _receive_map(self, message):
        expert_map = self._delivery.receive(message, self._agent.state)
        if expert_map is not None:
            self._agent.attach_map(expert_map)
            self._cycle_due.set()

    def _step_down(self, term):
        logs.write_event(
            'leader_replaced', own=self._leader.term.number, by=term.number
        )
        self._leader = None

    async def _refresh_members(self):
        while True:
            state = self._agent.state
            if state is not None and self._needs_refresh(state):
                await self._membership.request(state.group)
                self._apply_members()
            has_members = self._membership.members is not None
            await anyio.sleep(
                conf.MEMBERS_INTERVAL_S
                if has_members
                else conf.REPEAT_INTERVAL_S
            )

    def _receive_members(self, report):
        state = self._agent.state
        if state is not None and report.group == state.group:
            self._membership.receive(report)
            self._apply_members()

    def _apply_members(self):
        members = self._membership.members
        if members is not None:
            self._balancer.set_shape(members.shape)

    def _needs_refresh(self, state):
        """Return whether members are missing, or send no reports."""
        if not self._membership.is_complete(state.ranks):
            return True
        return self._leader is not None and not self._leader.is_complete(
            now_s=self._clock()
        )

    async def _log_load(self):
        """Log what the own engine runs and queues while it has requests."""
        while True:
            await anyio.sleep(conf.LOAD_LOG_INTERVAL_S)
            state = self._agent.state
            if state is not None and (state.running or state.queued):
                logs.write_event(
                    'engine_load',
                    rank=state.rank,
                    epoch=state.epoch,
                    step=state.step,
                    running=state.running,
                    queued=state.queued,
                    pace=state.pace,
                )

    async def _plan(self):
        while True:
            await anyio.sleep(conf.PLAN_INTERVAL_S)
            planning_leader = self._leader
            if planning_leader is None:
                continue
            if planning_leader.phase is _Phase.PREPARE:
                if self._balancer.has_demand_shifted():
                    self._apply_to_leader(events.DemandShifted())
                    self._cycle_due.set()
                continue
            if planning_leader.phase is not _Phase.IDLE:
                continue
            if self._stopping.is_set():
                continue
            if not planning_leader.is_complete(now_s=self._clock()):
                continue
            state = self._agent.state
            states_by_rank = planning_leader.states_by_rank
            plan = await self._balancer.plan(
                version=state.active,
                slowdowns=[
                    states_by_rank[rank].pace for rank in range(state.ranks)
                ],
            )
            if plan is None or self._leader is not planning_leader:
                continue
            self._apply_to_leader(events.MapProposed(experts=plan.experts))
            self._cycle_due.set()


def _select_change_fields(report):
    """Return the fields whose changes are reported to the leader at once.

    Other fields, such as the step, change with each pass.
    """
    state = report.state
    return (
        report.term,
        report.may_be_armed,
        state.epoch,
        state.is_open,
        state.active,
        state.prepared,
        state.armed,
        state.held,
    )


@functools.singledispatch
async def _execute_decision(decision, daemon):
    raise TypeError(f'unknown decision {type(decision).__name__}')


@_execute_decision.register
async def _(decision: decisions.Publish, daemon):
    if decision.directive.expert_map is not None:
        daemon.store_map(decision.directive.expert_map)
    await daemon.publish(decision.directive)


@_execute_decision.register
async def _(decision: decisions.OrderRemotely, daemon):
    await daemon.send_remote_order(decision.host, decision.order)


@_execute_decision.register
async def _(decision: decisions.ObserveRemotely, daemon):
    await daemon.observe_remote_rank(decision.host)


@_execute_decision.register
async def _(decision: decisions.ChangeEnded, daemon):
    logs.write_event(
        'map_change_ended',
        version=decision.version,
        reason=decision.reason,
        took_s=decision.duration_s,
    )
