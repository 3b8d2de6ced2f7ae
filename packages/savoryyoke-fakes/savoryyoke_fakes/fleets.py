"""Run a fleet of real daemons with a fake platform and back ends."""

import dataclasses
import os
import pathlib
import tempfile
import time

from savoryyoke_fakes import clients
from savoryyoke_fakes import processes

READY_TIMEOUT_S = 20.0
POLL_S = 0.05

LANGUAGE = 'language'
ACCOUNT = 'account'

BASE_TEXT = """\
schema_version: 1
data_centres:
  dc-a: {region: north}
  dc-b: {region: north}
  dc-c: {region: north}
services:
  language:
    kind: model_group
    replicas: 3
    ranks_per_group: 4
    experts_per_layer: 8
    expert_layers: 2
    models:
      drafts: {versions: ["1"], default_version: "1"}
    operations:
      complete:
        method: POST
        path: /v1/completions
        idempotent: true
        timeout_s: 20.0
    warm_up: {initial_concurrency: 4}
    admission: {max_concurrency: 32, queue_limit: 64}
  account:
    kind: application
    replicas: 2
    operations:
      pay:
        method: POST
        path: /v1/payments
        idempotent: false
        timeout_s: 10.0
        priority: 3
      balance:
        method: GET
        path: /v1/balance
        idempotent: true
        timeout_s: 5.0
    warm_up: {initial_concurrency: 4}
    admission: {max_concurrency: 32, queue_limit: 64}
teams:
  letters: {weight: 1.0}
  members: {weight: 2.0}
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetPlace:
    """Describe a target VM.

    ``backend_of`` is the id of another target VM whose back end is shared.
    """

    vm_id: str
    data_centre: str
    service: str
    backend_of: str | None = None

    @property
    def backend_name(self):
        """Return the process name of this target's back end."""
        return f'{self.backend_of or self.vm_id}.backend'


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryPlace:
    """Describe an entry VM."""

    vm_id: str
    data_centre: str


ENTRIES = tuple(
    EntryPlace(vm_id=f'entry-{letter}', data_centre=f'dc-{letter}')
    for letter in 'abc'
)
TARGETS = (
    *(
        TargetPlace(
            vm_id=f'engine-{letter}',
            data_centre=f'dc-{letter}',
            service=LANGUAGE,
        )
        for letter in 'abc'
    ),
    *(
        TargetPlace(
            vm_id=f'app-{letter}', data_centre=f'dc-{letter}', service=ACCOUNT
        )
        for letter in 'ab'
    ),
)


