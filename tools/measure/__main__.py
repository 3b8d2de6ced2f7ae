"""Run every measure one after another and print its key=value lines.

The large fleets of membership, propagation and control are left out; run those
modules alone for them. A measure that fails or takes too long is named, the
others still run, and the exit status is 1.
"""

import subprocess
import sys

MEASURE_TIMEOUT_S = 240
MEASURES = (
    ('path',),
    ('control', '--largest', '60', '--window-s', '10'),
    ('membership', '--largest', '190'),
    ('propagation', '--largest', '560'),
    ('routing',),
    ('data_centre_change',),
    ('fairness',),
    ('cold_targets',),
    ('crash_requests',),
    ('overload_costs',),
    ('at_most_once',),
    ('ledger_costs',),
    ('configuration_file',),
    ('expert_maps',),
    ('expert_demand',),
)


def run_measure(name, *flags):
    """Run one measure and return whether it ended well."""
    print(f'running={name} flags="{" ".join(flags)}"', flush=True)
    command = [sys.executable, '-m', f'tools.measure.{name}', *flags]
    try:
        ended = subprocess.run(command, timeout=MEASURE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        print(f'failed={name} reason=timeout', flush=True)
        return False
    if ended.returncode:
        print(f'failed={name} status={ended.returncode}', flush=True)
    return ended.returncode == 0


def main():
    """Run all measures; return 1 if one of them failed."""
    results = [run_measure(*measure) for measure in MEASURES]
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
