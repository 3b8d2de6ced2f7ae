"""Define the parts of an experiment and the outcomes of its requests.

The suffix of a field names its unit: ``_s`` for seconds, ``_ms`` for
milliseconds.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engines:
    """Describe a group of engines whose ranks run each pass in lockstep.

    Each of the ``ranks`` runs up to ``slots`` streams at a time. A pass takes
    ``stride`` steps of ``step_ms`` each. Each stream that generates tokens
    adds ``writer_ms`` to a step, and ``context_ms`` per 1,000 tokens of its
    context. Prompts are processed at ``read_per_ms`` tokens per millisecond,
    at most ``chunk`` tokens a step. Experts do the fraction ``expert_share``
    of this added work; their most loaded rank has ``EngineGroup.peak`` times
    the mean load. The first event of a stream arrives ``first_ms`` later than
    its pass ends. A group that was lost takes ``forming_s`` to form again.
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
    """Describe the requests for streams.

    Requests arrive at ``per_s`` per second; ``prompt_tokens`` and ``events``
    are their mean sizes, and ``spread`` is the sigma of the log-normal
    distribution of ``events``. A stream is on time if its first event arrives
    within ``aim_s`` and each further one within ``pause_s`` of the previous; a
    late stream earns the fraction ``late_worth`` of the credit. A caller
    abandons a try that has no event after ``silence_s``, retries at most
    ``retries`` times, and gives up after ``deadline_s``. ``callers_away_s`` is
    the network delay between callers and entries.
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
class Kind:
    """Describe one kind of requests.

    ``share`` is its share of all requests relative to the other kinds. Of its
    ``priority``, 0 is the highest, and ``aim_s`` is the time to the first
    event within which it is on time. A request that is on time earns the
    credit ``worth``.
    """

    name: str
    share: float
    priority: int
    aim_s: float
    worth: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Describe the entries.

    Each entry sends a heartbeat every ``heartbeat_s``; it arrives after
    ``between_s``. ``engine_requests`` limits the requests in flight at one
    engine. A request waits at an entry for at most the fraction
    ``wait_share`` of ``Traffic.aim_s``, or for ``late_wait_s`` if it can no
    longer be on time.
    """

    entries: int
    heartbeat_s: float
    between_s: float
    engine_requests: int
    wait_share: float
    late_wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Maps:
    """Describe how expert maps adapt to demand.

    After a shift of demand, ``EngineGroup.peak`` is ``uneven`` for
    ``reaction_s``, then ``even``.
    """

    even: float
    uneven: float
    reaction_s: float


class TroubleKind(enum.Enum):
    """Name the kinds of disturbances."""

    SHIFT = 'shift'
    BURST = 'burst'
    OUTAGE = 'outage'
    KILL = 'kill'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """Describe one disturbance that starts at ``at_s``.

    SHIFT: the demand for experts changes. BURST: requests arrive at ``x``
    times the usual rate for ``for_s``. OUTAGE: the group fails for ``for_s``
    and then forms again. KILL: all entries are down for ``for_s`` and restart
    without state.
    """

    kind: TroubleKind
    at_s: float
    for_s: float = 0.0
    x: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Describe one run.

    Requests arrive for ``seconds``; the run lasts ``Traffic.deadline_s``
    longer so that the last requests can end. Without ``kinds``, all requests
    are of one kind with ``Traffic.aim_s``.
    """

    name: str
    seconds: float
    engines: Engines
    traffic: Traffic
    fleet: Fleet
    maps: Maps
    troubles: tuple[Trouble, ...]
    kinds: tuple[Kind, ...] = ()


class Ending(enum.Enum):
    """Name how a request ended."""

    ON_TIME = 'on-time'
    LATE = 'late'
    REFUSED = 'refused'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Hold how one request ended and the credit it earned.

    ``credit`` is between 0 and the ``worth`` of its kind. ``first_event_s``
    counts from the arrival of the request; it is None if no event arrived.
    """

    arrived_s: float
    ending: Ending
    credit: float
    first_event_s: float | None
    kind: str = ''
