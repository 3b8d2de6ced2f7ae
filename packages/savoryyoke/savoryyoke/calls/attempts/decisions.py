"""Define the decisions that an attempt returns."""

import dataclasses

from savoryyoke.calls.ledger import events


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send ``message`` to the ledger of the target ``target_id``."""

    target_id: str
    message: events.Offered | events.SealRequested


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deliver:
    """Answer the caller, at once and for good."""

    outcome: object
