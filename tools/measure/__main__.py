"""Run all measures in sequence; each prints key=value lines.

The largest fleets of membership, propagation and control are left out; run
these modules directly to measure them. If a measure fails or times out, its
name is printed, the others still run, and the exit status is 1.
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
    ('engine_calls',),
    ('agent_messages',),
    ('agents',),
)


def run_measure(name, *flags):
    """Run one measure and return whether it succeeded."""
    print(f'running={name} flags="{" ".join(flags)}"', flush=True)
    command = [sys.executable, '-m', f'tools.measure.{name}', *flags]
    try:
        process = subprocess.run(command, timeout=MEASURE_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        print(f'failed={name} reason=timeout', flush=True)
        return False
    if process.returncode:
        print(f'failed={name} status={process.returncode}', flush=True)
    return process.returncode == 0


def main():
    """Run all measures; return 1 if one of them failed."""
    successes = [run_measure(*measure) for measure in MEASURES]
    return 0 if all(successes) else 1


if __name__ == '__main__':
    sys.exit(main())
