"""Define the events that change the state of a directory."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySeen:
    """Report an entry of the fleet.

    ``incarnation`` grows each time the entry's process starts.
    """

    entry_id: str
    incarnation: int
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryLeaving:
    """Report that an entry must get no new callers."""

    entry_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryGone:
    """Report that an incarnation of an entry has ended."""

    entry_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryMessageReceived:
    """Report a message from an entry, with its load.

    ``load`` is the used share of the entry's capacity; ``stamp_s`` is read
    from the sender's monotonic clock and orders its messages.
    """

    entry_id: str
    incarnation: int
    stamp_s: float
    load: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class DataCentreOut:
    """Report that operators took a data centre out."""

    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DataCentreIn:
    """Report that operators put a data centre back in."""

    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetContactsReported:
    """Report how many connected targets sent a message recently."""

    in_contact_count: int
    expected_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed; apply it at least every 0.5 s."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Report that this entry is about to stop."""
