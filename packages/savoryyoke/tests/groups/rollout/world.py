"""Simulate a group with its agents and leaders under random faults.

The engines carry out the platform's four orders. A pass begins on all ranks
at once; the simulation records each pass that began with different maps.
"""

import dataclasses
import random

from savoryyoke.groups.rollout import agent
from savoryyoke.groups.rollout import decisions
from savoryyoke.groups.rollout import elections
from savoryyoke.groups.rollout import events
from savoryyoke.groups.rollout import leader
from savoryyoke.groups.rollout import models

PASS_S = 0.05
TICK_S = 0.01
COPY_S = 0.3
ORDER_FREEZE_S = 4.0
HERD_RESTART_S = 2.0


class Engine:
    """Simulate the platform's rules for one rank's engine."""

    def __init__(self, *, rank, ranks):
        self.rank = rank
        self.ranks = ranks
        self.epoch = 1
        self.step = 0
        self.active = 0
        self.active_content = 'first'
        self.prepared = None
        self.prepared_content = None
        self.copying = None
        self.armed = None
        self.held = None
        self.newest_version = 0

    def observe(self):
        """Return the state that the engine reports."""
        return models.EngineState(
            group='g',
            epoch=self.epoch,
            rank=self.rank,
            ranks=self.ranks,
            is_open=True,
            step=self.step,
            active=self.active,
            prepared=self.prepared,
            armed=self.armed[0] if self.armed else None,
            held=self.held,
        )

    def execute(self, order, now_s):
        """Carry out an order; return whether it was accepted."""
        if order.epoch != self.epoch:
            return False
        return _EXECUTE_BY_CLASS[type(order)](self, order, now_s)

    def advance(self, now_s):
        """Complete a copy whose duration has passed."""
        if self.copying is not None and now_s >= self.copying[0]:
            _, self.prepared, self.prepared_content = self.copying
            self.copying = None

    def begin_pass(self, step):
        """Begin a pass and switch maps if the engine is armed for it."""
        self.step = step
        if self.armed is not None and self.armed[1] == step:
            self.active = self.armed[0]
            self.active_content = self.prepared_content
            self.armed = None

    def _prepare(self, order, now_s):
        version = order.expert_map.version
        if version <= self.newest_version or self.armed is not None:
            return False
        self.newest_version = version
        self.prepared = None
        self.copying = (now_s + COPY_S, version, order.expert_map.experts)
        return True

    def _arm(self, order, now_s):
        if self.armed == (order.version, order.step):
            return True
        if self.prepared != order.version or self.step >= order.step:
            return False
        self.armed = (order.version, order.step)
        return True

    def _hold(self, order, now_s):
        if self.held not in (None, order.step) or self.step >= order.step:
            return False
        self.held = order.step
        return True

    def _go(self, order, now_s):
        if self.held == order.step:
            self.held = None
        return True


_EXECUTE_BY_CLASS = {
    decisions.Prepare: Engine._prepare,
    decisions.Arm: Engine._arm,
    decisions.Hold: Engine._hold,
    decisions.Go: Engine._go,
}


