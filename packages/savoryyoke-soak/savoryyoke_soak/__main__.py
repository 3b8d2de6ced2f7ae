"""Provide the command of the fault soak, ``python -m savoryyoke_soak``."""

import collections
import pathlib
import signal
import sys

import fire

from savoryyoke_soak import conf
from savoryyoke_soak import runner


def soak(*, first=1, seeds=5, seconds=conf.RUN_S, mutant=None, logs=None):
    """Run ``seeds`` seeds from ``first`` on, each with ``seconds`` of faults.

    ``mutant`` names a promise that the entries are made to break. If a run
    has findings, the logs of its entries are written to the directory
    ``logs``. The exit status is 1 if any run has findings.
    """
    finding_count = 0
    print('seed  calls  200   faults  findings', flush=True)
    for seed in range(first, first + seeds):
        outcome = runner.play(seed=seed, seconds=seconds, mutant=mutant)
        finding_count += len(outcome.breaches)
        _print_row(outcome)
        if outcome.breaches and logs is not None:
            _write_logs(outcome, pathlib.Path(logs))
    print(f'{seeds} seeds, {finding_count} findings')
    sys.exit(1 if finding_count else 0)


def _print_row(outcome):
    calls = outcome.history.calls
    answered_count = sum(
        call.status == 200 and call.is_complete for call in calls
    )
    counts = collections.Counter(fault.kind for fault in outcome.faults)
    kind_counts = ' '.join(f'{kind}:{count}' for kind, count in counts.items())
    print(
        f'{outcome.seed:4}  {len(calls):5}  {answered_count:5}'
        f' {len(outcome.faults):6}  {len(outcome.breaches)}  {kind_counts}',
        flush=True,
    )
    for breach in outcome.breaches[:5]:
        print(f'      {breach.promise}: {breach.evidence}', flush=True)


def _write_logs(outcome, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for number, lines in outcome.log_lines_by_entry.items():
        path = directory / f'seed-{outcome.seed}-entry-{number}.log'
        path.write_text('\n'.join(lines))


if __name__ == '__main__':
    # Raise KeyboardInterrupt on both signals, also in a background job, so
    # that the soak kills the processes that it has started.
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.default_int_handler)
    fire.Fire(soak)
