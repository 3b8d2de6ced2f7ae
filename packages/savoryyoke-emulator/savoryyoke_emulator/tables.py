"""Sum outcomes up and draw them as text."""

import dataclasses
import statistics

from savoryyoke_emulator import models

_BARS = ' .:-=+*#%@'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Hold the parts of one run's requests, and the credit they earned."""

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
        return sum(x.ending is ending for x in outcomes) / count

    first = sorted(
        x.first_event_s for x in outcomes if x.first_event_s is not None
    )
    return Summary(
        requests=len(outcomes),
        credit=sum(x.credit for x in outcomes) / count,
        on_time=share(models.Ending.ON_TIME),
        late=share(models.Ending.LATE),
        refused=share(models.Ending.REFUSED),
        lost=share(models.Ending.LOST),
        first_p50_s=first[len(first) // 2] if first else 0.0,
        first_p99_s=first[len(first) * 99 // 100] if first else 0.0,
        pass_s=result.pass_s,
    )


def average(summaries):
    """Return the mean of several runs."""
    return Summary(
        **{
            field.name: statistics.fmean(
                getattr(summary, field.name) for summary in summaries
            )
            for field in dataclasses.fields(Summary)
        }
    )


def draw_credit(outcomes, *, seconds):
    """Return a line of one character a second: the credit, blank to @."""
    drawn = []
    for second in range(int(seconds)):
        credits = [
            x.credit for x in outcomes if second <= x.asked_s < second + 1
        ]
        level = statistics.fmean(credits) if credits else 0.0
        drawn.append(_BARS[min(int(level * len(_BARS)), len(_BARS) - 1)])
    return ''.join(drawn)


def format_row(label, summary):
    """Return one line of the table."""
    return (
        f'{label:32} {summary.requests:7.0f} {summary.credit:7.3f}'
        f' {summary.on_time:7.3f} {summary.late:6.3f} {summary.refused:7.3f}'
        f' {summary.lost:5.3f} {1000 * summary.first_p50_s:6.0f}'
        f' {1000 * summary.first_p99_s:6.0f} {1000 * summary.pass_s:6.1f}'
    )


def format_head():
    """Return the head of the table."""
    return (
        f'{"policy":32} {"asked":>7} {"credit":>7} {"on time":>7} {"late":>6}'
        f' {"refused":>7} {"lost":>5} {"p50 ms":>6} {"p99 ms":>6}'
        f' {"pass":>6}'
    )
