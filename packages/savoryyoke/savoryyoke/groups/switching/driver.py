"""Coordinate map changes from the process beside a group's rank 0."""

import dataclasses
import enum
import functools

from savoryyoke.groups import exceptions
from savoryyoke.groups.switching import conf
from savoryyoke.groups.switching import decisions
from savoryyoke.groups.switching import events
from savoryyoke.groups.switching import identities


class DriverPhase(enum.Enum):
    """List the phases of the driver.

    STOPPED while the group does not run, LEARNING while the driver reads the
    state of all ranks.
    """

    STOPPED = 'stopped'
    LEARNING = 'learning'
    IDLE = 'idle'
    CHANGING = 'changing'


@dataclasses.dataclass(frozen=True, kw_only=True)
class DriverState:
    """Hold the driver's state.

    ``answers`` holds each rank's newest answer or None, by rank.
    ``driver_order`` goes into the driver's tokens, see ``ChangeToken``, and
    ``epoch`` counts its changes. ``queued_digest`` is the digest of the map
    to change to once the driver is idle. ``requested_ranks`` are the ranks
    that were asked to prepare since requests were last repeated.
    """

    nonce: int
    phase: DriverPhase = DriverPhase.STOPPED
    generation: identities.Generation | None = None
    answers: tuple = ()
    driver_order: int = 0
    epoch: int = 0
    change: identities.MapIdentity | None = None
    requested_ranks: frozenset = frozenset()
    queued_digest: int | None = None
    deadline_s: float = 0.0
    resend_at_s: float = 0.0


class GroupDriver:
    """Ask the ranks of one group to prepare a map, and report the result.

    Safety does not depend on the driver, as the collective of the ranks
    decides on the switch. Several drivers at a time can only delay each
    other's changes.
    """

    def __init__(
        self,
        *,
        nonce=None,
        max_concurrent_loads=conf.MAX_CONCURRENT_LOADS,
        resend_interval_s=conf.RESEND_INTERVAL_S,
        load_timeout_s=conf.LOAD_TIMEOUT_S,
        state=None,
    ):
        """Start in phase STOPPED; ``nonce`` is random for each process."""
        self._max_concurrent_loads = max_concurrent_loads
        self._resend_interval_s = resend_interval_s
        self._load_timeout_s = load_timeout_s
        self._state = state or DriverState(nonce=nonce)

    @property
    def state(self):
        """Return the DriverState."""
        return self._state

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Process ``event`` and return a tuple of decisions.

        Raise ``UnknownEvent`` for an event of another type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.GroupFormed, *, now_s):
        end_decisions = self._end_change(
            switched=False, reason='group formed anew'
        )
        self._update(
            generation=event.generation,
            answers=(None,) * event.ranks,
            epoch=0,
        )
        return end_decisions + self._start_learning(now_s)

    @apply.register
    def _(self, event: events.GroupStopped, *, now_s):
        end_decisions = self._end_change(
            switched=False, reason='group stopped'
        )
        self._update(
            phase=DriverPhase.STOPPED, generation=None, queued_digest=None
        )
        return end_decisions

    @apply.register
    def _(self, event: events.MapProposed, *, now_s):
        end_decisions = self._end_change(
            switched=False, reason='replaced by a newer map'
        )
        self._update(queued_digest=event.digest)
        return end_decisions + self._start_queued(now_s)

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
            return self._evaluate_answer(event, now_s)
        return ()

    @apply.register
    def _(self, event: events.TimePassed, *, now_s):
        state = self._state
        if state.phase is DriverPhase.CHANGING and now_s > state.deadline_s:
            return self._abandon_change('timed out')
        if now_s < state.resend_at_s:
            return ()
        self._update(resend_at_s=now_s + self._resend_interval_s)
        if state.phase is DriverPhase.LEARNING:
            return self._query_missing_ranks()
        if state.phase is DriverPhase.CHANGING:
            self._update(requested_ranks=frozenset())
            return self._prepare()
        return ()

    def _start_learning(self, now_s):
        self._update(
            phase=DriverPhase.LEARNING,
            answers=(None,) * len(self._state.answers),
            resend_at_s=now_s + self._resend_interval_s,
        )
        return self._query_missing_ranks()

    def _query_missing_ranks(self):
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
        driver_orders = [
            answer.newest_token.driver_order
            for answer in self._state.answers
            if answer.newest_token is not None
        ]
        self._update(
            phase=DriverPhase.IDLE,
            driver_order=1 + max(driver_orders, default=0),
            epoch=0,
        )
        return self._start_queued(now_s)

    def _start_queued(self, now_s):
        state = self._state
        if state.phase is not DriverPhase.IDLE or state.queued_digest is None:
            return ()
        token = identities.ChangeToken(
            generation=state.generation,
            driver_order=state.driver_order,
            driver_nonce=state.nonce,
            epoch=state.epoch + 1,
        )
        change = identities.MapIdentity(
            digest=state.queued_digest, token=token
        )
        self._update(
            phase=DriverPhase.CHANGING,
            change=change,
            requested_ranks=frozenset(),
            queued_digest=None,
            epoch=token.epoch,
            deadline_s=now_s + self._load_timeout_s,
            resend_at_s=now_s + self._resend_interval_s,
        )
        return self._prepare()

    def _prepare(self):
        """Request the map of the next ranks that do not offer it yet.

        Their number is limited, as all of them load from one rate-limited
        store. Each rank gets one request per resend interval.
        """
        unprepared_ranks = [
            rank
            for rank, answer in enumerate(self._state.answers)
            if answer is None or answer.offered_map != self._state.change
        ]
        allowed_ranks = unprepared_ranks[: self._max_concurrent_loads]
        new_ranks = [
            rank
            for rank in allowed_ranks
            if rank not in self._state.requested_ranks
        ]
        self._update(
            requested_ranks=self._state.requested_ranks.union(new_ranks)
        )
        return tuple(
            decisions.PrepareRank(rank=rank, identity=self._state.change)
            for rank in new_ranks
        )

    def _evaluate_answer(self, answer, now_s):
        change = self._state.change
        if answer.active == change:
            return self._end_change(switched=True, reason='switched')
        if answer.failed_map == change:
            return self._abandon_change(f'rank {answer.rank} could not load')
        if self._is_superseded(answer):
            end_decisions = self._end_change(
                switched=False, reason='superseded by another driver'
            )
            return end_decisions + self._start_learning(now_s)
        if answer.offered_map == change:
            return self._prepare()
        return ()

    def _is_superseded(self, answer):
        if answer.newest_token is None:
            return False
        return answer.newest_token.sort_key > self._state.change.token.sort_key

    def _abandon_change(self, reason):
        change = self._state.change
        abandons = tuple(
            decisions.AbandonRank(rank=rank, identity=change)
            for rank in range(len(self._state.answers))
        )
        return abandons + self._end_change(switched=False, reason=reason)

    def _end_change(self, *, switched, reason):
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
