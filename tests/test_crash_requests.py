"""Prove that a request which crashes engines is stopped, and no other."""

import json
import threading
import time

from savoryyoke.quarantine import conf
from savoryyoke_fakes import clients
from savoryyoke_fakes import engine
from savoryyoke_fakes import fleets
from tests import support

TOKENS = 20
SENDS = 12
INNOCENT_CALLERS = 6
INNOCENT_CALLS = 4
INNOCENT_SENDS = 20
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
    """Restart engines that have died, and count how often they did."""

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
    """Test a request that crashes each engine which runs it."""

    targets = TARGETS

    def send(self, prompt, number):
        """Send a prompt to the entry that is next in turn."""
        addresses = self.fleet.entry_addresses
        return self.client.complete(
            prompt,
            max_tokens=TOKENS,
            address=addresses[number % len(addresses)],
        )

    def send_until_refused_for_good(self, prompt):
        """Send again, as callers do, until coming back does not help."""
        for number in range(SENDS):
            answer = self.send(prompt, number)
            if is_quarantined(answer):
                break
            wait_as_told(answer)
        return answer

    def get_whole_answers(self, caller):
        """Get the answers to all requests of one caller, in turn."""
        for number in range(INNOCENT_CALLS):
            self.get_whole_answer(f'innocent {caller} {number}', caller)

    def get_whole_answer(self, prompt, caller):
        """Send a request again until it has its own whole answer."""
        for number in range(INNOCENT_SENDS):
            answer = self.send(prompt, caller + number)
            self.assertFalse(is_quarantined(answer), answer.body)
            if answer.status == 200 and clients.read_tokens(answer)[1]:
                self.assertEqual(expect_words(prompt), read_words(answer))
                return
            wait_as_told(answer)
        self.fail(f'{prompt}: no whole answer, last: {answer}')

    def test_it_is_stopped_in_the_whole_fleet_and_others_are_answered(self):
        innocents = [
            support.Background(self.get_whole_answers, caller)
            for caller in range(INNOCENT_CALLERS)
        ]
        with Supervisor(fleet=self.fleet) as supervisor:
            answer = self.send_until_refused_for_good(CRASH_TEXT)
            self.assertTrue(
                is_quarantined(answer),
                f'{supervisor.crashes} crashes, then {answer}',
            )
            self.assertEqual('not-run', answer.outcome)
            self.assertNotIn('retry-after', answer.headers_by_name)
            self.wait_until_each_entry_refuses()
            for innocent in innocents:
                innocent.get()
            self.assertGreater(supervisor.crashes, 0)
            self.assertLessEqual(
                supervisor.crashes,
                conf.QuarantinePolicy().crashes_to_quarantine,
            )

    def wait_until_each_entry_refuses(self):
        """Send the request through each entry until it is refused."""
        for number in range(len(self.fleet.entry_addresses)):
            support.wait_until(
                lambda number=number: is_quarantined(
                    self.send(CRASH_TEXT, number)
                )
            )


def is_quarantined(answer):
    """Tell whether an answer is the final refusal of such a request."""
    if answer.status == 200:
        return False
    return answer.document['type'].endswith(':quarantined')


def wait_as_told(answer):
    """Wait until the time that a refusal names."""
    time.sleep(float(answer.headers_by_name.get('retry-after', 0)))


def expect_words(prompt):
    """Return the words of the right answer to a prompt."""
    return [engine.compute_token(prompt, index) for index in range(TOKENS)]


def read_words(answer):
    """Return the words of a streamed answer."""
    return [
        json.loads(event[6:])['choices'][0]['text'].strip()
        for event in answer.body.split(b'\n\n')
        if event.startswith(b'data: {')
    ]
