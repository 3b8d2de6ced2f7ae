"""Measure the cost of membership and how fast it detects failures.

Bytes include the headers of all datagrams sent and received. Processor time
is that of the membership logic, without sockets, and of the codec.
"""

import argparse
import resource
import time

from savoryyoke.membership import decisions
from savoryyoke.membership import messages
from savoryyoke.membership import sizes
from savoryyoke_wire import gossip
from tools.measure import reports
from tools.measure import simulated

SEED = 1
LOSS_SHARE = 0.02
SETTLE_S = 5.0
# Entries and targets, from the trial fleet to the one planned in two years.
FLEET_SIZES = ((3, 5), (8, 15), (40, 150), (120, 440), (350, 1300))
CODEC_ROUNDS = 2_000


def main():
    """Measure the codec, steady costs, failures and partitions."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--largest', type=int, default=1_650)
    largest = parser.parse_args().largest
    measure_codec()
    for entries, targets in FLEET_SIZES:
        if entries + targets <= largest:
            measure_fleet(entries, targets)
    for entries, targets in FLEET_SIZES[2:]:
        if entries + targets <= largest:
            measure_data_centre_loss(entries, targets)
    for entries, targets in FLEET_SIZES[1:4]:
        if entries + targets <= largest:
            measure_region_partition(entries, targets)


def start_fleet(entries, targets):
    """Return a fleet that has run for ``SETTLE_S`` seconds."""
    network = simulated.load_test_module('membership.network')
    simulated_network = network.Network(seed=SEED, loss=LOSS_SHARE)
    fleet = network.Fleet(
        network=simulated_network, entries=entries, targets=targets
    )
    fleet.start_all()
    simulated_network.run(SETTLE_S)
    fleet.clear()
    return fleet


def measure_fleet(entries, targets):
    """Measure 10 s without changes, then the failure of two processes."""
    fleet = start_fleet(entries, targets)
    count = entries + targets
    process_started_s = time.process_time()
    fleet.network.run(SETTLE_S + 10)
    processor_s = time.process_time() - process_started_s
    sent_per_s = fleet.sent / 10 / count
    reports.print_line(
        'membership_steady',
        processes=count,
        messages_per_s=round(2 * sent_per_s, 2),
        bytes_per_s=round(2 * fleet.sent_bytes / 10 / count),
        decision_core_share=round(processor_s / 10 / count, 6),
        false_failures=len(fleet.found(decisions.MemberFailed)),
        peak_rss_mb=round(_peak_rss_mb()),
    )
    fleet.clear()
    failed_ids = ['entry-1', 'target-1']
    _measure_failures(fleet, 'membership_failure', failed_ids)


def measure_data_centre_loss(entries, targets):
    """Measure how fast the loss of one of six data centres is detected."""
    fleet = start_fleet(entries, targets)
    failed_ids = [vm.vm_id for vm in fleet.vms if vm.data_centre == 'dc1']
    _measure_failures(fleet, 'membership_data_centre_loss', failed_ids)


def measure_region_partition(entries, targets):
    """Measure how fast views recover after a 30 s partition of regions."""
    fleet = start_fleet(entries, targets)
    simulated_network = fleet.network
    east_addresses = {
        vm.address for vm in fleet.vms if int(vm.data_centre[2:]) < 3
    }
    simulated_network.is_blocked = lambda source, destination: (
        (source in east_addresses) != (destination in east_addresses)
    )
    simulated_network.run(simulated_network.now_s + 30)
    simulated_network.is_blocked = lambda source, destination: False
    start_s = simulated_network.now_s
    count = entries + targets
    pairs = count * (count - 1)
    recovery_s_by_share = dict.fromkeys((0.5, 0.99, 1.0), 'not_in_120')
    for second in range(1, 121):
        simulated_network.run(start_s + second)
        alive_count = _count_alive(fleet)
        for share, recovery_s in recovery_s_by_share.items():
            if recovery_s == 'not_in_120' and alive_count >= share * pairs:
                recovery_s_by_share[share] = second
        if alive_count == pairs:
            break
    reports.print_line(
        'membership_region_partition',
        processes=count,
        views_right_50_s=recovery_s_by_share[0.5],
        views_right_99_s=recovery_s_by_share[0.99],
        views_right_all_s=recovery_s_by_share[1.0],
    )


def _count_alive(fleet):
    return sum(
        update.state == messages.MemberState.ALIVE
        for member in fleet.members_by_id.values()
        for update in member.members()
    )


def _measure_failures(fleet, name, failed_ids):
    for vm_id in failed_ids:
        fleet.kill(vm_id)
    start_s = fleet.network.now_s
    peak_bytes = 0
    fleet.sent_bytes = 0
    for second in range(1, 21):
        before_bytes = fleet.sent_bytes
        fleet.network.run(start_s + second)
        peak_bytes = max(peak_bytes, fleet.sent_bytes - before_bytes)
    count = len(fleet.members_by_id)
    detection_s_by_pair = {}
    reported_ids = set()
    for time_s, observer, decision in fleet.found(decisions.MemberFailed):
        reported_ids.add(decision.vm_id)
        if decision.vm_id in failed_ids:
            pair = (observer, decision.vm_id)
            detection_s_by_pair.setdefault(pair, time_s - start_s)
    reports.print_line(
        name,
        processes=count + len(failed_ids),
        failed=len(failed_ids),
        detected=len(detection_s_by_pair),
        of=len(failed_ids) * count,
        p50_s=round(
            simulated.percentile(detection_s_by_pair.values(), 0.5), 2
        ),
        p99_s=round(
            simulated.percentile(detection_s_by_pair.values(), 0.99), 2
        ),
        p100_s=round(max(detection_s_by_pair.values()), 2),
        within_5_s=round(
            sum(
                detection_s < 5 for detection_s in detection_s_by_pair.values()
            )
            / (len(failed_ids) * count),
            4,
        ),
        falsely_accused=len(reported_ids - set(failed_ids)),
        mean_bytes_per_s=round(2 * fleet.sent_bytes / 20 / count),
        peak_bytes_per_s=round(2 * peak_bytes / count),
        largest_datagram_bytes=fleet.largest_bytes,
    )


def measure_codec():
    """Compare estimated with encoded sizes and time the codec."""
    for updates in (0, 1, 8, 22):
        message = _make_ping(updates)
        encoded = gossip.encode(message)
        process_started_s = time.process_time()
        for _ in range(CODEC_ROUNDS):
            gossip.encode(message)
        encoded_s = time.process_time()
        for _ in range(CODEC_ROUNDS):
            gossip.decode(encoded)
        decoded_s = time.process_time()
        reports.print_line(
            'membership_codec',
            updates=updates,
            estimated_bytes=sizes.message_bytes(message),
            actual_bytes=len(encoded) + sizes.DATAGRAM_BYTES,
            encode_us=round(
                1e6 * (encoded_s - process_started_s) / CODEC_ROUNDS, 1
            ),
            decode_us=round(1e6 * (decoded_s - encoded_s) / CODEC_ROUNDS, 1),
        )


def _make_ping(updates):
    member_updates = tuple(
        messages.MemberUpdate(
            vm_id=f'target-{1000 + number}',
            incarnation=0xFEDCBA9876543210 - number,
            refutation=3,
            state=messages.MemberState.SUSPECT,
        )
        for number in range(updates)
    )
    return messages.Ping(
        sender_id='entry-341',
        sender_incarnation=0xFEDCBA9876543210,
        sender_refutation=2,
        sender_state=messages.MemberState.ALIVE,
        sequence=123_456,
        versions_digest=0xFEDCBA9876543210,
        updates=member_updates,
    )


def _peak_rss_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


if __name__ == '__main__':
    main()
