"""Command line of the fault soak: ``python -m savoryyoke_soak --help``."""

import collections
import pathlib
import signal
import sys

import fire

from savoryyoke_soak import conf
from savoryyoke_soak import runner


def soak(*, first=1, seeds=5, seconds=conf.SECONDS, mutant=None, logs=None):
    """Run ``seeds`` seeds from ``first`` on, each for ``seconds`` of faults.

    ``mutant`` names a promise for the entries to break. The logs of entries
    of runs with a finding go to the directory ``logs``.
    """
    found = 0
    print('seed  calls  200   faults  findings', flush=True)
    for seed in range(first, first + seeds):
        outcome = runner.play(seed=seed, seconds=seconds, mutant=mutant)
        found += len(outcome.breaches)
        _print_row(outcome)
        if outcome.breaches and logs is not None:
            _write_logs(outcome, pathlib.Path(logs))
    print(f'{seeds} seeds, {found} findings')
    sys.exit(1 if found else 0)


def _print_row(outcome):
    calls = outcome.history.calls
    answered = sum(call.status == 200 and call.is_whole for call in calls)
    counts = collections.Counter(fault.kind for fault in outcome.faults)
    kinds = ' '.join(f'{kind}:{count}' for kind, count in counts.items())
    print(
        f'{outcome.seed:4}  {len(calls):5}  {answered:5}'
        f' {len(outcome.faults):6}  {len(outcome.breaches)}  {kinds}',
        flush=True,
    )
    for breach in outcome.breaches[:5]:
        print(f'      {breach.promise}: {breach.evidence}', flush=True)


def _write_logs(outcome, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for number, lines in outcome.lines_by_entry.items():
        path = directory / f'seed-{outcome.seed}-entry-{number}.log'
        path.write_text('\n'.join(lines))


if __name__ == '__main__':
    # Whoever ends the soak ends its processes too, also from the background.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    fire.Fire(soak)
