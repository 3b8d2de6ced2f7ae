"""Test that planned stops interrupt no request and lose no record."""

import threading

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support

TOKENS = 60


class Traffic:
    """Send calls one after another until it is stopped."""

    def __init__(self, call):
        self._call = call
        self._stopped = threading.Event()
        self._error = None
        self.answers = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        try:
            while not self._stopped.is_set():
                self.answers.append(self._call(len(self.answers)))
        except Exception as error:
            self._error = error

    def stop(self):
        """Stop sending; return all answers or raise a call's error."""
        self._stopped.set()
        self._thread.join(support.WAIT_S)
        if self._error is not None:
            raise self._error
        return self.answers


class TargetStopTests(support.FleetTestCase):
    """Test the planned stop of a target."""

    def tearDown(self):
        """Restart the targets that a test has stopped."""
        for place in fleets.TARGETS:
            if not self.fleet.processes_by_name[place.vm_id].running:
                self.fleet.start_target(place.vm_id)
        self.fleet.wait_until_ready()
        super().tearDown()

    def test_repeats_and_new_calls_go_to_the_successor(self):
        paid_key = self.client.build_key(fleets.ACCOUNT, 'ran-before')
        unused_key = self.client.build_key(fleets.ACCOUNT, 'first-after')
        target = paid_key.split('~')[1]
        before = self.client.pay('ran-before', paid_key)
        process = self.fleet.processes_by_name[target]
        process.terminate()
        self.assert_stopped(process)
        after = self.client.pay('ran-before', paid_key)
        self.assertEqual((200, before.body), (after.status, after.body))
        self.assertEqual(1, self.count_runs('ran-before'))
        first = self.client.pay('first-after', unused_key)
        self.assertEqual(200, first.status)
        again = self.client.pay(
            'first-after', unused_key, address=self.fleet.entry_addresses[1]
        )
        self.assertEqual(first.body, again.body)
        self.assertEqual(1, self.count_runs('first-after'))

    def test_payment_in_progress_ends_and_its_record_reaches_the_successor(
        self,
    ):
        key = self.client.build_key(fleets.ACCOUNT, 'in-progress')
        target = key.split('~')[1]
        self.fleet.set_backend_faults(target, payment_s=1.0)
        call = support.Background(self.client.pay, 'in-progress', key)
        support.wait_until(lambda: self.count_runs('in-progress') == 1)
        process = self.fleet.processes_by_name[target]
        process.terminate()
        answer = call.get()
        self.assertEqual(200, answer.status)
        self.assert_stopped(process)
        again = self.client.pay('in-progress', key)
        self.assertEqual((200, answer.body), (again.status, again.body))
        self.assertEqual(1, self.count_runs('in-progress'))
        self.fleet.set_backend_faults(target, payment_s=0.005)

    def test_payments_during_the_stop_all_run_once(self):
        directory = {}

        def pay(number):
            if number % 5 == 0:
                directory.update(self.client.ask_directory())
            reference = f'stop-{number}'
            key = self.client.build_key(fleets.ACCOUNT, reference)
            return self.client.pay(reference, key)

        traffic = Traffic(pay)
        support.wait_until(lambda: len(traffic.answers) > 5)
        process = self.fleet.processes_by_name['app-a']
        process.terminate()
        self.assert_stopped(process)
        answers = traffic.stop()
        self.assertEqual({200}, {answer.status for answer in answers})
        counts = self.fleet.count_runs()
        for number in range(len(answers)):
            self.assertEqual(1, counts[f'stop-{number}'])

    def test_streams_in_progress_complete(self):
        for vm_id in ('engine-a', 'engine-b', 'engine-c'):
            self.fleet.set_backend_faults(vm_id, token_interval_s=0.02)
        call = support.Background(
            self.client.complete, 'stop', max_tokens=TOKENS
        )
        engines = ('engine-a', 'engine-b', 'engine-c')
        support.wait_until(
            lambda: any(
                self.fleet.read_status(vm_id)['running'] for vm_id in engines
            )
        )
        (serving,) = [
            vm_id
            for vm_id in engines
            if self.fleet.read_status(vm_id)['running']
        ]
        process = self.fleet.processes_by_name[serving]
        process.terminate()
        indexes, ended = clients.read_tokens(call.get())
        self.assertEqual((list(range(TOKENS)), True), (indexes, ended))
        self.assert_stopped(process)
        log = process.read_log()
        self.assertIn('event=drain_finished', log)
        self.assertIn('unfinished=0', log)
        for vm_id in engines:
            self.fleet.set_backend_faults(vm_id, token_interval_s=0.002)


class EntryStopTests(support.FleetTestCase):
    """Test the planned stop of an entry."""

    def test_caller_with_an_old_directory_is_served_until_it_expires(self):
        lifetime_s = self.client.directory['lifetime_s']
        address = self.client.address
        (vm_id,) = [
            place.vm_id
            for place in fleets.ENTRIES
            if self.fleet.addresses_by_name[place.vm_id] == address
        ]
        streaming_call = support.Background(
            self.client.complete, 'stop', max_tokens=TOKENS
        )
        process = self.fleet.processes_by_name[vm_id]
        started_s = support.time.monotonic()
        process.terminate()
        self.fleet.wait_for_status(vm_id, draining=True)
        answer = self.client.look_up(address=address)
        if support.time.monotonic() - started_s < lifetime_s:
            self.assertEqual(200, answer.status)
        directory = clients.call('GET', address, '/v1/directory').document
        listed_addresses = [entry['address'] for entry in directory['entries']]
        self.assertNotIn(address, listed_addresses)
        self.assertTrue(listed_addresses)
        indexes, ended = clients.read_tokens(streaming_call.get())
        self.assertEqual((list(range(TOKENS)), True), (indexes, ended))
        self.assert_stopped(process)
