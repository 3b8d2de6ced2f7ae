"""Measure the cost of membership and the time that it takes to detect.

Bytes count datagrams sent and received with their headers; processor time
is that of the decisions alone, without sockets, and of the codec.
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
LOSS = 0.02
SETTLE_S = 5.0
# Entries and targets: of the trial fleet up to that of two years on.
FLEETS = ((3, 5), (8, 15), (40, 150), (120, 440), (350, 1300))
CODEC_ROUNDS = 2_000


def main():
    """Measure steady cost, failures, the loss of a data centre, codecs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--largest', type=int, default=1_650)
    largest = parser.parse_args().largest
    measure_codec()
    for entries, targets in FLEETS:
        if entries + targets <= largest:
            measure_fleet(entries, targets)
    for entries, targets in FLEETS[2:]:
        if entries + targets <= largest:
            measure_data_centre_loss(entries, targets)
    for entries, targets in FLEETS[1:4]:
        if entries + targets <= largest:
            measure_region_partition(entries, targets)


def start(entries, targets):
    """Return a settled fleet."""
    network = simulated.load('membership.network')
    net = network.Network(seed=SEED, loss=LOSS)
    fleet = network.Fleet(network=net, entries=entries, targets=targets)
    fleet.start_all()
    net.run(SETTLE_S)
    fleet.clear()
    return fleet


def measure_fleet(entries, targets):
    """Measure 10 steady seconds, then the failure of two processes."""
    fleet = start(entries, targets)
    count = entries + targets
    began_s = time.process_time()
    fleet.network.run(SETTLE_S + 10)
    used_s = time.process_time() - began_s
    sent_per_s = fleet.sent / 10 / count
    reports.print_line(
        'membership_steady',
        processes=count,
        messages_per_s=round(2 * sent_per_s, 2),
        bytes_per_s=round(2 * fleet.sent_bytes / 10 / count),
        decision_core_share=round(used_s / 10 / count, 6),
        false_failures=len(fleet.found(decisions.MemberFailed)),
        peak_rss_mb=round(_peak_rss_mb()),
    )
    fleet.clear()
    dead = ['entry-1', 'target-1']
    _measure_failures(fleet, 'membership_failure', dead)


def measure_data_centre_loss(entries, targets):
    """Measure how long the loss of one data centre of six takes."""
    fleet = start(entries, targets)
    dead = [vm.vm_id for vm in fleet.vms if vm.data_centre == 'dc1']
    _measure_failures(fleet, 'membership_data_centre_loss', dead)


def measure_region_partition(entries, targets):
    """Measure how long two regions take to meet again after 30 s."""
    fleet = start(entries, targets)
    net = fleet.network
    east = {vm.address for vm in fleet.vms if int(vm.data_centre[2:]) < 3}
    net.is_blocked = lambda source, destination: (
        (source in east) != (destination in east)
    )
    net.run(net.now_s + 30)
    net.is_blocked = lambda source, destination: False
    start_s = net.now_s
    count = entries + targets
    pairs = count * (count - 1)
    alive_s = dict.fromkeys((0.5, 0.99, 1.0), 'not_in_120')
    for second in range(1, 121):
        net.run(start_s + second)
        alive = _count_alive(fleet)
        for share, reached_s in alive_s.items():
            if reached_s == 'not_in_120' and alive >= share * pairs:
                alive_s[share] = second
        if alive == pairs:
            break
    reports.print_line(
        'membership_region_partition',
        processes=count,
        views_right_50_s=alive_s[0.5],
        views_right_99_s=alive_s[0.99],
        views_right_all_s=alive_s[1.0],
    )


def _count_alive(fleet):
    return sum(
        update.state == messages.MemberState.ALIVE
        for member in fleet.members_by_id.values()
        for update in member.members()
    )


def _measure_failures(fleet, name, dead):
    for vm_id in dead:
        fleet.kill(vm_id)
    start_s = fleet.network.now_s
    peak_bytes = 0
    fleet.sent_bytes = 0
    for second in range(1, 21):
        before_bytes = fleet.sent_bytes
        fleet.network.run(start_s + second)
        peak_bytes = max(peak_bytes, fleet.sent_bytes - before_bytes)
    count = len(fleet.members_by_id)
    first_s = {}
    accused = set()
    for time_s, observer, decision in fleet.found(decisions.MemberFailed):
        accused.add(decision.vm_id)
        if decision.vm_id in dead:
            key = (observer, decision.vm_id)
            first_s.setdefault(key, time_s - start_s)
    reports.print_line(
        name,
        processes=count + len(dead),
        failed=len(dead),
        detected=len(first_s),
        of=len(dead) * count,
        p50_s=round(simulated.percentile(first_s.values(), 0.5), 2),
        p99_s=round(simulated.percentile(first_s.values(), 0.99), 2),
        p100_s=round(max(first_s.values()), 2),
        within_5_s=round(
            sum(value < 5 for value in first_s.values()) / (len(dead) * count),
            4,
        ),
        falsely_accused=len(accused - set(dead)),
        mean_bytes_per_s=round(2 * fleet.sent_bytes / 20 / count),
        peak_bytes_per_s=round(2 * peak_bytes / count),
        largest_datagram_bytes=fleet.largest_bytes,
    )


def measure_codec():
    """Compare the estimated sizes with the codec's and time the codec."""
    for updates in (0, 1, 8, 22):
        message = _ping(updates)
        packed = gossip.encode(message)
        began_s = time.process_time()
        for _ in range(CODEC_ROUNDS):
            gossip.encode(message)
        encoded_s = time.process_time()
        for _ in range(CODEC_ROUNDS):
            gossip.decode(packed)
        decoded_s = time.process_time()
        reports.print_line(
            'membership_codec',
            updates=updates,
            estimated_bytes=sizes.message_bytes(message),
            actual_bytes=len(packed) + sizes.DATAGRAM_BYTES,
            encode_us=round(1e6 * (encoded_s - began_s) / CODEC_ROUNDS, 1),
            decode_us=round(1e6 * (decoded_s - encoded_s) / CODEC_ROUNDS, 1),
        )


def _ping(updates):
    listed = tuple(
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
        updates=listed,
    )


def _peak_rss_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


if __name__ == '__main__':
    main()
