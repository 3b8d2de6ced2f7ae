"""Test with real processes that a payment runs at most once.

An answer must also never contradict whether the payment ran.
"""

import socket

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support

# A refusal covers payments that arrive up to a second after it. After this
# time the entries' timestamps are newer than the refusal.
REFUSAL_EXPIRY_S = 2.5


def parse_target(key):
    """Return the VM id of the target to which a key is bound."""
    return key.split('~')[1]


class RepeatedPaymentTests(support.FleetTestCase):
    """Test payments that are sent more than once."""

    def test_same_key_at_the_same_moment_at_all_entries(self):
        key = self.client.build_key(fleets.ACCOUNT, 'same-moment')
        calls = [
            support.Background(
                self.client.pay, 'same-moment', key, address=address
            )
            for address in self.fleet.entry_addresses
        ]
        answers = [call.get() for call in calls]
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(1, len({answer.body for answer in answers}))
        self.assertEqual(1, self.count_runs('same-moment'))

    def test_same_key_with_another_body_is_refused(self):
        key = self.client.build_key(fleets.ACCOUNT, 'other-body')
        self.assertEqual(200, self.client.pay('other-body', key).status)
        answer = self.client.pay('other-body-2', key)
        self.assertEqual(422, answer.status)
        self.assertEqual('not-run', answer.outcome)
        self.assertEqual(0, self.count_runs('other-body-2'))

    def test_refusal_made_without_the_ledger_never_says_not_run(self):
        key = self.client.build_key(fleets.ACCOUNT, 'ran-first')
        self.assertEqual(200, self.client.pay('ran-first', key).status)
        team = {'savoryyoke-team': 'members', 'idempotency-key': key}
        cases = (
            ({**team, 'savoryyoke-timeout-s': 'x'}, {}, 400),
            ({**team, 'savoryyoke-team': 'nobody'}, {}, 403),
            (team, {'reference': 'x' * (2 * 1024 * 1024)}, 413),
        )
        for headers, body, status in cases:
            with self.subTest(status=status):
                answer = clients.call(
                    'POST',
                    self.client.address,
                    '/v1/payments',
                    body=body,
                    headers=headers,
                )
                self.assertEqual(status, answer.status)
                self.assertEqual('may-have-run', answer.outcome)

    def test_key_without_binding_does_not_run(self):
        answer = self.client.pay('plain', 'plain-key')
        self.assertEqual(428, answer.status)
        self.assertEqual(0, self.count_runs('plain'))
        bound = f'{answer.document["binding"]}~plain'
        self.assertEqual(200, self.client.pay('plain', bound).status)
        self.assertEqual(1, self.count_runs('plain'))

    def test_repeat_after_all_entries_were_replaced(self):
        key = self.client.build_key(fleets.ACCOUNT, 'replaced')
        first = self.client.pay('replaced', key)
        for place in fleets.ENTRIES:
            self.fleet.processes_by_name[place.vm_id].kill()
        for place in fleets.ENTRIES:
            self.fleet.start_entry(place.vm_id)
        self.fleet.wait_until_ready()
        second = self.client.pay('replaced', key)
        self.assertEqual((200, first.body), (second.status, second.body))
        self.assertEqual(1, self.count_runs('replaced'))


class FrozenEntryTests(support.FleetTestCase):
    """Test an entry whose process is frozen and continues later."""

    def test_entry_frozen_after_sending_thaws_after_the_repeat(self):
        entry = fleets.ENTRIES[0].vm_id
        addresses = self.fleet.entry_addresses
        key = self.client.build_key(fleets.ACCOUNT, 'frozen')
        self.fleet.set_backend_faults(parse_target(key), payment_s=0.5)
        first = support.Background(
            self.client.pay, 'frozen', key, address=addresses[0]
        )
        support.wait_until(lambda: self.count_runs('frozen') == 1)
        self.fleet.processes_by_name[entry].freeze()
        second = self.client.pay('frozen', key, address=addresses[1])
        self.fleet.processes_by_name[entry].thaw()
        self.assertEqual(200, second.status)
        self.assertEqual(second.body, first.get().body)
        self.assertEqual(1, self.count_runs('frozen'))
        self.fleet.set_backend_faults(parse_target(key), payment_s=0.005)

    def _freeze_with_pending_payment(self, reference):
        """Freeze an entry and send it a payment; return key and call."""
        entry = self.fleet.processes_by_name[fleets.ENTRIES[0].vm_id]
        key = self.client.build_key(fleets.ACCOUNT, reference)
        entry.freeze()
        pending_call = support.Background(
            self.client.pay,
            reference,
            key,
            address=self.fleet.entry_addresses[0],
        )
        support.time.sleep(1.0)
        return key, pending_call

    def test_payment_refused_elsewhere_does_not_run_after_the_thaw(self):
        addresses = self.fleet.entry_addresses
        entry = self.fleet.processes_by_name[fleets.ENTRIES[0].vm_id]
        key, pending_call = self._freeze_with_pending_payment('late')
        target = parse_target(key)
        self.fleet.processes_by_name[f'{target}.backend'].kill()
        refused = self.client.pay('late', key, address=addresses[1])
        self.assertEqual('not-run', refused.outcome)
        self.fleet.start_backend(target)
        # After this wait the entries' timestamps are newer than the refusal.
        support.time.sleep(REFUSAL_EXPIRY_S)
        entry.thaw()
        answer = pending_call.get()
        self.assertEqual((503, 'not-run'), (answer.status, answer.outcome))
        self.assertEqual(0, self.count_runs('late'))

    def test_first_payment_runs_once_after_the_thaw(self):
        entry = self.fleet.processes_by_name[fleets.ENTRIES[0].vm_id]
        key, pending_call = self._freeze_with_pending_payment('patient')
        entry.thaw()
        self.assertEqual(200, pending_call.get().status)
        again = self.client.pay(
            'patient', key, address=self.fleet.entry_addresses[1]
        )
        self.assertEqual(200, again.status)
        self.assertEqual(1, self.count_runs('patient'))


