"""Summarize outcomes and format them as text."""

import dataclasses
import statistics

from savoryyoke_emulator import models

_CREDIT_LEVELS = ' .:-=+*#%@'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Hold the statistics of one run.

    ``on_time``, ``late``, ``refused`` and ``lost`` are fractions of the
    requests, and ``credit`` is their mean credit.
    """

    requests: int
    credit: float
    on_time: float
    late: float
    refused: float
    lost: float
    first_p50_s: float
    first_p99_s: float
    pass_s: float


def summarize(result):
    """Return the ``Summary`` of an ``emulation.Result``."""
    outcomes = result.outcomes
    count = max(len(outcomes), 1)

    def share(ending):
        return sum(outcome.ending is ending for outcome in outcomes) / count

    delays_s = sorted(
        outcome.first_event_s
        for outcome in outcomes
        if outcome.first_event_s is not None
    )
    return Summary(
        requests=len(outcomes),
        credit=sum(outcome.credit for outcome in outcomes) / count,
        on_time=share(models.Ending.ON_TIME),
        late=share(models.Ending.LATE),
        refused=share(models.Ending.REFUSED),
        lost=share(models.Ending.LOST),
        first_p50_s=delays_s[len(delays_s) // 2] if delays_s else 0.0,
        first_p99_s=delays_s[len(delays_s) * 99 // 100] if delays_s else 0.0,
        pass_s=result.pass_s,
    )


def summarize_kinds(result):
    """Return the ``Summary`` of each kind of requests by its name."""
    names = sorted({outcome.kind for outcome in result.outcomes})
    return {
        name: summarize(
            dataclasses.replace(
                result,
                outcomes=tuple(
                    outcome
                    for outcome in result.outcomes
                    if outcome.kind == name
                ),
            )
        )
        for name in names
    }


def average(summaries):
    """Return a ``Summary`` with the mean of each field."""
    return Summary(
        **{
            field.name: statistics.fmean(
                getattr(summary, field.name) for summary in summaries
            )
            for field in dataclasses.fields(Summary)
        }
    )


def format_credit_line(outcomes, *, seconds):
    """Return one character per second that shows the mean credit.

    A blank stands for the lowest credit and ``@`` for the highest.
    """
    characters = []
    for second in range(int(seconds)):
        credits = [
            outcome.credit
            for outcome in outcomes
            if second <= outcome.arrived_s < second + 1
        ]
        level = statistics.fmean(credits) if credits else 0.0
        characters.append(
            _CREDIT_LEVELS[
                min(int(level * len(_CREDIT_LEVELS)), len(_CREDIT_LEVELS) - 1)
            ]
        )
    return ''.join(characters)


def format_row(label, summary):
    """Return one row of the table."""
    return (
        f'{label:32} {summary.requests:7.0f} {summary.credit:7.3f}'
        f' {summary.on_time:7.3f} {summary.late:6.3f} {summary.refused:7.3f}'
        f' {summary.lost:5.3f} {1000 * summary.first_p50_s:6.0f}'
        f' {1000 * summary.first_p99_s:6.0f} {1000 * summary.pass_s:6.1f}'
    )


def format_head():
    """Return the row of column heads."""
    return (
        f'{"policy":32} {"asked":>7} {"credit":>7} {"on time":>7} {"late":>6}'
        f' {"refused":>7} {"lost":>5} {"p50 ms":>6} {"p99 ms":>6}'
        f' {"pass":>6}'
    )