@dataclasses.dataclass(kw_only=True)
class Process:
    """Hold the agent of one rank and its leader, if it has one."""

    agent: object
    leader: object = None
    directive_received_s: float = 0.0
    published_s: float = 0.0
    frozen_until_s: float = 0.0
    inbox: list = dataclasses.field(default_factory=list)
    delayed_decisions: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Set the shares and rates of faults.

    ``datagram_loss_share`` is the share of lost datagrams,
    ``late_order_share`` the share of orders that are carried out late and
    without an answer, and ``idle_pass_share`` the share of pass times at which
    no pass begins. The rates of freezes and restarts are totals over all
    processes. ``hold_freeze_share`` and ``arm_freeze_share`` are the shares of
    orders to hold the group and to arm an engine after which the VM that gave
    the order freezes at once. ``arm_herd_kill_share`` is the share of orders
    to arm an engine after which all processes are killed. With
    ``freezes_cut_engines``, the engine of a frozen VM can't be called by other
    VMs.
    """

    datagram_loss_share: float = 0.0
    late_order_share: float = 0.0
    freezes_per_s: float = 0.0
    leader_freezes_per_s: float = 0.0
    restarts_per_s: float = 0.0
    idle_pass_share: float = 0.0
    hold_freeze_share: float = 0.0
    arm_freeze_share: float = 0.0
    arm_herd_kill_share: float = 0.0
    freezes_cut_engines: bool = False


class World:
    """Simulate the group, its processes, the network and the clock."""

    def __init__(
        self,
        *,
        ranks,
        faults,
        seed,
        agent_class=agent.RankAgent,
        leader_class=leader.GroupLeader,
        pass_s=PASS_S,
    ):
        self.random = random.Random(seed)
        self.faults = faults
        self.now_s = 0.0
        self._agent_class = agent_class
        self._leader_class = leader_class
        self.engines = [
            Engine(rank=rank, ranks=ranks) for rank in range(ranks)
        ]
        self.processes = [self._start_process() for _ in range(ranks)]
        self._late_orders = []
        self._is_herd_kill_due = False
        self._pass_s = pass_s
        self._next_pass_s = pass_s
        # Without requests there is no demand to plan maps for.
        self.proposes_maps = True
        self.mixed_passes = []
        self.switches = 0
        self.longest_held_s = 0.0
        self._held_since_s = None
        self._proposals = 0

    def run(self, duration_s):
        """Simulate ``duration_s`` seconds in ticks of ``TICK_S``."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._inject_faults()
            self._carry_out_late_orders()
            self._begin_pass()
            for rank in range(len(self.processes)):
                self._run_process(rank)
            if self._is_herd_kill_due:
                self._kill_all()

    def _kill_all(self):
        self._is_herd_kill_due = False
        for rank in range(len(self.processes)):
            self._restart(rank, HERD_RESTART_S)

    def _restart(self, rank, restart_s):
        self.processes[rank] = self._start_process()
        self.processes[rank].frozen_until_s = self.now_s + restart_s

    def _start_process(self):
        return Process(
            agent=self._agent_class(), directive_received_s=self.now_s
        )

    def _inject_faults(self):
        faults = self.faults
        if self.random.random() < faults.freezes_per_s * TICK_S:
            self._freeze(self.random.choice(self.processes))
        if self.random.random() < faults.leader_freezes_per_s * TICK_S:
            for process in self.processes:
                if process.leader is not None:
                    self._freeze(process)
        if self.random.random() < faults.restarts_per_s * TICK_S:
            rank = self.random.randrange(len(self.processes))
            self._restart(rank, 1.0)

    def _freeze(self, process, freeze_s=None):
        if freeze_s is None:
            freeze_s = self.random.choice((0.2, 1.0, 4.0))
        process.frozen_until_s = self.now_s + freeze_s

    def _carry_out_late_orders(self):
        due_orders = [
            late for late in self._late_orders if late[0] <= self.now_s
        ]
        self._late_orders = [
            late for late in self._late_orders if late not in due_orders
        ]
        for _, rank, order in due_orders:
            self.engines[rank].execute(order, self.now_s)

    def _begin_pass(self):
        for engine in self.engines:
            engine.advance(self.now_s)
        if self.now_s < self._next_pass_s:
            return
        step = self.engines[0].step + 1
        if any(engine.held == step for engine in self.engines):
            self._record_hold_duration()
            return
        self._held_since_s = None
        self._next_pass_s = self.now_s + self._pass_s
        if self.random.random() < self.faults.idle_pass_share:
            return
        previous_version = self.engines[0].active
        for engine in self.engines:
            engine.begin_pass(step)
        if (
            len(
                {
                    (engine.active, engine.active_content)
                    for engine in self.engines
                }
            )
            > 1
        ):
            self.mixed_passes.append(step)
        self.switches += previous_version != self.engines[0].active

    def _record_hold_duration(self):
        if self._held_since_s is None:
            self._held_since_s = self.now_s
        held_s = self.now_s - self._held_since_s
        self.longest_held_s = max(self.longest_held_s, held_s)

    def _run_process(self, rank):
        process = self.processes[rank]
        if self.now_s < process.frozen_until_s:
            return
        delayed, process.delayed_decisions = process.delayed_decisions, []
        for decision in delayed:
            self._carry_out(rank, decision)
        inbox, process.inbox = process.inbox, []
        for message in inbox:
            self._receive(rank, message)
        state = self.engines[rank].observe()
        self._process_order(
            rank, process.agent.apply(events.EngineObserved(state=state))
        )
        self._send_report(rank)
        self._run_leader(rank)

    def _receive(self, rank, message):
        process = self.processes[rank]
        if isinstance(message, models.RankReport):
            if process.leader is not None:
                self._apply_to_leader(
                    rank, events.RankReported(report=message)
                )
            return
        if message.term < process.agent.term:
            return
        process.directive_received_s = self.now_s
        if process.leader is not None and (message.term > process.leader.term):
            process.leader = None
        process.agent.accept_directive(message)

    def _process_order(self, rank, order):
        if order is None:
            return
        result = self._send_order(rank, rank, order)
        self.processes[rank].agent.apply(events.OrderEnded(result=result))

    def _send_order(self, sender_rank, rank, order):
        if not self._can_call(sender_rank, rank):
            return events.OrderResult.UNKNOWN
        freeze_share = {
            decisions.Hold: self.faults.hold_freeze_share,
            decisions.Arm: self.faults.arm_freeze_share,
        }.get(type(order), 0.0)
        if freeze_share and self.random.random() < freeze_share:
            self._freeze(self.processes[sender_rank], ORDER_FREEZE_S)
        kill_share = self.faults.arm_herd_kill_share
        if kill_share and isinstance(order, decisions.Arm):
            # Without this fault, the same seed plays the same run as before.
            self._is_herd_kill_due |= self.random.random() < kill_share
        if self.random.random() < self.faults.late_order_share:
            delay_s = self.random.uniform(2, 12)
            self._late_orders.append((self.now_s + delay_s, rank, order))
            return events.OrderResult.UNKNOWN
        if self.engines[rank].execute(order, self.now_s):
            return events.OrderResult.DONE
        return events.OrderResult.REFUSED

    def _send_report(self, rank):
        process = self.processes[rank]
        directive = process.agent.directive
        if directive is None:
            return
        report = models.RankReport(
            host=str(rank),
            state=process.agent.state,
            term=process.agent.term,
            sequence=process.agent.sequence,
            may_be_armed=process.agent.may_be_armed,
        )
        if process.leader is not None:
            self._apply_to_leader(rank, events.RankReported(report=report))
        else:
            self._send(int(directive.leader_host), report)

    def _run_leader(self, rank):
        process = self.processes[rank]
        if process.leader is None:
            directive = process.agent.directive
            wait_s = elections.choose_election_delay_s(
                rank=rank,
                phase=directive.phase if directive else models.Phase.LEARN,
                repeat_interval_s=3 * TICK_S,
            )
            if self.now_s - process.directive_received_s < wait_s:
                return
            process.leader = self._leader_class(
                group='g',
                term=models.Term(
                    number=process.agent.term.number + 1, rank=rank
                ),
                host=str(rank),
                generate_bits=self.random.getrandbits,
                has_map_content=lambda version: True,
                now_s=self.now_s,
                previous_directive=process.agent.directive,
            )
        if self.now_s - process.published_s >= 3 * TICK_S:
            process.published_s = self.now_s
            self._apply_to_leader(rank, events.TimePassed())
        if (
            process.leader is not None
            and process.leader.phase is models.Phase.IDLE
            and self.proposes_maps
        ):
            self._proposals += 1
            self._apply_to_leader(
                rank,
                events.MapProposed(experts=(((self._proposals,),),)),
            )

    def _apply_to_leader(self, rank, event):
        process = self.processes[rank]
        if process.leader is None:
            return
        for decision in process.leader.apply(event, now_s=self.now_s):
            self._carry_out(rank, decision)

    def _carry_out(self, rank, decision):
        """Carry out a decision, after the freeze if the process is frozen."""
        process = self.processes[rank]
        if self.now_s < process.frozen_until_s:
            process.delayed_decisions.append(decision)
            return
        match decision:
            case decisions.Publish(directive=directive):
                self._publish(rank, directive)
            case decisions.OrderRemotely(host=host, order=order):
                self._send_order(rank, int(host), order)
                self._carry_out(rank, decisions.ObserveRemotely(host=host))
            case decisions.ObserveRemotely(host=host):
                self._observe_remotely(rank, host)

    def _publish(self, rank, directive):
        process = self.processes[rank]
        if directive.term < process.agent.term:
            process.leader = None
            return
        process.directive_received_s = self.now_s
        for other_rank in range(len(self.processes)):
            if other_rank != rank:
                self._send(other_rank, directive)
        self._process_order(
            rank,
            process.agent.apply(events.DirectiveReceived(directive=directive)),
        )

    def _can_call(self, sender_rank, rank):
        """Return whether a VM can call the engine on another one."""
        if sender_rank == rank or not self.faults.freezes_cut_engines:
            return True
        return self.now_s >= self.processes[rank].frozen_until_s

    def _observe_remotely(self, rank, host):
        if not self._can_call(rank, int(host)):
            return
        report = models.RankReport(
            host=host,
            state=self.engines[int(host)].observe(),
            term=models.Term(number=0, rank=-1),
        )
        self._apply_to_leader(rank, events.RankReported(report=report))

    def _send(self, rank, message):
        if self.random.random() >= self.faults.datagram_loss_share:
            self.processes[rank].inbox.append(message)
