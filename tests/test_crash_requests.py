"""Test that only a request that crashes engines is quarantined."""

import json
import threading
import time

from savoryyoke.quarantine import conf
from savoryyoke_fakes import clients
from savoryyoke_fakes import engine
from savoryyoke_fakes import fleets
from tests import support

TOKENS = 20
MAX_CRASHING_SENDS = 12
HEALTHY_CALLERS = 6
HEALTHY_REQUESTS_PER_CALLER = 4
MAX_SENDS_PER_HEALTHY_REQUEST = 20
CRASH_TEXT = 'crash this engine'
TARGETS = tuple(
    fleets.TargetPlace(
        vm_id=f'engine-{letter}',
        data_centre=f'dc-{data_centre}',
        service=fleets.LANGUAGE,
    )
    for letter, data_centre in zip('abcde', 'abcab', strict=True)
)


class Supervisor:
    """Restart crashed engines and count the crashes."""

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.crashes = 0

    def __enter__(self):
        for place in TARGETS:
            self._set_faults(place.vm_id)
        self._thread.start()
        return self

    def __exit__(self, kind, error, trace):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(support.POLL_S):
            for place in TARGETS:
                name = f'{place.vm_id}.backend'
                if not self._fleet.processes_by_name[name].running:
                    self.crashes += 1
                    self._fleet.start_backend(place.vm_id)
                    self._set_faults(place.vm_id)

    def _set_faults(self, vm_id):
        self._fleet.set_backend_faults(
            vm_id, crash_text=CRASH_TEXT, token_interval_s=0.01
        )


class CrashingRequestTests(support.FleetTestCase):
    """Test a request that crashes every engine that runs it."""

    targets = TARGETS

    def send(self, prompt, number):
        """Send a prompt to an entry chosen in rotation by ``number``."""
        addresses = self.fleet.entry_addresses
        return self.client.complete(
            prompt,
            max_tokens=TOKENS,
            address=addresses[number % len(addresses)],
        )

    def send_until_quarantined(self, prompt):
        """Retry until the request is quarantined; return the last answer."""
        for number in range(MAX_CRASHING_SENDS):
            answer = self.send(prompt, number)
            if is_quarantined(answer):
                break
            wait_for_retry_after(answer)
        return answer

    def check_all_answers(self, caller):
        """Send all requests of one caller and check their answers."""
        for number in range(HEALTHY_REQUESTS_PER_CALLER):
            self.check_answer(f'innocent {caller} {number}', caller)

    def check_answer(self, prompt, caller):
        """Retry a request until its complete and correct answer arrives."""
        for number in range(MAX_SENDS_PER_HEALTHY_REQUEST):
            answer = self.send(prompt, caller + number)
            self.assertFalse(is_quarantined(answer), answer.body)
            if answer.status == 200 and clients.read_tokens(answer)[1]:
                self.assertEqual(
                    compute_expected_words(prompt), read_words(answer)
                )
                return
            wait_for_retry_after(answer)
        self.fail(f'{prompt}: no complete answer; the last answer: {answer}')

    def test_all_entries_refuse_it_and_other_requests_are_answered(self):
        healthy_calls = [
            support.Background(self.check_all_answers, caller)
            for caller in range(HEALTHY_CALLERS)
        ]
        with Supervisor(fleet=self.fleet) as supervisor:
            answer = self.send_until_quarantined(CRASH_TEXT)
            self.assertTrue(
                is_quarantined(answer),
                f'{supervisor.crashes} crashes, then {answer}',
            )
            self.assertEqual('not-run', answer.outcome)
            self.assertNotIn('retry-after', answer.headers_by_name)
            self.wait_until_each_entry_refuses()
            for call in healthy_calls:
                call.get()
            self.assertGreater(supervisor.crashes, 0)
            self.assertLessEqual(
                supervisor.crashes,
                conf.QuarantinePolicy().crashes_to_quarantine,
            )

    def wait_until_each_entry_refuses(self):
        """Send the crashing request to each entry until it refuses it."""
        for number in range(len(self.fleet.entry_addresses)):
            support.wait_until(
                lambda number=number: is_quarantined(
                    self.send(CRASH_TEXT, number)
                )
            )


def is_quarantined(answer):
    """Return whether an answer refuses a quarantined request."""
    if answer.status == 200:
        return False
    return answer.document['type'].endswith(':quarantined')


def wait_for_retry_after(answer):
    """Sleep for the seconds in the ``retry-after`` header, if any."""
    time.sleep(float(answer.headers_by_name.get('retry-after', 0)))


def compute_expected_words(prompt):
    """Return the words of the correct answer to a prompt."""
    return [engine.compute_token(prompt, index) for index in range(TOKENS)]


def read_words(answer):
    """Return the words of a streamed answer."""
    return [
        json.loads(event[6:])['choices'][0]['text'].strip()
        for event in answer.body.split(b'\n\n')
        if event.startswith(b'data: {')
    ]
