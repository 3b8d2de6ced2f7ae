"""Data that the agents and leaders of a group exchange."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """Hold the state of one rank's engine.

    ``epoch`` counts the formations of the group and ``ranks`` is the number
    of its ranks. ``step`` is the number of the last pass that began.
    ``active``, ``prepared`` and ``armed`` are versions of maps; ``held`` is
    the pass before which the engine holds the group. ``pace`` is the ratio of
    the engine's time for a pass to its usual time. ``running`` and ``queued``
    are the numbers of requests in its slots and in its queue; they are not
    sent to other agents.
    """

    group: str
    epoch: int
    rank: int
    ranks: int
    is_open: bool
    step: int
    active: int
    prepared: int | None
    armed: int | None
    held: int | None
    pace: float = 1.0
    running: int = 0
    queued: int = 0

    @property
    def newest_version(self):
        """Return the newest of the map versions in this state."""
        return max(self.active, self.prepared or 0, self.armed or 0)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Term:
    """Identify the term of a leader.

    A term with a higher number, or else a higher rank, replaces a lower one.
    """

    number: int
    rank: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankReport:
    """Report an engine's state and the newest directive its agent accepted.

    The directive is identified by its ``term`` and ``sequence``.
    ``may_be_armed`` is false if the agent has given no order that may still
    arm its engine.
    """

    host: str
    state: EngineState
    term: Term
    sequence: int = 0
    may_be_armed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupShape:
    """Hold the number of a group's experts and of the slots for them.

    The group has ``sets`` sets of ``experts`` experts each. A rank can hold
    ``slots`` experts of a set, and copy ``max_copies_per_rank`` of them in a
    map change. It takes ``copy_s`` seconds to copy one.
    """

    sets: int
    experts: int
    slots: int
    max_copies_per_rank: int
    copy_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupMembers:
    """Hold the shape of a group and the hosts of its ranks, by rank."""

    shape: GroupShape
    hosts_by_rank: dict[int, str]


class Phase(enum.Enum):
    """List the phases of a map change."""

    LEARN = 'learn'
    IDLE = 'idle'
    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    RELEASE = 'release'


# Phases in which the group may be held.
HOLD_PHASES = frozenset({Phase.HOLD, Phase.ARM, Phase.RELEASE})


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpertMap:
    """Hold the expert numbers of all ranks by expert set, rank and slot."""

    version: int
    experts: tuple[tuple[tuple[int, ...], ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapChange:
    """Describe an expert map by its differences to an earlier one.

    For each set, ``experts_by_rank_by_set`` holds the experts of the ranks
    whose experts differ from those in the map of ``base_version``.
    """

    version: int
    base_version: int
    experts_by_rank_by_set: tuple[dict[int, tuple[int, ...]], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankMap:
    """Hold the expert numbers of one rank by expert set and slot."""

    version: int
    experts: tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Directive:
    """Tell every rank the phase of the map change and its parameters.

    ``expert_map`` is set in phase ``PREPARE`` only. From ``HOLD`` on,
    ``version`` is the map to switch to when pass ``step`` begins, and the
    engine of ``hold_rank`` holds the group before that pass; it is named from
    ``PREPARE`` on. ``version`` is 0 in ``RELEASE`` if the change is abandoned.
    ``wants_experts`` asks each rank to report the experts that it holds.
    ``sequence`` grows with each directive of a term.
    """

    group: str
    epoch: int
    term: Term
    sequence: int
    leader_host: str
    phase: Phase
    version: int = 0
    expert_map: ExpertMap | None = None
    step: int = 0
    hold_rank: int = 0
    wants_experts: bool = False
