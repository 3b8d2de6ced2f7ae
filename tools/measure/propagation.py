"""Measure how configuration spreads and what it costs the platform.

Times are virtual seconds from the publication or the start; calls are those
of the platform by all processes together.
"""

import argparse
import time

from tools.measure import reports
from tools.measure import simulated

SEED = 1
LOSS = 0.02
FLEETS = ((8, 15), (120, 440), (350, 1300))
NAMES = ('base', 'overlay/north')
# Near a megabyte at 10 MB/s.
SLOW_TRANSFER_S = 0.1


def main():
    """Measure starts, changes and a fleet that only has the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--largest', type=int, default=1_650)
    largest = parser.parse_args().largest
    for entries, targets in FLEETS:
        if entries + targets <= largest:
            measure_fleet(entries, targets)
            measure_isolated_start(entries, targets)


def make(entries, targets):
    """Return processes that have not been started."""
    network = simulated.load('membership.network')
    spread = simulated.load('propagation.spread')
    net = network.Network(seed=SEED, loss=LOSS)
    return spread.Spread(network=net, entries=entries, targets=targets)


def start(fleet):
    """Publish the first revisions and start every process."""
    for name in NAMES:
        fleet.platform.publish(name, 1, f'{name} 1')
    for peer in fleet.peers:
        fleet.start(peer.vm_id)


def measure_fleet(entries, targets):
    """Measure a start of all, a change and a restart of nearly all."""
    fleet = make(entries, targets)
    start(fleet)
    _run(fleet, 'propagation_start', 20)
    fleet.transfer_s = SLOW_TRANSFER_S
    fleet.platform.publish('base', 2, 'base 2')
    _run(fleet, 'propagation_change', 20)
    fleet.platform.stale = {name: (1, f'{name} 1') for name in NAMES}
    fleet.platform.stale_share = 1.0
    for peer in fleet.peers[max(2, entries // 10) :]:
        fleet.start(peer.vm_id)
    _run(fleet, 'propagation_restart_stale_platform', 30)


def measure_isolated_start(entries, targets):
    """Measure a start in which no process reaches another."""
    fleet = make(entries, targets)
    fleet.network.is_blocked = lambda source, destination: True
    start(fleet)
    _run(fleet, 'propagation_isolated_start', 40)


def _run(fleet, name, seconds):
    fleet.applied.clear()
    fleet.kinds.clear()
    fleet.platform.calls_by_second.clear()
    start_s = fleet.network.now_s
    began_s = time.process_time()
    fleet.network.run(start_s + seconds)
    used_s = time.process_time() - began_s
    times_s = [item[0] - start_s for item in fleet.applied]
    calls = fleet.platform.calls_by_second
    ((key, agreed),) = fleet.in_force().most_common(1)
    count = len(fleet.nodes_by_id)
    reports.print_line(
        name,
        processes=count,
        in_force=f'{key[0]}/{key[1]}',
        agreed=agreed,
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
        simulation_core_share=round(used_s / seconds / count, 6),
    )


if __name__ == '__main__':
    main()
