"""Measure the control costs of each daemon in idle fleets of processes.

Bytes are payload, sent plus received, by kind: membership datagrams, answers
of the platform, and connections between entries and targets. Only entries
count datagrams; a target exchanges as many. A least-squares fit over all
processes gives the cost per link and per member of the fleet, and from these
the cost at 350 entries and 1,300 targets.
"""

import argparse
import collections
import dataclasses
import os
import re
import subprocess
import time

import numpy

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tools.measure import processes
from tools.measure import reports

# Numbers of entries and targets.
FLEET_SIZES = ((4, 6), (8, 15), (8, 40), (16, 44), (24, 96))
PROJECTED_MEMBERS = 1_650
# Each target of one service selects 11 entries, 14,300 links in all.
PROJECTED_LINKS_BY_ROLE = {'entry': 41, 'target': 11}
ENTRY_PREFIX = 'entry-'
LINK_STATUS_FIELDS_BY_ROLE = {
    'entry': 'targets_connected',
    'target': 'entries',
}
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
SETTLE_S = 20.0
WINDOW_S = 30.0
LIMITS_BY_FIGURE = {'core_share': 0.011, 'memory_bytes': 128_000_000}
# The limit for the sum of all kinds of bytes.
BYTES_LIMIT_PER_S = 5_000
FIGURES = (
    'core_share',
    'memory_bytes',
    'platform_bytes_per_s',
    'link_bytes_per_s',
    'datagram_bytes_per_s',
)
_SOCKET_PATTERN = re.compile(r'(\S+:\d+)\s+(\S+:\d+)\s.*?pid=(\d+)')
_BYTES_PATTERN = re.compile(r'bytes_(?:sent|received):(\d+)')
_DATAGRAM_BYTES_PATTERN = re.compile(
    r'^savoryyoke_entry_control_(?:sent|received)_bytes (\S+)', re.MULTILINE
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Hold the counters of one process at one moment."""

    processor_s: float
    memory_bytes: int
    bytes_by_kind: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Hold the costs of one process over the measured time."""

    links: int
    members: int
    core_share: float
    memory_bytes: float
    platform_bytes_per_s: float
    link_bytes_per_s: float
    datagram_bytes_per_s: float


class LargeFleet(fleets.Fleet):
    """Run a fleet in which each entry connects to some of the targets."""

    def wait_until_ready(self):
        """Wait until all entries are connected to their targets."""
        for name in self.admin_addresses_by_name:
            if name.startswith(ENTRY_PREFIX):
                self.wait_for_status(name, ready=True)


def main():
    """Measure each fleet size and project the costs to the full size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--largest', type=int, default=120)
    parser.add_argument('--window-s', type=float, default=WINDOW_S)
    arguments = parser.parse_args()
    costs_by_role = collections.defaultdict(list)
    for entries, targets in FLEET_SIZES:
        if entries + targets > arguments.largest:
            continue
        fleet_costs_by_role = measure_fleet(
            entries, targets, arguments.window_s
        )
        for role, costs in fleet_costs_by_role.items():
            costs_by_role[role].extend(costs)
    for role, costs in costs_by_role.items():
        if len({(cost.links, cost.members) for cost in costs}) > 2:
            project(role, costs)


def build_places(entries, targets):
    """Return the places of a fleet whose targets share one fake engine."""
    entry_places = tuple(
        fleets.EntryPlace(
            vm_id=f'{ENTRY_PREFIX}{number}',
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        for number in range(entries)
    )
    target_places = tuple(
        fleets.TargetPlace(
            vm_id=f'target-{number}',
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            service=fleets.LANGUAGE,
            backend_of='target-0',
        )
        for number in range(targets)
    )
    return {'entries': entry_places, 'targets': target_places}


def measure_fleet(entries, targets, window_s):
    """Return the costs of the processes of each role; print their means."""
    places = build_places(entries, targets)
    ids_by_role = {
        'entry': [place.vm_id for place in places['entries']],
        'target': [place.vm_id for place in places['targets']],
    }
    with LargeFleet(**places) as fleet:
        time.sleep(SETTLE_S)
        started_s = time.monotonic()
        before_by_id = take_samples(fleet, ids_by_role)
        time.sleep(window_s)
        elapsed_s = time.monotonic() - started_s
        after_by_id = take_samples(fleet, ids_by_role)
        links_by_id = {
            vm_id: fleet.read_status(vm_id)[LINK_STATUS_FIELDS_BY_ROLE[role]]
            for role, ids in ids_by_role.items()
            for vm_id in ids
        }
    costs_by_role = {
        role: [
            compute_cost(
                before_by_id[vm_id],
                after_by_id[vm_id],
                elapsed_s,
                links=links_by_id[vm_id],
                members=entries + targets,
            )
            for vm_id in ids
        ]
        for role, ids in ids_by_role.items()
    }
    for role, costs in costs_by_role.items():
        print_costs(role, costs)
    return costs_by_role


def take_samples(fleet, ids_by_role):
    """Return a sample of each daemon."""
    bytes_by_pid = read_connections(fleet)
    samples_by_id = {}
    for role, ids in ids_by_role.items():
        for vm_id in ids:
            pid = fleet.processes_by_name[vm_id].pid
            bytes_by_kind = dict(bytes_by_pid[pid])
            if role == 'entry':
                bytes_by_kind['datagram'] = read_datagram_bytes(fleet, vm_id)
            samples_by_id[vm_id] = Sample(
                processor_s=processes.read_processor_s(pid),
                memory_bytes=processes.read_memory_bytes(pid),
                bytes_by_kind=bytes_by_kind,
            )
    return samples_by_id


def read_connections(fleet):
    """Return the bytes on open connections by process id and kind."""
    platform = fleet.addresses_by_name['platform']
    backends = {
        address
        for name, address in fleet.addresses_by_name.items()
        if name.endswith('.backend')
    }
    process = subprocess.run(
        ['ss', '-tinpH'], capture_output=True, text=True, check=True
    )
    lines = iter(process.stdout.splitlines())
    bytes_by_pid = collections.defaultdict(collections.Counter)
    for line in lines:
        match = _SOCKET_PATTERN.search(line)
        detail = next(lines, '')
        if match is None or match.group(2) in backends:
            continue
        kind = 'platform' if match.group(2) == platform else 'link'
        byte_count = sum(int(text) for text in _BYTES_PATTERN.findall(detail))
        bytes_by_pid[int(match.group(3))][kind] += byte_count
    return bytes_by_pid


def read_datagram_bytes(fleet, vm_id):
    """Return the datagram bytes that an entry has counted."""
    address = fleet.admin_addresses_by_name[vm_id]
    text = clients.call('GET', address, '/metrics').body.decode()
    return sum(float(value) for value in _DATAGRAM_BYTES_PATTERN.findall(text))


def compute_cost(before, after, elapsed_s, *, links, members):
    """Return the cost of one process between two samples."""
    bytes_per_s_by_kind = {
        kind: (after.bytes_by_kind.get(kind, 0) - byte_count) / elapsed_s
        for kind, byte_count in before.bytes_by_kind.items()
    }
    return Cost(
        links=links,
        members=members,
        core_share=(after.processor_s - before.processor_s) / elapsed_s,
        memory_bytes=after.memory_bytes,
        platform_bytes_per_s=bytes_per_s_by_kind.get('platform', 0.0),
        link_bytes_per_s=bytes_per_s_by_kind.get('link', 0.0),
        datagram_bytes_per_s=bytes_per_s_by_kind.get('datagram', 0.0),
    )


def print_costs(role, costs):
    """Print the means and extremes of one role in one fleet."""
    columns = {
        field.name: [getattr(cost, field.name) for cost in costs]
        for field in dataclasses.fields(Cost)
    }
    means = {name: numpy.mean(values) for name, values in columns.items()}
    reports.print_line(
        'control_cost',
        role=role,
        members=costs[0].members,
        processes=len(costs),
        links_each=round(means['links'], 1),
        load_average=round(os.getloadavg()[0], 1),
        core_share=round(means['core_share'], 5),
        core_share_least=round(min(columns['core_share']), 5),
        core_share_most=round(max(columns['core_share']), 5),
        memory_mb=round(means['memory_bytes'] / 1e6, 1),
        memory_mb_most=round(max(columns['memory_bytes']) / 1e6, 1),
        platform_bytes_per_s=round(means['platform_bytes_per_s']),
        link_bytes_per_s=round(means['link_bytes_per_s']),
        datagram_bytes_per_s=round(means['datagram_bytes_per_s']),
    )


def project(role, costs):
    """Print the fitted slopes of each figure and its value at full size."""
    factors = numpy.array([[1, cost.links, cost.members] for cost in costs])
    full_size = (1, PROJECTED_LINKS_BY_ROLE[role], PROJECTED_MEMBERS)
    for name in FIGURES:
        values = [getattr(cost, name) for cost in costs]
        slopes, *_ = numpy.linalg.lstsq(factors, values, rcond=None)
        base, per_link, per_member = slopes
        reports.print_line(
            'control_slope',
            role=role,
            figure=name,
            base=f'{base:.4g}',
            per_link=f'{per_link:.4g}',
            per_member=f'{per_member:.4g}',
            links=full_size[1],
            members=full_size[2],
            projected=f'{slopes @ full_size:.4g}',
            limit=LIMITS_BY_FIGURE.get(name, BYTES_LIMIT_PER_S),
        )


if __name__ == '__main__':
    main()
