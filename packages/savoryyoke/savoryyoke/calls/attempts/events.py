"""Define the events that the state machine of an attempt handles."""

import dataclasses

from savoryyoke.calls.ledger import snapshots


@dataclasses.dataclass(frozen=True, kw_only=True)
class Started:
    """Report that the attempt may begin."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeReceived:
    """Report the ledger's response to message ``number``."""

    number: int
    outcome: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class Redirected:
    """Report that message ``number`` must be sent to ``heir`` instead."""

    number: int
    heir: snapshots.Heir


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetUnreachable:
    """Report that the target of message ``number`` can't be reached.

    ``heir`` is the process that took over its ledger, if one is known.
    """

    number: int
    heir: snapshots.Heir | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """Report that the caller closed its connection."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that the time ``Attempt.next_tick_s`` has been reached."""
