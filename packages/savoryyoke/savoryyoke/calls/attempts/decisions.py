"""Define the decisions that the state machine of an attempt returns."""

import dataclasses

from savoryyoke.calls.ledger import events


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send ``message`` to the ledger of the target ``target_id``."""

    target_id: str
    message: events.Offered | events.SealRequested


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deliver:
    """Send the caller the final ``outcome``."""

    outcome: object