class SlowCallerTests(support.FleetTestCase):
    """Test a caller whose body arrives long after its headers."""

    def test_body_that_comes_after_a_refusal_does_not_run(self):
        addresses = self.fleet.entry_addresses
        key = self.client.build_key(fleets.ACCOUNT, 'slow-body')
        host, port = addresses[0].split(':')
        body = b'{"reference": "slow-body", "cents": 100}'
        head = (
            'POST /v1/payments HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
            f'savoryyoke-team: members\r\nidempotency-key: {key}\r\n'
            'content-type: application/json\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        with socket.create_connection((host, int(port))) as connection:
            connection.settimeout(support.WAIT_S)
            connection.sendall(head.encode())
            backend = f'{parse_target(key)}.backend'
            self.fleet.processes_by_name[backend].kill()
            refused = self.client.pay('slow-body', key, address=addresses[1])
            self.assertEqual('not-run', refused.outcome)
            self.fleet.start_backend(parse_target(key))
            support.time.sleep(REFUSAL_EXPIRY_S)
            connection.sendall(body)
            answer = connection.makefile('rb').read()
        self.assertIn(b'"outcome": "not-run"', answer)
        self.assertEqual(0, self.count_runs('slow-body'))


class DeadTargetTests(support.FleetTestCase):
    """Test target and application processes that are killed."""

    def _start_hanging_payment(self, reference):
        """Return key, target and call of a payment that never finishes."""
        key = self.client.build_key(fleets.ACCOUNT, reference)
        target = parse_target(key)
        self.fleet.set_backend_faults(target, hang=True)
        call = support.Background(self.client.pay, reference, key)
        support.wait_until(lambda: self.count_runs(reference) == 1)
        return key, target, call

    def test_target_dies_after_the_application_got_the_payment(self):
        key, target, call = self._start_hanging_payment('died')
        self.fleet.processes_by_name[target].kill()
        answer = call.get()
        self.assertEqual('may-have-run', answer.outcome)
        self.fleet.start_target(target)
        self.fleet.set_backend_faults(target, hang=False)
        self.fleet.wait_until_ready()
        again = self.client.pay('died', key)
        self.assertEqual('may-have-run', again.outcome)
        self.assertEqual(1, self.count_runs('died'))

    def test_application_dies_while_it_runs_a_payment(self):
        key, target, call = self._start_hanging_payment('lost')
        self.fleet.processes_by_name[f'{target}.backend'].kill()
        answer = call.get()
        self.assertEqual('may-have-run', answer.outcome)
        self.fleet.start_backend(target)
        again = self.client.pay('lost', key)
        self.assertEqual('may-have-run', again.outcome)
        # The counter of the replaced application starts from zero.
        self.assertEqual(0, self.count_runs('lost'))

    def test_payment_is_not_run_while_its_application_is_down(self):
        self.client.ask_directory()
        key = self.client.build_key(fleets.ACCOUNT, 'down')
        target = parse_target(key)
        backend = self.fleet.processes_by_name[f'{target}.backend']
        backend.kill()
        answer = self.client.pay('down', key)
        self.assertEqual((503, 'not-run'), (answer.status, answer.outcome))
        self.fleet.start_backend(target)
        retry_after_s = int(answer.headers_by_name['retry-after'])
        support.time.sleep(retry_after_s)
        self.assertEqual(200, self.client.pay('down', key).status)
        self.assertEqual(1, self.count_runs('down'))


class CallerTests(support.FleetTestCase):
    """Test callers that disconnect before the answer."""

    def test_repeat_after_a_caller_timeout_is_answered_from_the_record(self):
        key = self.client.build_key(fleets.ACCOUNT, 'left')
        target = parse_target(key)
        self.fleet.set_backend_faults(target, payment_s=0.5)
        with self.assertRaises(clients.httpcore.ReadTimeout):
            self.client.pay('left', key, timeout_s=0.2)
        answer = self.client.pay('left', key)
        self.assertEqual(200, answer.status)
        self.assertEqual(1, self.count_runs('left'))
        self.fleet.set_backend_faults(target, payment_s=0.005)