class Fleet:
    """Run the processes of a fleet; use it as a context manager.

    ``report`` is called with a line of text for each step of the start. With
    ``profile_directory``, each daemon writes a profile there when it ends.
    """

    def __init__(
        self,
        *,
        entries=ENTRIES,
        targets=TARGETS,
        base_text=BASE_TEXT,
        report=None,
        profile_directory=None,
    ):
        self._entries_by_id = {place.vm_id: place for place in entries}
        self._targets_by_id = {place.vm_id: place for place in targets}
        self._base_text = base_text
        self._profile_directory = profile_directory
        self._report = report or (lambda text: None)
        self._directory = tempfile.TemporaryDirectory()
        self.processes_by_name = {}
        self.addresses_by_name = {}
        self.admin_addresses_by_name = {}
        self.control_addresses_by_name = {}
        self._leaving = set()
        # Each fleet has its own loopback address. On a shared address, a
        # fleet could bind a port that another frees while it restarts a
        # process.
        number = os.getpid() % (1 << 16)
        self._host = f'127.{number >> 8}.{number & 255}.1'

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind, error, trace):
        self.close()

    def close(self):
        """Kill all processes and delete their logs."""
        for process in self.processes_by_name.values():
            process.kill()
        self._directory.cleanup()

    @property
    def entry_addresses(self):
        """Return the addresses of the running entries."""
        return [
            self.addresses_by_name[vm_id]
            for vm_id in self._entries_by_id
            if self.processes_by_name[vm_id].running
        ]

    def _start_all(self):
        self._report('starting the fake platform and back ends')
        self._launch_fake('platform', 'platform')
        backends = {
            place.backend_name: place for place in self._targets_by_id.values()
        }
        for place in backends.values():
            self._launch_backend(place.vm_id)
        self._await_fake('platform')
        self.publish('base', self._base_text)
        self.publish('overlay/demo', '')
        for name in backends:
            self._await_fake(name)
        for vm_id, place in self._targets_by_id.items():
            self._report(f'starting target {vm_id} ({place.service})')
            self._launch_target(vm_id)
        for vm_id in self._entries_by_id:
            self._report(f'starting entry {vm_id}')
            self._launch_entry(vm_id)
        for vm_id in self._targets_by_id:
            self._await_daemon(vm_id, 'target_started')
        for vm_id in self._entries_by_id:
            self._await_daemon(vm_id, 'entry_started')
        self.publish_vms()
        self.wait_until_ready()

    def start_backend(self, vm_id):
        """Start the fake engine or application of a target VM."""
        self._launch_backend(vm_id)
        self._await_fake(f'{vm_id}.backend')

    def start_target(self, vm_id):
        """Start the target process of a target VM."""
        self._launch_target(vm_id)
        self._await_daemon(vm_id, 'target_started')

    def start_entry(self, vm_id):
        """Start the entry daemon of an entry VM."""
        self._launch_entry(vm_id)
        self._await_daemon(vm_id, 'entry_started')

    def _launch_backend(self, vm_id):
        place = self._targets_by_id[vm_id]
        module = 'engine' if place.service == LANGUAGE else 'application'
        self._launch_fake(place.backend_name, module)

    def _launch_fake(self, name, module):
        """Start a fake; after a restart it keeps its address."""
        address = self.addresses_by_name.get(name, f'{self._host}:0')
        self._start(
            name,
            f'savoryyoke_fakes.{module}',
            f'--listen_address={address}',
        )

    def _await_fake(self, name):
        fields = self.processes_by_name[name].wait_for_event('ready')
        self.addresses_by_name[name] = fields['address']

    def _launch_target(self, vm_id):
        place = self._targets_by_id[vm_id]
        kind = 'engine' if place.service == LANGUAGE else 'application'
        backend = self.addresses_by_name[place.backend_name]
        self._start(
            vm_id,
            'savoryyoke_target',
            'run',
            f'--target-id={vm_id}',
            f'--service={place.service}',
            f'--backend-url=http://{backend}',
            f'--backend-kind={kind}',
            *self._build_flags(vm_id, place.data_centre),
        )

    def _launch_entry(self, vm_id):
        place = self._entries_by_id[vm_id]
        self._start(
            vm_id,
            'savoryyoke_entry',
            'run',
            *self._build_flags(vm_id, place.data_centre),
        )

    def _await_daemon(self, vm_id, event):
        fields = self.processes_by_name[vm_id].wait_for_event(event)
        self.addresses_by_name[vm_id] = fields['address']
        self.admin_addresses_by_name[vm_id] = fields['admin_address']
        self.control_addresses_by_name[vm_id] = fields['control_address']

    def _build_flags(self, vm_id, data_centre):
        address = self.addresses_by_name.get(vm_id, f'{self._host}:0')
        control = self.control_addresses_by_name.get(vm_id, f'{self._host}:0')
        platform = self.addresses_by_name['platform']
        return (
            f'--vm-id={vm_id}',
            f'--data-centre={data_centre}',
            '--site=demo',
            f'--listen-address={address}',
            f'--control-address={control}',
            f'--platform-url=http://{platform}',
        )

    def _build_profiler(self, name):
        """Return the arguments that run a daemon under a profiler."""
        is_daemon = name in self._targets_by_id or name in self._entries_by_id
        if self._profile_directory is None or not is_daemon:
            return []
        path = pathlib.Path(self._profile_directory, f'{name}.profile')
        return ['-m', 'savoryyoke_fakes.profiles', str(path)]

    def _start(self, name, module, *flags):
        process = processes.Process(
            name=name,
            arguments=[*self._build_profiler(name), '-m', module, *flags],
            log_path=pathlib.Path(self._directory.name, f'{name}.log'),
        )
        self.processes_by_name[name] = process
        process.start()

    def publish(self, name, text):
        """Publish a configuration text and return its revision."""
        answer = self._post_control('publish', {'name': name, 'text': text})
        return answer.document['revision']

    def set_platform_down(self, down):
        """Make the platform answer with status 503, or normally again."""
        self._post_control('faults', {'down': down})

    def set_stale(self, stale):
        """Make the platform answer with the first or the current values."""
        self._post_control('faults', {'stale': stale})

    def publish_vms(self):
        """Publish the current list of VMs."""
        rows = [
            self._build_row(place, 'target', place.service)
            for place in self._targets_by_id.values()
        ]
        rows += [
            self._build_row(place, 'entry', '')
            for place in self._entries_by_id.values()
        ]
        self._post_control('vms', {'vms': rows})

    def mark_leaving(self, vm_id):
        """Publish the VM list with the state ``leaving`` for a VM."""
        self._leaving.add(vm_id)
        self.publish_vms()

    def mark_live(self, vm_id):
        """Publish the VM list with the state ``live`` for a VM."""
        self._leaving.discard(vm_id)
        self.publish_vms()

    def _build_row(self, place, role, service):
        return {
            'vm_id': place.vm_id,
            'role': role,
            'service': service,
            'data_centre': place.data_centre,
            'state': 'leaving' if place.vm_id in self._leaving else 'live',
            'address': self.addresses_by_name[place.vm_id],
            'control_address': self.control_addresses_by_name[place.vm_id],
        }

    def _post_control(self, action, body):
        address = self.addresses_by_name['platform']
        return clients.call('POST', address, f'/control/{action}', body=body)

    def read_status(self, name):
        """Return the status document of a daemon."""
        address = self.admin_addresses_by_name[name]
        return clients.call('GET', address, '/status').document

    def wait_until_ready(self):
        """Wait until all running daemons are configured and connected.

        Raise ``TimeoutError`` if a daemon takes longer than
        ``READY_TIMEOUT_S`` seconds.
        """
        for vm_id in (*self._targets_by_id, *self._entries_by_id):
            if self.processes_by_name[vm_id].running:
                self._wait_for_configuration(vm_id)
        running = sum(
            self.processes_by_name[vm_id].running
            for vm_id in self._targets_by_id
        )
        for vm_id in self._entries_by_id:
            if self.processes_by_name[vm_id].running:
                self.wait_for_status(
                    vm_id, ready=True, targets_connected=running
                )
        for vm_id in self._targets_by_id:
            if self._has_running_processes(vm_id):
                self._wait_for_backend(vm_id)

    def _has_running_processes(self, vm_id):
        """Return whether the target and its back end are running."""
        names = (vm_id, self._targets_by_id[vm_id].backend_name)
        return all(self.processes_by_name[name].running for name in names)

    def _wait_for_backend(self, vm_id):
        """Wait until a target has detected its back end."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self.read_status(vm_id)['limit']:
            if time.monotonic() > deadline_s:
                raise TimeoutError(f'{vm_id} has not detected its back end')
            time.sleep(POLL_S)

    def _wait_for_configuration(self, name):
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not self.read_status(name)['revision']:
            if time.monotonic() > deadline_s:
                raise TimeoutError(f'{name} has no configuration')
            time.sleep(POLL_S)

    def wait_for_status(self, name, **wanted):
        """Wait until a daemon's status has the ``wanted`` fields; return it.

        Raise ``TimeoutError`` after ``READY_TIMEOUT_S`` seconds.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        status = {}
        while time.monotonic() < deadline_s:
            status = self.read_status(name)
            if all(status.get(key) == item for key, item in wanted.items()):
                return status
            time.sleep(POLL_S)
        log = self.processes_by_name[name].read_log()
        raise TimeoutError(f'{name}: {status} is not {wanted}\n{log}')

    def count_runs(self):
        """Return the runs of each payment reference in all applications."""
        runs = {}
        for vm_id, place in self._targets_by_id.items():
            if place.service != ACCOUNT:
                continue
            address = self.addresses_by_name[f'{vm_id}.backend']
            answer = clients.call('GET', address, '/control/runs')
            for reference, count in answer.document.items():
                runs[reference] = runs.get(reference, 0) + count
        return runs

    def set_backend_faults(self, vm_id, **faults):
        """Change the faults of a target's back end."""
        address = self.addresses_by_name[f'{vm_id}.backend']
        clients.call('POST', address, '/control/faults', body=faults)
