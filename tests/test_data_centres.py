"""Test that data centres and targets taken out get no new calls."""

import threading

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support

NO_NEW_CALLS_AFTER_S = 5.0
CONFIGURATION_CHANGE_BOUND_S = 19.0
DATA_CENTRE_OUT_TEXT = fleets.BASE_TEXT.replace(
    'dc-a: {region: north}', 'dc-a: {region: north, state: out}'
)
TARGETS_TAKEN_OUT = ('engine-a', 'app-a')


class MixedTraffic:
    """Send completions, lookups and payments in parallel until stopped."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stopped = threading.Event()
        self.answers_by_kind = {'complete': [], 'look_up': [], 'pay': []}
        self._errors = []
        self._threads = [
            threading.Thread(target=self._run, args=(kind,))
            for kind in self.answers_by_kind
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, kind):
        client = clients.Client(
            team='members', entry_addresses=self._fleet.entry_addresses
        )
        try:
            while not self._stopped.is_set():
                client.ask_directory()
                answer = self._call(client, kind)
                self.answers_by_kind[kind].append(answer)
        except Exception as error:
            self._errors.append(error)

    def _call(self, client, kind):
        number = len(self.answers_by_kind[kind])
        if kind == 'complete':
            return client.complete(f'load {number}', max_tokens=8)
        if kind == 'look_up':
            return client.look_up()
        reference = f'load-{number}'
        key = client.build_key(fleets.ACCOUNT, reference)
        return client.pay(reference, key)

    def stop(self):
        """Stop sending; return the answers by kind or raise a call's error."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(support.WAIT_S)
        if self._errors:
            raise self._errors[0]
        return self.answers_by_kind


class DataCentreTests(support.FleetTestCase):
    """Test a data centre that is taken out of service and brought back."""

    def count_started_calls(self, vm_id):
        """Return how many calls the back end of a target has started."""
        address = self.fleet.addresses_by_name[f'{vm_id}.backend']
        if vm_id.startswith('app'):
            answer = clients.call('GET', address, '/control/started')
            return answer.document['started']
        return clients.call('GET', address, '/load').document['started']

    def wait_until_applied(self, revision):
        """Wait until each entry has applied a revision of the base."""
        support.wait_until(
            lambda: all(
                self.fleet.read_status(place.vm_id)['revision']
                == f'{revision}.2'
                for place in fleets.ENTRIES
            )
        )

    def assert_all_answered(self, answers_by_kind):
        """Check that each call succeeded and each payment ran once."""
        for kind, answers in answers_by_kind.items():
            self.assertGreater(len(answers), 3, kind)
            self.assertEqual(
                {200}, {answer.status for answer in answers}, kind
            )
        counts = self.fleet.count_runs()
        for number in range(len(answers_by_kind['pay'])):
            self.assertEqual(1, counts[f'load-{number}'])

    def test_data_centre_out_and_in_twice_under_load(self):
        traffic = MixedTraffic(self.fleet)
        for _ in range(2):
            started_s = support.time.monotonic()
            self.wait_until_applied(
                self.fleet.publish('base', DATA_CENTRE_OUT_TEXT)
            )
            elapsed_s = support.time.monotonic() - started_s
            self.assertLess(elapsed_s, CONFIGURATION_CHANGE_BOUND_S)
            support.time.sleep(NO_NEW_CALLS_AFTER_S)
            before = [
                self.count_started_calls(vm_id) for vm_id in TARGETS_TAKEN_OUT
            ]
            support.time.sleep(1.0)
            after = [
                self.count_started_calls(vm_id) for vm_id in TARGETS_TAKEN_OUT
            ]
            self.assertEqual(before, after)
            revision = self.fleet.publish('base', fleets.BASE_TEXT)
            self.wait_until_applied(revision)
            support.wait_until(
                lambda: self.count_started_calls('engine-a') > after[0]
            )
        self.assert_all_answered(traffic.stop())


class LeavingTargetTests(support.FleetTestCase):
    """Test a target that only the platform's VM list marks as leaving."""

    def test_listed_target_gets_no_new_work_after_the_bound(self):
        traffic = MixedTraffic(self.fleet)
        support.wait_until(
            lambda: len(traffic.answers_by_kind['complete']) > 5
        )
        self.fleet.mark_leaving('engine-a')
        support.time.sleep(NO_NEW_CALLS_AFTER_S)
        address = self.fleet.addresses_by_name['engine-a.backend']
        before = clients.call('GET', address, '/load').document['started']
        answered = len(traffic.answers_by_kind['complete'])
        support.wait_until(
            lambda: len(traffic.answers_by_kind['complete']) > answered + 10
        )
        after = clients.call('GET', address, '/load').document['started']
        self.assertEqual(before, after)
        answers = traffic.stop()
        self.assertEqual(
            {200}, {answer.status for answer in answers['complete']}
        )
