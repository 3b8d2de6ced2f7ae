"""Policies of a service: retries, warm-up and admission."""

import pydantic

from savoryyoke.configuration import conf
from savoryyoke.configuration import fields


class Retry(fields.FileModel):
    """Limit the retries of calls that may be repeated."""

    budget_ratio: fields.Ratio = pydantic.Field(
        default=conf.RETRY_BUDGET_RATIO,
        description='Allowed retries, as a ratio of first attempts.',
    )
    max_attempts: int = pydantic.Field(
        default=conf.RETRY_MAX_ATTEMPTS,
        strict=True,
        ge=1,
        le=10,
        description='Allowed attempts for one call, including the first.',
    )


class WarmUp(fields.FileModel):
    """Define how the concurrency of a cold target increases."""

    initial_concurrency: fields.Count = pydantic.Field(
        default=conf.WARM_UP_INITIAL_CONCURRENCY,
        description='Calls at once that a cold target may run.',
    )
    growth_per_success: float = pydantic.Field(
        default=conf.WARM_UP_GROWTH_PER_SUCCESS,
        strict=True,
        gt=0,
        le=1,
        description='Increase of the calls at once for each successful call.',
    )
    cold_after_idle_s: fields.Lifetime = pydantic.Field(
        default=conf.WARM_UP_COLD_AFTER_IDLE_S,
        description='Time in seconds without a call after which it is cold.',
    )


class Admission(fields.FileModel):
    """Limit the calls that one target runs and queues."""

    max_concurrency: fields.Count = pydantic.Field(
        default=conf.ADMISSION_MAX_CONCURRENCY,
        description='Calls at once that a warm target may run.',
    )
    queue_limit: fields.CountOrZero = pydantic.Field(
        default=conf.ADMISSION_QUEUE_LIMIT,
        description='Calls that may wait at a target; others are refused.',
    )
