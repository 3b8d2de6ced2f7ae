"""Test that callers get complete answers or accurate refusals."""

import json
import socket
import time

from savoryyoke_fakes import clients
from savoryyoke_fakes import engine
from savoryyoke_fakes import fleets
from tests import support

TOKENS = 40
ENGINES = ('engine-a', 'engine-b', 'engine-c')
# Entries treat a target as unreachable after two seconds without a message.
SILENCE_S = 2.5
OUTAGE_S = 1.0


class WholeAnswerTests(support.FleetTestCase):
    """Test streamed answers while engines and targets fail."""

    def tearDown(self):
        """Restart stopped processes and switch the faults off."""
        for vm_id in ENGINES:
            if not self.fleet.processes_by_name[f'{vm_id}.backend'].running:
                self.fleet.start_backend(vm_id)
            if not self.fleet.processes_by_name[vm_id].running:
                self.fleet.start_target(vm_id)
            self.fleet.set_backend_faults(
                vm_id,
                truncate_after=None,
                stall_after=None,
                token_interval_s=0.002,
            )
        self.fleet.wait_until_ready()
        super().tearDown()

    def assert_whole(self, answer):
        """Check for each token once, in order, and an end event."""
        self.assertEqual(200, answer.status)
        indexes, ended = clients.read_tokens(answer)
        self.assertEqual(list(range(TOKENS)), indexes)
        self.assertTrue(ended)

    def set_faults(self, *vm_ids, **faults):
        """Set the given faults on several engines."""
        for vm_id in vm_ids:
            self.fleet.set_backend_faults(vm_id, **faults)

    def find_serving_targets(self):
        """Return the VM ids of the targets that are running a call."""
        return [
            vm_id
            for vm_id in ENGINES
            if self.fleet.read_status(vm_id)['running']
        ]

    def test_engines_that_die_half_way_lose_and_splice_nothing(self):
        self.set_faults('engine-a', 'engine-b', truncate_after=TOKENS // 2)
        answer = self.client.complete('half way', max_tokens=TOKENS)
        self.assert_whole(answer)

    def test_target_process_that_dies_half_way_is_replaced(self):
        self.set_faults(*ENGINES, token_interval_s=0.02)
        call = support.Background(
            self.client.complete, 'target dies', max_tokens=TOKENS
        )
        support.wait_until(self.find_serving_targets)
        for vm_id in self.find_serving_targets():
            self.fleet.processes_by_name[vm_id].kill()
        self.assert_whole(call.get())

    def test_begun_answer_waits_until_a_target_is_heard_again(self):
        self.set_faults(*ENGINES, token_interval_s=0.1)
        call = support.Background(
            self.client.complete, 'none is heard', max_tokens=TOKENS
        )
        support.wait_until(self.find_serving_targets)
        (serving,) = self.find_serving_targets()
        other_targets = [
            self.fleet.processes_by_name[vm_id]
            for vm_id in ENGINES
            if vm_id != serving
        ]
        for process in other_targets:
            process.freeze()
        try:
            time.sleep(SILENCE_S)
            self.fleet.processes_by_name[serving].kill()
            time.sleep(OUTAGE_S)
        finally:
            for process in other_targets:
                process.thaw()
        self.assert_whole(call.get())

    def test_answer_that_cannot_be_completed_fails_aloud(self):
        self.set_faults(*ENGINES, truncate_after=TOKENS // 2)
        answer = self.client.complete('all die', max_tokens=TOKENS)
        self.assertFalse(answer.whole)
        indexes, ended = clients.read_tokens(answer)
        self.assertEqual(list(range(TOKENS // 2)), indexes)
        self.assertFalse(ended)
        problem = answer.body.split(b'event: error\ndata: ')[1]
        self.assertEqual('may-have-run', json.loads(problem)['outcome'])

    def test_caller_that_leaves_frees_the_engine(self):
        self.set_faults(*ENGINES, stall_after=3)
        with self.assertRaises(clients.httpcore.ReadTimeout):
            clients.call(
                'POST',
                self.client.address,
                '/v1/completions',
                body={'prompt': 'x', 'max_tokens': 9, 'stream': True},
                headers={'savoryyoke-team': 'members'},
                timeout_s=0.5,
            )
        support.wait_until(lambda: not self.find_serving_targets())

    def test_two_callers_never_see_each_others_tokens(self):
        calls = [
            support.Background(
                self.client.complete, f'caller {number}', max_tokens=TOKENS
            )
            for number in range(12)
        ]
        for number, call in enumerate(calls):
            answer = call.get()
            self.assert_whole(answer)
            words = [
                json.loads(event[6:])['choices'][0]['text'].strip()
                for event in answer.body.split(b'\n\n')
                if event.startswith(b'data: {')
            ]
            expected = [
                engine.compute_token(f'caller {number}', index)
                for index in range(TOKENS)
            ]
            self.assertEqual(expected, words)

    def test_slow_reader_gets_its_whole_answer_and_delays_nobody(self):
        self.set_faults(*ENGINES, token_interval_s=0.0)
        host, port = self.client.address.split(':')
        body = json.dumps(
            {'prompt': 'slow', 'max_tokens': 20000, 'stream': True}
        )
        request = (
            'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
            'savoryyoke-team: members\r\n'
            f'content-length: {len(body)}\r\n\r\n{body}'
        )
        with socket.create_connection((host, int(port))) as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            slow.sendall(request.encode())
            slow.settimeout(support.WAIT_S)
            received = slow.recv(100)
            for _ in range(5):
                answer = self.client.complete('quick', max_tokens=TOKENS)
                self.assert_whole(answer)
            while b'data: [DONE]\n\n' not in received[-100:]:
                part = slow.recv(65536)
                self.assertTrue(
                    part, 'connection closed before the end of the answer'
                )
                received += part
        self.assertEqual(20000, received.count(b'token_index'))


class BadInputTests(support.FleetTestCase):
    """Test malformed, oversized, slow and forged input."""

    def send(self, data):
        """Send raw bytes; return all received bytes until the close."""
        host, port = self.client.address.split(':')
        with socket.create_connection((host, int(port))) as connection:
            connection.settimeout(support.WAIT_S)
            connection.sendall(data)
            received = b''
            while part := connection.recv(65536):
                received += part
            return received

    def test_malformed_requests_get_a_clear_refusal(self):
        team = {'savoryyoke-team': 'members'}
        cases = (
            ('GET', '/v1/nothing', {}, 404),
            ('GET', '/v1/balance', {}, 403),
            ('GET', '/v1/balance', {'savoryyoke-team': 'nobody'}, 403),
            ('GET', '/v1/balance?' + 'x' * 3000, team, 400),
            ('GET', '/v1/balance', {**team, 'savoryyoke-timeout-s': 'x'}, 400),
            ('GET', '/v1/balance', {**team, 'x-long': 'x' * 9000}, 400),
            ('POST', '/v1/payments', {**team, 'idempotency-key': 'x'}, 428),
            (
                'POST',
                '/v1/payments',
                {**team, 'idempotency-key': 'sy1~a~b~c~d'},
                428,
            ),
        )
        for method, path, headers, status in cases:
            with self.subTest(path=path[:40], headers=str(headers)[:60]):
                answer = clients.call(
                    method, self.client.address, path, headers=headers
                )
                self.assertEqual(status, answer.status)
                self.assertEqual('not-run', answer.outcome)

    def test_oversize_body_is_refused_before_it_is_read(self):
        answer = clients.call(
            'POST',
            self.client.address,
            '/v1/completions',
            body={'prompt': 'x' * (2 * 1024 * 1024)},
            headers={'savoryyoke-team': 'members'},
        )
        self.assertEqual(413, answer.status)

    def test_slow_headers_are_cut_off_while_others_are_served(self):
        host, port = self.client.address.split(':')
        with socket.create_connection((host, int(port))) as slow:
            slow.settimeout(support.WAIT_S)
            slow.sendall(b'GET /v1/balance HTTP/1.1\r\nhost:')
            self.assertEqual(200, self.client.look_up().status)
            self.assertEqual(b'', slow.recv(1))

    def test_garbage_on_the_wire_is_closed_and_harms_nobody(self):
        for vm_id in ('engine-a', 'app-a'):
            host, port = self.fleet.addresses_by_name[vm_id].split(':')
            for data in (
                b'GET / HTTP/1.1\r\n\r\n',
                b'SYK\x01\xff\xff\xff\xff',
            ):
                with socket.create_connection((host, int(port))) as peer:
                    peer.settimeout(support.WAIT_S)
                    peer.sendall(data)
                    while peer.recv(65536):
                        pass
        self.assertEqual(200, self.client.look_up().status)
        answer = self.client.complete('after', max_tokens=4)
        self.assertEqual([0, 1, 2, 3], clients.read_tokens(answer)[0])

    def test_forged_log_lines_stay_within_their_value(self):
        forged = '/v1/x%0Aevent=drain_started%20vm=forged'
        clients.call('GET', self.client.address, forged)
        for place in fleets.ENTRIES:
            log = self.fleet.processes_by_name[place.vm_id].read_log()
            lines = log.splitlines()
            self.assertFalse(
                [line for line in lines if line.startswith('event=drain')]
            )
