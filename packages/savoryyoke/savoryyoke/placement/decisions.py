"""Decisions on the placement of requests."""

import dataclasses

from savoryyoke.placement import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """Send the request to the target.

    ``in_flight`` is the number of requests that all entries had in flight at
    the target before this one, as far as this entry has been informed.
    """

    request_id: str
    target: models.Target
    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Refuse the request without sending it to a target.

    The caller should retry after ``retry_after_s`` seconds. For want of
    capacity, ``level`` is the request's level of urgency and ``limit_share``
    the lowest limit of a group as a share of its slots.
    """

    request_id: str
    reason: models.RefusalReason
    retry_after_s: float
    level: int | None = None
    limit_share: float | None = None
