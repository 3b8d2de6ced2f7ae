"""Count the work that the stand-ins of a fleet have started."""

import collections
import time

import httpcore

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets

POLL_S = 0.1
# Work is watched for this long after the bound.
OBSERVED_S = 2.0


class Workloads:
    """Ask the stand-ins; keep what those that were ended have counted.

    A payment that starts between the count and the end of an application
    is not seen.
    """

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._ended_runs = collections.Counter()

    def note_runs_of(self, place):
        """Keep the runs of an application before it is ended."""
        if not place.startswith('app-') or not place.endswith('.backend'):
            return
        if self._fleet.processes_by_name[place].running:
            self._ended_runs.update(self._read(place, '/control/runs'))

    def count_runs(self):
        """Return how often each payment ran, over all applications."""
        runs = collections.Counter(self._ended_runs)
        for place in fleets.TARGETS:
            name = f'{place.vm_id}.backend'
            if place.service != fleets.ACCOUNT:
                continue
            if self._fleet.processes_by_name[name].running:
                runs.update(self._read(name, '/control/runs'))
        return dict(runs)

    def count_started(self):
        """Return the work started so far, by target."""
        started = {}
        for place in fleets.TARGETS:
            path = '/load'
            if place.service == fleets.ACCOUNT:
                path = '/control/started'
            try:
                document = self._read(f'{place.vm_id}.backend', path)
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            started[place.vm_id] = document['started']
        return started

    def find_last_start(self, name, *, since_s, bound_s):
        """Watch a target or a data centre until past the bound.

        Return when after ``since_s`` it last got work, in seconds, and how
        much work was started elsewhere while it was watched.
        """
        inside = {
            place.vm_id
            for place in fleets.TARGETS
            if name in (place.vm_id, place.data_centre)
        }
        first = before = self.count_started()
        last_s = 0.0
        end_s = max(since_s + bound_s, time.monotonic()) + OBSERVED_S
        while time.monotonic() < end_s:
            time.sleep(POLL_S)
            after = self.count_started()
            if any(after.get(v, 0) > before.get(v, 0) for v in inside):
                last_s = time.monotonic() - since_s
            before = after
        elsewhere = sum(
            count - first.get(vm_id, 0)
            for vm_id, count in before.items()
            if vm_id not in inside
        )
        return last_s, elsewhere

    def _read(self, name, path):
        address = self._fleet.addresses_by_name[name]
        return clients.call('GET', address, path).document
