"""Measure how fast configuration spreads and the calls to the platform.

Times are virtual seconds since the publication or the start. Calls to the
platform are counted over all processes.
"""

import argparse
import time

from tools.measure import reports
from tools.measure import simulated

SEED = 1
LOSS_SHARE = 0.02
# Numbers of entries and targets.
FLEET_SIZES = ((8, 15), (120, 440), (350, 1300))
DOCUMENT_NAMES = ('base', 'overlay/north')
# The time for a document of about 1 MB at 10 MB/s.
SLOW_TRANSFER_S = 0.1


def main():
    """Measure starts, changes and starts without reachable peers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--largest', type=int, default=1_650)
    largest = parser.parse_args().largest
    for entries, targets in FLEET_SIZES:
        if entries + targets <= largest:
            measure_fleet(entries, targets)
            measure_isolated_start(entries, targets)


def make_fleet(entries, targets):
    """Return a fleet whose processes have not been started."""
    network = simulated.load_test_module('membership.network')
    spread = simulated.load_test_module('propagation.spread')
    simulated_network = network.Network(seed=SEED, loss=LOSS_SHARE)
    return spread.Spread(
        network=simulated_network, entries=entries, targets=targets
    )


def start_fleet(fleet):
    """Publish the first revisions and start every process."""
    for name in DOCUMENT_NAMES:
        fleet.platform.publish(name, 1, f'{name} 1')
    for peer in fleet.peers:
        fleet.start(peer.vm_id)


def measure_fleet(entries, targets):
    """Measure a start of all processes, a change and a large restart.

    During the restart of nearly all processes the platform serves an old
    revision.
    """
    fleet = make_fleet(entries, targets)
    start_fleet(fleet)
    _run_and_report(fleet, 'propagation_start', 20)
    fleet.transfer_s = SLOW_TRANSFER_S
    fleet.platform.publish('base', 2, 'base 2')
    _run_and_report(fleet, 'propagation_change', 20)
    fleet.platform.stale = {name: (1, f'{name} 1') for name in DOCUMENT_NAMES}
    fleet.platform.stale_share = 1.0
    for peer in fleet.peers[max(2, entries // 10) :]:
        fleet.start(peer.vm_id)
    _run_and_report(fleet, 'propagation_restart_stale_platform', 30)


def measure_isolated_start(entries, targets):
    """Measure a start in which processes reach only the platform."""
    fleet = make_fleet(entries, targets)
    fleet.network.is_blocked = lambda source, destination: True
    start_fleet(fleet)
    _run_and_report(fleet, 'propagation_isolated_start', 40)


def _run_and_report(fleet, name, seconds):
    fleet.applied.clear()
    fleet.kinds.clear()
    fleet.platform.calls_by_second.clear()
    start_s = fleet.network.now_s
    process_started_s = time.process_time()
    fleet.network.run(start_s + seconds)
    processor_s = time.process_time() - process_started_s
    times_s = [item[0] - start_s for item in fleet.applied]
    calls = fleet.platform.calls_by_second
    ((revisions, process_count),) = fleet.in_force().most_common(1)
    count = len(fleet.nodes_by_id)
    reports.print_line(
        name,
        processes=count,
        in_force=f'{revisions[0]}/{revisions[1]}',
        agreed=process_count,
        p50_s=round(simulated.percentile(times_s, 0.5), 2),
        p99_s=round(simulated.percentile(times_s, 0.99), 2),
        p100_s=round(max(times_s), 2),
        platform_calls_peak_per_s=max(calls.values(), default=0),
        platform_calls_mean_per_s=round(calls.total() / seconds, 2),
        fetches_per_process=round(fleet.kinds['FetchFrom'] / count, 2),
        served_per_process=round(fleet.kinds['served'] / count, 2),
        state_requests_per_process=round(
            fleet.kinds['RequestState'] / count, 2
        ),
        simulation_core_share=round(processor_s / seconds / count, 6),
    )


if __name__ == '__main__':
    main()
