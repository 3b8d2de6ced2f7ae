"""What agents and leaders tell each other about a group."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """Hold the state of one rank's engine.

    ``epoch`` numbers the formations of the group. ``step`` is the last
    pass that was begun. ``active``, ``prepared`` and ``armed`` are versions
    of maps; ``held`` is the pass that the engine holds the group before.
    ``pace`` is the time that the engine takes over the usual one.
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

    @property
    def newest_version(self):
        """Return the newest version that the engine is known to have."""
        return max(self.active, self.prepared or 0, self.armed or 0)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Term:
    """Order leaders: the higher number wins, then the higher rank."""

    number: int
    rank: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankReport:
    """Report a rank's engine and the newest term that its agent follows."""

    host: str
    state: EngineState
    term: Term


class Phase(enum.Enum):
    """Name the stages of a map change."""

    LEARN = 'learn'
    IDLE = 'idle'
    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    RELEASE = 'release'


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpertMap:
    """Hold the experts by set, rank and place."""

    version: int
    experts: tuple[tuple[tuple[int, ...], ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankMap:
    """Hold the experts of one rank under a map, by set and place."""

    version: int
    experts: tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Directive:
    """Say what a leader wants of every rank.

    ``expert_map`` is set while it is prepared. From ``HOLD`` on, ``version``
    is the map to switch to as pass ``step`` begins, and ``hold_rank`` holds
    the group before that pass. ``wants_experts`` asks each rank for the
    experts that it holds.
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
