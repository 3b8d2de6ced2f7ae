"""Print what entries and agents did, second by second, from their logs.

    .venv/bin/python tools/service_table.py LOG [LOG ...]

Each file holds the standard output of one or more processes; ``-`` reads
standard input. Text before ``time=`` in a line is ignored. A request counts in
the second in which it ended. The columns are described in ``COLUMNS``, and the
reasons of refusals and failures follow the table.
"""

import collections
import dataclasses
import datetime
import re
import shlex
import sys

import fire

COLUMNS = {
    'served': 'requests with a whole answer',
    'refused': 'requests refused with a time to return',
    'failed': 'requests that failed or whose answer broke off',
    'away': 'requests turned away without a route, key or configuration',
    'wait_s': 'longest wait for a target',
    'event_s': 'mean time of an event of a stream, which shows slow passes',
    'broken': 'tries without a whole answer',
    'maps': 'changes of an expert map that ended with a switch',
    'events': 'starts, stops, outages and changes of what is believed',
}
_SERVED_OUTCOMES = frozenset({'answered', 'streamed'})
_NOTED_EVENTS = frozenset(
    {
        'started',
        'stop_begun',
        'leader_elected',
        'peer_lost',
        'platform_lost',
        'platform_regained',
        'store_restored',
        'configuration_in_force',
        'data_centres_closed',
        'slow_targets_changed',
        'target_gone',
        'target_crashed',
        'request_quarantined',
    }
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(kw_only=True)
class Second:
    """Hold what the logs say of one second."""

    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    events: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    longest_wait_s: float = 0.0
    event_times_s: list[float] = dataclasses.field(default_factory=list)


class ServiceTable:
    """Collect log lines and format them as a table."""

    def __init__(self):
        self._seconds_by_time = collections.defaultdict(Second)
        self._reasons = collections.Counter()

    def add_line(self, line):
        """Add a line of a log; lines without a time are ignored."""
        fields = parse_line(line)
        if 'time' not in fields or 'event' not in fields:
            return
        moment = datetime.datetime.fromisoformat(fields['time'])
        second = self._seconds_by_time[int(moment.timestamp())]
        event = fields['event']
        if event == 'request_ended':
            self._add_request(second, fields)
        elif event == 'request_turned_away':
            second.counts['away'] += 1
            self._reasons['away', fields.get('reason', '')] += 1
        elif event == 'try_ended':
            second.counts['broken'] += 1
        elif event == 'map_change_ended':
            second.counts['maps'] += fields.get('reason') == 'switched'
        elif event in _NOTED_EVENTS:
            second.events[event] += 1

    def _add_request(self, second, fields):
        outcome = fields.get('outcome', '')
        column = 'failed'
        if outcome in _SERVED_OUTCOMES:
            column = 'served'
        elif outcome == 'refused':
            column = 'refused'
        second.counts[column] += 1
        if column != 'served':
            self._reasons[column, fields.get('reason', '')] += 1
        wait_s = float(fields.get('waited_s', 0.0))
        second.longest_wait_s = max(second.longest_wait_s, wait_s)
        events = int(fields.get('events', 0))
        if events:
            second.event_times_s.append(
                (float(fields['took_s']) - wait_s) / events
            )

    def format_rows(self):
        """Return the lines of the table and of the reasons."""
        rows = ['second    ' + ' '.join(f'{name:>8}' for name in COLUMNS)]
        for time_s, second in sorted(self._seconds_by_time.items()):
            moment = datetime.datetime.fromtimestamp(time_s, tz=datetime.UTC)
            rows.append(f'{moment:%H:%M:%S}  {_format_second(second)}')
        rows.extend(
            f'{count:6} {column}: {reason or "unknown"}'
            for (column, reason), count in self._reasons.most_common()
        )
        return rows


def parse_line(line):
    """Return the fields of a log line by name."""
    return {
        name: _unquote(value)
        for name, value in _FIELD.findall(line[line.find('time=') :])
    }


def _unquote(value):
    return ''.join(shlex.split(value)) if value.startswith('"') else value


def _format_second(second):
    times_s = second.event_times_s
    mean_event_s = sum(times_s) / len(times_s) if times_s else 0.0
    cells = [
        *(str(second.counts[n]) for n in ('served', 'refused')),
        *(str(second.counts[n]) for n in ('failed', 'away')),
        f'{second.longest_wait_s:.2f}',
        f'{mean_event_s:.3f}',
        *(str(second.counts[n]) for n in ('broken', 'maps')),
    ]
    events = ', '.join(
        name if count == 1 else f'{count} {name}'
        for name, count in second.events.most_common()
    )
    return ' '.join(f'{cell:>8}' for cell in cells) + f'  {events}'


def print_table(*paths):
    """Print the table of the logs in the files ``paths``."""
    table = ServiceTable()
    for path in paths:
        if path == '-':
            for line in sys.stdin:
                table.add_line(line)
            continue
        with open(path) as file:
            for line in file:
                table.add_line(line)
    print('\n'.join(table.format_rows()))


if __name__ == '__main__':
    fire.Fire(print_table)
