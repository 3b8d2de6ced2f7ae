"""What an experiment describes. Times are in seconds unless named."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engines:
    """Describe a group of engines that pass together.

    A pass of a rank takes ``stride`` steps of ``step_ms`` each. Each writer
    adds ``writer_ms`` a step and ``context_ms`` for 1,000 tokens of its
    context; prompts are read at ``read_per_ms`` tokens, ``chunk`` a step at
    most. The share ``expert_share`` of what writers and prompts add is done
    by experts, whose most loaded rank has ``peak`` times the mean; the first
    event of a stream is ``first_ms`` late.
    """

    ranks: int
    slots: int
    step_ms: float
    writer_ms: float
    context_ms: float
    read_per_ms: float
    chunk: int
    stride: int
    expert_share: float
    first_ms: float
    forming_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """Describe requests for streams.

    ``aim_s`` bounds the first event, ``pause_s`` the time between two;
    ``late_worth`` is the part of the worth that is left beyond them. Callers
    leave a try without an event after ``silence_s``.
    """

    per_s: float
    prompt_tokens: float
    events: float
    spread: float
    aim_s: float
    pause_s: float
    deadline_s: float
    silence_s: float
    late_worth: float
    retries: int
    callers_away_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Describe the entries.

    ``engine_requests`` bounds what they have at one engine, ``wait_share``
    is the part of the aim that a request may wait at an entry, and
    ``late_wait_s`` what one waits that can't be on time any more.
    """

    entries: int
    heartbeat_s: float
    between_s: float
    engine_requests: int
    wait_share: float
    late_wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Maps:
    """Describe how expert maps follow demand.

    After a shift the peak is ``uneven`` for ``reaction_s``, then ``even``.
    """

    even: float
    uneven: float
    reaction_s: float


class TroubleKind(enum.Enum):
    """Name what may happen."""

    SHIFT = 'shift'
    BURST = 'burst'
    OUTAGE = 'outage'
    KILL = 'kill'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """Say what happens when.

    SHIFT: demand for experts changes. BURST: ``x`` times the traffic.
    OUTAGE: the group is lost and forms anew after ``for_s``. KILL: all
    entries are gone for ``for_s`` and forget everything.
    """

    kind: TroubleKind
    at_s: float
    for_s: float = 0.0
    x: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Describe one run; ``quiet_s`` at the end lets requests finish."""

    name: str
    seconds: float
    engines: Engines
    traffic: Traffic
    fleet: Fleet
    maps: Maps
    troubles: tuple[Trouble, ...]


class Ending(enum.Enum):
    """Say how a request ended."""

    ON_TIME = 'on-time'
    LATE = 'late'
    REFUSED = 'refused'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Hold how one request ended and what part of its worth it earned."""

    asked_s: float
    ending: Ending
    credit: float
    first_event_s: float | None
