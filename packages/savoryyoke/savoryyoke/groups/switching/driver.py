"""Drive map changes from the process beside a group's rank 0."""

import dataclasses
import enum
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import conf
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


class DriverPhase(enum.Enum):
    """Say what the driver is waiting for."""

    STOPPED = 'stopped'
    LEARNING = 'learning'
    IDLE = 'idle'
    CHANGING = 'changing'


@dataclasses.dataclass(frozen=True, kw_only=True)
class DriverState:
    """Hold all that the driver knows.

    ``answers`` holds each rank's newest answer or None, by rank. ``queued``
    is the digest of a map that waits until the driver has learnt its order,
    ``asked`` the ranks that were asked to prepare since the last repeat.
    """

    nonce: int
    phase: DriverPhase = DriverPhase.STOPPED
    generation: identities.Generation | None = None
    answers: tuple = ()
    order: int = 0
    epoch: int = 0
    change: identities.MapIdentity | None = None
    asked: frozenset = frozenset()
    queued: int | None = None
    deadline_s: float = 0.0
    resend_at_s: float = 0.0


class GroupDriver:
    """Ask the ranks of one group to prepare a map, and report the end.

    Safety does not rest on the driver: the ranks' collective decides the
    switch. Several drivers at once delay each other's changes at worst.
    """

    def __init__(
        self,
        *,
        nonce=None,
        concurrent_loads=conf.CONCURRENT_LOADS,
        resend_after_s=conf.RESEND_AFTER_S,
        load_timeout_s=conf.LOAD_TIMEOUT_S,
        state=None,
    ):
        """Start stopped; ``nonce`` is random for each process."""
        self._concurrent_loads = concurrent_loads
        self._resend_after_s = resend_after_s
        self._load_timeout_s = load_timeout_s
        self._state = state or DriverState(nonce=nonce)

    @property
    def state(self):
        """Return the DriverState."""
        return self._state

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in ``event`` and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.GroupFormed, *, now_s):
        ended = self._end(switched=False, reason='group formed anew')
        self._update(
            generation=event.generation,
            answers=(None,) * event.ranks,
            epoch=0,
        )
        return ended + self._learn(now_s)

    @apply.register
    def _(self, event: events.GroupStopped, *, now_s):
        ended = self._end(switched=False, reason='group stopped')
        self._update(phase=DriverPhase.STOPPED, generation=None, queued=None)
        return ended

    @apply.register
    def _(self, event: events.MapProposed, *, now_s):
        ended = self._end(switched=False, reason='overtaken')
        self._update(queued=event.digest)
        return ended + self._start_queued(now_s)

    @apply.register
    def _(self, event: events.AgentAnswered, *, now_s):
        state = self._state
        if state.phase is DriverPhase.STOPPED:
            return ()
        if event.generation != state.generation:
            return ()
        if event.driver_nonce != state.nonce:
            return ()
        answers = list(state.answers)
        answers[event.rank] = event
        self._update(answers=tuple(answers))
        if state.phase is DriverPhase.LEARNING:
            return self._finish_learning(now_s)
        if state.phase is DriverPhase.CHANGING:
            return self._judge(event, now_s)
        return ()

    @apply.register
    def _(self, event: events.TimePassed, *, now_s):
        state = self._state
        if state.phase is DriverPhase.CHANGING and now_s > state.deadline_s:
            return self._abandon('timed out')
        if now_s < state.resend_at_s:
            return ()
        self._update(resend_at_s=now_s + self._resend_after_s)
        if state.phase is DriverPhase.LEARNING:
            return self._query()
        if state.phase is DriverPhase.CHANGING:
            self._update(asked=frozenset())
            return self._prepare()
        return ()

    def _learn(self, now_s):
        self._update(
            phase=DriverPhase.LEARNING,
            answers=(None,) * len(self._state.answers),
            resend_at_s=now_s + self._resend_after_s,
        )
        return self._query()

    def _query(self):
        return tuple(
            decisions.QueryRank(
                rank=rank,
                generation=self._state.generation,
                driver_nonce=self._state.nonce,
            )
            for rank, answer in enumerate(self._state.answers)
            if answer is None
        )

    def _finish_learning(self, now_s):
        if None in self._state.answers:
            return ()
        orders = [
            answer.highest.driver_order
            for answer in self._state.answers
            if answer.highest is not None
        ]
        self._update(
            phase=DriverPhase.IDLE, order=1 + max(orders, default=0), epoch=0
        )
        return self._start_queued(now_s)

    def _start_queued(self, now_s):
        state = self._state
        if state.phase is not DriverPhase.IDLE or state.queued is None:
            return ()
        token = identities.ChangeToken(
            generation=state.generation,
            driver_order=state.order,
            driver_nonce=state.nonce,
            epoch=state.epoch + 1,
        )
        change = identities.MapIdentity(digest=state.queued, token=token)
        self._update(
            phase=DriverPhase.CHANGING,
            change=change,
            asked=frozenset(),
            queued=None,
            epoch=token.epoch,
            deadline_s=now_s + self._load_timeout_s,
            resend_at_s=now_s + self._resend_after_s,
        )
        return self._prepare()

    def _prepare(self):
        """Ask the next ranks that do not offer the map yet.

        Their number is bounded, since all of them load from one rate-limited
        store. Ranks are asked once between two repeats.
        """
        waiting = [
            rank
            for rank, answer in enumerate(self._state.answers)
            if answer is None or answer.offering != self._state.change
        ]
        admitted = waiting[: self._concurrent_loads]
        due = [rank for rank in admitted if rank not in self._state.asked]
        self._update(asked=self._state.asked.union(due))
        return tuple(
            decisions.PrepareRank(rank=rank, identity=self._state.change)
            for rank in due
        )

    def _judge(self, answer, now_s):
        change = self._state.change
        if answer.active == change:
            return self._end(switched=True, reason='switched')
        if answer.failed == change:
            return self._abandon(f'rank {answer.rank} could not load')
        if self._is_outranked(answer):
            ended = self._end(switched=False, reason='outranked')
            return ended + self._learn(now_s)
        if answer.offering == change:
            return self._prepare()
        return ()

    def _is_outranked(self, answer):
        if answer.highest is None:
            return False
        return answer.highest.position > self._state.change.token.position

    def _abandon(self, reason):
        change = self._state.change
        abandons = tuple(
            decisions.AbandonRank(rank=rank, identity=change)
            for rank in range(len(self._state.answers))
        )
        return abandons + self._end(switched=False, reason=reason)

    def _end(self, *, switched, reason):
        change = self._state.change
        if change is None:
            return ()
        self._update(phase=DriverPhase.IDLE, change=None)
        return (
            decisions.ChangeEnded(
                identity=change, switched=switched, reason=reason
            ),
        )

    def _update(self, **changes):
        self._state = dataclasses.replace(self._state, **changes)
