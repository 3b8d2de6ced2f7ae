"""Publish changes of a base and watch what is in force where."""

import threading
import time

import httpcore

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets

SAMPLE_S = 0.2
STATUS_TIMEOUT_S = 1.0


class Base:
    """Build the texts of the base that a scenario publishes."""

    def __init__(self, *, text=fleets.BASE_TEXT):
        self._text = text
        self._teams = []
        self._data_centres_out = set()

    def add_team(self, team):
        """Declare one more team."""
        self._teams.append(team)

    def set_state(self, data_centre, state):
        """Take a data centre out or in."""
        if state == 'out':
            self._data_centres_out.add(data_centre)
        else:
            self._data_centres_out.discard(data_centre)

    def render(self):
        """Return the text with all changes."""
        text = self._text
        for data_centre in self._data_centres_out:
            text = text.replace(
                f'  {data_centre}: {{region: north}}\n',
                f'  {data_centre}: {{region: north, state: out}}\n',
            )
        return text + ''.join(
            f'  {team}: {{weight: 1.0}}\n' for team in self._teams
        )


class Watch:
    """Sample the revisions in force at all daemons in a thread."""

    def __init__(self, *, fleet, vm_ids):
        self._fleet = fleet
        self._vm_ids = vm_ids
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._newest_by_vm_id = {}
        self.frozen = set()
        self.reversions = []
        self.samples = 0

    def start(self):
        """Begin to sample."""
        self._thread.start()

    def stop(self):
        """End sampling."""
        self._stopped.set()
        self._thread.join()

    def read_all(self):
        """Return the status of each daemon that runs, by its VM."""
        statuses = {}
        for vm_id in self._vm_ids:
            process = self._fleet.processes_by_name[vm_id]
            if process.running and vm_id not in self.frozen:
                statuses[vm_id] = self._read(vm_id)
        return statuses

    def _read(self, vm_id):
        address = self._fleet.admin_addresses_by_name[vm_id]
        try:
            answer = clients.call(
                'GET', address, '/status', timeout_s=STATUS_TIMEOUT_S
            )
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return {}
        except httpcore.ProtocolError:
            return {}
        return answer.document if answer.status == 200 else {}

    def _run(self):
        while not self._stopped.wait(SAMPLE_S):
            for vm_id, status in self.read_all().items():
                self.note(vm_id, status.get('revision'))

    def note(self, vm_id, revision):
        """Take in a sample; an older revision than before is kept."""
        if not revision:
            return
        self.samples += 1
        key = tuple(int(part) for part in revision.split('.'))
        newest = self._newest_by_vm_id.setdefault(vm_id, key)
        if any(mine < other for mine, other in zip(key, newest, strict=True)):
            at_s = time.monotonic()
            self.reversions.append(
                f'{vm_id} went from {newest} to {key} at {at_s:.1f}'
            )
        self._newest_by_vm_id[vm_id] = key
