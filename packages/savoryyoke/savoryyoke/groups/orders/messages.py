"""Orders to engines, and the gate's state that they are based on."""

import dataclasses
import enum

from savoryyoke.groups.orders import tokens


class Enforcement(enum.Enum):
    """Name the component that refuses outdated orders.

    Operators declare it. The slot is the process beside the engine that runs
    the order gate.
    """

    ENGINE = 'engine'
    SLOT = 'slot'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadVersion:
    """Order an engine to load and serve one immutable version of a model."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadAdapter:
    """Order an engine to load one immutable version of an adapter."""

    adapter: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeRole:
    """Order an engine to change its role."""

    role: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GateView:
    """Hold the state of the gate that a writer reads before it writes.

    ``gate_clock_s`` is the time of the reading on the gate's clock, so that
    deadlines depend on a single clock. ``highest_token`` is the newest token
    that the gate has forwarded, or None. ``engine_incarnation`` is None while
    the state of the engine is unknown.
    """

    gate_incarnation: int
    engine_incarnation: int | None
    gate_clock_s: float
    highest_token: tokens.OrderToken | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class FencedOrder:
    """Carry an order and the state that shows that it is not outdated.

    ``content`` is a ``LoadVersion``, ``LoadAdapter`` or ``ChangeRole``. The
    order expires ``valid_s`` after ``view.gate_clock_s``.
    """

    content: object
    token: tokens.OrderToken
    view: GateView
    valid_s: float
