"""Assemble the agent of one rank."""

import dataclasses
import functools
import gc
import random
import signal
import time

import anyio

from savoryyoke.groups.balancing import demand
from savoryyoke.groups.rollout import agent
from savoryyoke.groups.rollout import blocks
from savoryyoke.groups.rollout import conf as rollout_conf
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import leader
from savoryyoke.groups.rollout import models

from savoryyoke_agent import balancer
from savoryyoke_agent import conf
from savoryyoke_agent import delivery
from savoryyoke_agent import exchange
from savoryyoke_agent import membership

from savoryyoke_edge import logs
from savoryyoke_edge import supervision
from savoryyoke_wire import group

_Phase = models.Phase


class RankDaemon:
    """Own the agent of one rank and, at times, the leader of its group."""

    def __init__(
        self,
        *,
        settings,
        engine,
        members,
        read_all,
        clock=time.monotonic,
        random_source=None,
    ):
        self._settings = settings
        self._engine = engine
        self._clock = clock
        self._random = random_source or random.SystemRandom()
        self._agent = agent.RankAgent()
        self._leader = None
        self._directed_s = clock()
        self._reported_s = clock()
        self._reported = None
        self._published_s = clock()
        self._wake = anyio.Event()
        self._balancer = balancer.Balancer(clock=clock)
        self._choices = demand.ChoiceCounter()
        self._membership = membership.GroupMembership(
            settings=settings, members=members, read_all=read_all
        )
        self._exchange = exchange.Exchange(
            host=settings.own_host,
            port=settings.peer_port,
            link_bytes_per_s=settings.link_bytes_per_s,
            receive=self.receive,
            clock=clock,
        )
        self._delivery = delivery.MapDelivery(
            own_host=settings.own_host,
            exchange=self._exchange,
            membership=self._membership,
            contents=self._balancer.contents,
            clock=clock,
        )
        self._outbox = []
        self._stopped = anyio.Event()

    async def run(self):
        """Run until stopped by a signal."""
        logs.write_event(
            'started',
            vm=self._settings.vm_id,
            data_centre=self._settings.data_centre,
            seeds=','.join(self._settings.seed_hosts),
        )
        gc.collect()
        gc.freeze()
        async with anyio.create_task_group() as tasks:
            for task in (
                self._exchange.run,
                self._work,
                self._delivery.run,
                self._send_choices,
                self._learn_members,
                self._plan,
                self._report_pace,
                self._watch_signals,
            ):
                tasks.start_soon(supervision.keep_running, task)
            await self._stopped.wait()
            await self._end_change()
            tasks.cancel_scope.cancel()
        logs.write_event('stopped', vm=self._settings.vm_id)

    def stop(self):
        """Begin a planned stop."""
        self._stopped.set()

    async def _end_change(self):
        """Return when this process leads no change that holds its group."""
        with anyio.move_on_after(conf.STOP_CHANGE_S):
            while self._leader is not None and (
                self._leader.phase not in (_Phase.IDLE, _Phase.LEARN)
            ):
                await anyio.sleep(conf.OBSERVE_CHANGING_S)

    async def _watch_signals(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                logs.write_event('signal_received', signal=received.name)
                if received is not signal.SIGHUP:
                    self.stop()

    async def _work(self):
        """Observe, order, report and lead, again and again."""
        while True:
            state = await self._engine.observe()
            if state is not None:
                await self._carry_out(
                    self._agent.apply(events.EngineObserved(state=state))
                )
                self._balancer.note_step(state.step)
                await self._report()
                await self._lead()
            await self._pause()

    async def _carry_out(self, order):
        """Give an order to the own engine and look at what came of it."""
        if order is None:
            return
        result = await self._engine.give(order)
        self._agent.apply(events.OrderEnded(result=result))
        logs.write_event(
            'order_given',
            order=type(order).__name__.lower(),
            result=result.value,
            epoch=order.epoch,
            step=getattr(order, 'step', ''),
        )
        if result is events.OrderResult.DONE:
            # The next observation comes at once.
            self._wake.set()

    async def _pause(self):
        with anyio.move_on_after(self._find_pause_s()):
            await self._wake.wait()
        self._wake = anyio.Event()

    def _find_pause_s(self):
        if self._phase() not in (_Phase.IDLE, _Phase.LEARN):
            return conf.OBSERVE_CHANGING_S
        if self._leader is None and self._is_group_large():
            return conf.OBSERVE_IDLE_LARGE_S
        return conf.OBSERVE_IDLE_S

    def _is_group_large(self):
        state = self._agent.state
        return (
            state is not None
            and state.ranks > rollout_conf.SMALL_GROUP_MAX_RANKS
        )

    def _phase(self):
        directive = self._agent.directive
        return directive.phase if directive else _Phase.LEARN

    async def _report(self):
        """Tell the leader the state of this rank."""
        directive = self._agent.directive
        if directive is None:
            return
        report = self._build_report()
        if self._leader is not None:
            self._apply_to_leader(events.RankReported(report=report))
            return
        reported = _find_essence(report)
        due_s = self._reported_s + self._find_repeat_s(directive.phase)
        if reported == self._reported and self._clock() < due_s:
            return
        self._reported, self._reported_s = reported, self._clock()
        await self._exchange.send(report, [directive.leader_host])

    def _build_report(self):
        return models.RankReport(
            host=self._settings.own_host,
            state=self._agent.state,
            term=self._agent.term,
        )

    async def _lead(self):
        if self._leader is None:
            self._stand_if_due()
        if self._leader is not None:
            repeat_s = self._find_repeat_s(self._leader.phase)
            if self._clock() - self._published_s >= repeat_s:
                self._published_s = self._clock()
                self._apply_to_leader(events.TimePassed())
        outbox, self._outbox = self._outbox, []
        for decision in outbox:
            await self._act(decision)

    def _find_repeat_s(self, phase):
        """Return how often directives and reports repeat in a phase."""
        if phase in (_Phase.IDLE, _Phase.LEARN):
            return conf.REPEAT_S
        return max(
            conf.OBSERVE_CHANGING_S,
            conf.CHANGING_REPEAT_PER_RANK_S * self._agent.state.ranks,
        )

    def _stand_if_due(self):
        """Become leader when none is heard."""
        state = self._agent.state
        wait_s = (
            rollout_conf.ELECTION_TIMEOUT_S
            + state.rank * rollout_conf.ELECTION_STAGGER_PER_RANK_S
        )
        if self._clock() - self._directed_s < wait_s:
            return
        if not self._membership.hosts():
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
        before = self._leader.phase
        self._outbox.extend(self._leader.apply(event, now_s=self._clock()))
        if self._leader.phase is not before:
            logs.write_event(
                'change_advanced',
                term=self._leader.term.number,
                before=before.value,
                phase=self._leader.phase.value,
                step=self._agent.state.step,
            )

    async def _act(self, decision):
        await _act_on(decision, self)

    async def publish(self, directive):
        """Send a directive to all ranks, this one first."""
        if self._leader is None or directive.term != self._leader.term:
            # Decided before this process was replaced as the leader.
            return
        if directive.term < self._agent.term:
            self._step_down(self._agent.term)
            return
        self._directed_s = self._clock()
        if directive.expert_map is not None:
            self._delivery.announce(directive, self._agent.state)
        await self._exchange.send(directive, self._membership.hosts())
        order = self._agent.apply(
            events.DirectiveReceived(directive=directive)
        )
        await self._carry_out(order)

    def remember(self, expert_map):
        """Keep a map whose version may come into use."""
        self._balancer.contents.add_map(expert_map)

    async def order_remotely(self, host, order):
        """Order for a rank whose agent is silent, and look at the result."""
        result = await self._engine.give(order, host=host)
        logs.write_event(
            'remote_order_given',
            host=host,
            order=type(order).__name__.lower(),
            result=result.value,
        )
        await self.observe_remotely(host)

    async def observe_remotely(self, host):
        """Read the state of a rank whose agent is silent."""
        state = await self._engine.observe(host=host)
        if state is not None and self._leader is not None:
            report = models.RankReport(
                host=host, state=state, term=models.Term(number=0, rank=-1)
            )
            self._apply_to_leader(events.RankReported(report=report))

    def receive(self, message):
        """Take in a message of another agent."""
        match message:
            case models.Directive():
                self._take_directive(message)
            case models.RankReport():
                if self._leader is not None:
                    self._apply_to_leader(events.RankReported(report=message))
                    self._wake.set()
            case group.ChoicesReport():
                self._take_choices(message.choices)
            case group.MapContent():
                self._take_map(message)
            case group.MapRequest():
                self._delivery.answer(message)
            case group.HeldReport():
                self._note_held(message)

    def _take_directive(self, directive):
        state = self._agent.state
        if state is None or directive.group != state.group:
            return
        if directive.term < self._agent.term:
            return
        self._directed_s = self._clock()
        if self._leader is not None and directive.term > self._leader.term:
            self._step_down(directive.term)
        before = self._phase()
        if directive.phase is _Phase.PREPARE:
            directive = self._complete(directive, state)
        # Orders follow with the next observation, which comes at once.
        self._agent.accept_directive(directive)
        if directive.phase is not before or directive.phase is not _Phase.IDLE:
            self._wake.set()

    def _complete(self, directive, state):
        """Return a directive with its map, if that is here."""
        expert_map = self._balancer.contents.find_map(directive.version)
        if expert_map is None:
            self._delivery.note_missing(directive, state)
        return dataclasses.replace(directive, expert_map=expert_map)

    def _take_map(self, message):
        state = self._agent.state
        if state is None or message.group != state.group:
            return
        expert_map = message.expert_map
        if self._balancer.contents.find_map(expert_map.version) is not None:
            return
        self.remember(expert_map)
        self._delivery.pass_on(message, state)
        self._agent.attach_map(expert_map)
        self._wake.set()

    def _take_choices(self, choices):
        if self._leader is not None:
            self._balancer.note_choices(choices)
        else:
            self._choices.add(choices)

    def _step_down(self, term):
        logs.write_event(
            'leader_replaced', own=self._leader.term.number, by=term.number
        )
        self._leader = None

    async def _send_choices(self):
        while True:
            await anyio.sleep(self._find_choices_pause_s())
            state, directive = self._agent.state, self._agent.directive
            if state is None or directive is None:
                continue
            if directive.wants_experts:
                await self._send_held(state, directive)
            counts = await self._engine.read_counts()
            if counts is not None:
                self._choices.add_engine_counts(counts)
            choices = self._choices.pop_choices()
            if choices is None:
                continue
            if self._leader is not None:
                self._balancer.note_choices(choices)
                continue
            report = group.ChoicesReport(
                group=state.group, rank=state.rank, choices=tuple(choices)
            )
            await self._exchange.send(
                report, [self._find_collector(state, directive)]
            )

    def _find_choices_pause_s(self):
        if self._is_group_large():
            return conf.BLOCK_COUNTS_S
        return conf.COUNTS_S

    def _find_collector(self, state, directive):
        """Return the host that adds up the choices of the own block."""
        head = blocks.find_head(state.rank, state.ranks)
        known = self._membership.known
        if head == state.rank or known is None:
            return directive.leader_host
        return known.hosts_by_rank.get(head, directive.leader_host)

    async def _send_held(self, state, directive):
        """Tell the leader the experts that this rank holds."""
        held = await self._engine.read_experts()
        if held is None:
            return
        report = group.HeldReport(
            group=state.group, rank=state.rank, held=held
        )
        if self._leader is not None:
            self._note_held(report)
        else:
            await self._exchange.send(report, [directive.leader_host])

    def _note_held(self, report):
        state, contents = self._agent.state, self._balancer.contents
        version = report.held.version
        if state is None or contents.has_map(version):
            return
        contents.add_rank_map(report.rank, report.held, ranks=state.ranks)
        if contents.has_map(version):
            logs.write_event('map_collected', version=version)

    async def _report_pace(self):
        """Tell entries of a slow rank while it is slow."""
        was_slow = False
        while True:
            await anyio.sleep(conf.PACE_REPORT_S)
            state = self._agent.state
            is_slow = state is not None and state.pace >= conf.SLOW_PACE
            if is_slow != was_slow:
                was_slow = is_slow
                logs.write_event('pace_changed', pace=state.pace)
            if not is_slow:
                continue
            report = group.PaceReport(
                address=self._settings.own_address, pace=state.pace
            )
            await self._exchange.send(
                report,
                self._settings.seed_hosts,
                port=self._settings.pace_port,
            )

    async def _learn_members(self):
        while True:
            state = self._agent.state
            if state is not None and self._lacks_members(state):
                await self._membership.refresh(state.group)
                known = self._membership.known
                if known is not None:
                    self._balancer.set_shape(known.shape)
            is_known = self._membership.known is not None
            await anyio.sleep(conf.MEMBERS_S if is_known else conf.REPEAT_S)

    def _lacks_members(self, state):
        known = self._membership.known
        if known is None or len(known.hosts_by_rank) < state.ranks:
            return True
        return self._leader is not None and not self._leader.is_complete(
            now_s=self._clock()
        )

    async def _plan(self):
        while True:
            await anyio.sleep(conf.PLAN_S)
            current = self._leader
            if current is None or current.phase is not _Phase.IDLE:
                continue
            if self._stopped.is_set():
                continue
            if not current.is_complete(now_s=self._clock()):
                continue
            state = self._agent.state
            states_by_rank = current.states_by_rank
            plan = await self._balancer.plan(
                version=state.active,
                paces=[
                    states_by_rank[rank].pace for rank in range(state.ranks)
                ],
            )
            if plan is None or self._leader is not current:
                continue
            self._apply_to_leader(events.MapProposed(experts=plan.experts))
            self._wake.set()


def _find_essence(report):
    """Return what a leader waits for in a report."""
    state = report.state
    return (
        report.term,
        state.epoch,
        state.is_open,
        state.active,
        state.prepared,
        state.armed,
        state.held,
    )


@functools.singledispatch
async def _act_on(decision, daemon):
    raise TypeError(f'unknown decision {type(decision).__name__}')


@_act_on.register
async def _(decision: decisions.Publish, daemon):
    if decision.directive.expert_map is not None:
        daemon.remember(decision.directive.expert_map)
    await daemon.publish(decision.directive)


@_act_on.register
async def _(decision: decisions.OrderRemotely, daemon):
    await daemon.order_remotely(decision.host, decision.order)


@_act_on.register
async def _(decision: decisions.ObserveRemotely, daemon):
    await daemon.observe_remotely(decision.host)


@_act_on.register
async def _(decision: decisions.ChangeEnded, daemon):
    logs.write_event(
        'map_change_ended',
        version=decision.version,
        reason=decision.reason,
        took_s=decision.duration_s,
    )
