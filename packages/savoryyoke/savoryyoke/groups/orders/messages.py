"""Orders to engines, and what their senders read before they write."""

import dataclasses
import enum

from savoryyoke.groups.orders import tokens


class Enforcement(enum.Enum):
    """Say who refuses outdated orders; operators declare it."""

    ENGINE = 'engine'
    SLOT = 'slot'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadVersion:
    """Order an engine to serve one immutable version of a model."""

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
    """Hold what a writer reads from the gate before it writes.

    ``stamp_s`` is the gate's own clock, so that deadlines compare one clock
    only. ``highest`` is the newest token the gate has forwarded.
    """

    gate_incarnation: int
    engine_incarnation: int | None
    stamp_s: float
    highest: tokens.OrderToken | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class FencedOrder:
    """Carry an order with all that proves it is not outdated.

    Void once ``valid_s`` have passed since the gate's clock read
    ``view.stamp_s``.
    """

    content: object
    token: tokens.OrderToken
    view: GateView
    valid_s: float
