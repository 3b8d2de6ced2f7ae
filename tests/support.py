"""Share one fleet of real processes between the tests of a class."""

import sys
import threading
import time
import unittest

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets

WAIT_S = 20.0
POLL_S = 0.02
SHOWN_LOG_CHARACTERS = 4000


class FleetTestCase(unittest.TestCase):
    """Start a fleet for the class and stop it after the last test."""

    base_text = fleets.BASE_TEXT
    entries = fleets.ENTRIES
    targets = fleets.TARGETS

    @classmethod
    def setUpClass(cls):
        """Start the processes of the fleet."""
        super().setUpClass()
        cls.fleet = fleets.Fleet(
            base_text=cls.base_text, entries=cls.entries, targets=cls.targets
        )
        cls.enterClassContext(cls.fleet)

    def run(self, result=None):
        """Run the test; if it fails, print the ends of the entries' logs."""
        problem_count = _count_problems(result)
        result = super().run(result)
        if _count_problems(result) > problem_count:
            self._print_entry_logs()
        return result

    def _print_entry_logs(self):
        for entry in self.entries:
            process = self.fleet.processes_by_name[entry.vm_id]
            print(
                f'{entry.vm_id} running={process.running}\n'
                f'{process.read_log()[-SHOWN_LOG_CHARACTERS:]}',
                file=sys.stderr,
            )

    def setUp(self):
        """Create a client and read the directory of entries."""
        super().setUp()
        self.client = clients.Client(
            team='members', entry_addresses=self.fleet.entry_addresses
        )
        self.client.ask_directory()

    def assert_stopped(self, process):
        """Check that a process exits with status 0; if not, show its log."""
        status = process.wait()
        self.assertEqual(0, status, process.read_log()[-SHOWN_LOG_CHARACTERS:])

    def count_runs(self, reference):
        """Return how often a payment ran, over all targets."""
        return self.fleet.count_runs().get(reference, 0)


def _count_problems(result):
    return len(result.failures) + len(result.errors) if result else 0


class Background:
    """Run one call in a thread and return its answer on request."""

    def __init__(self, function, *arguments, **options):
        self._answer = None
        self._error = None
        self._thread = threading.Thread(
            target=self._run, args=(function, arguments, options)
        )
        self._thread.start()

    def _run(self, function, arguments, options):
        try:
            self._answer = function(*arguments, **options)
        except Exception as error:
            self._error = error

    def get(self):
        """Return the answer, or raise the error of the call.

        Raise ``TimeoutError`` if there is no answer after ``WAIT_S`` seconds.
        """
        self._thread.join(WAIT_S)
        if self._thread.is_alive():
            raise TimeoutError('the call was not answered in time')
        if self._error is not None:
            raise self._error
        return self._answer


def wait_until(condition):
    """Poll until ``condition()`` is true.

    Raise ``TimeoutError`` if it is still false after ``WAIT_S`` seconds.
    """
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(POLL_S)
    raise TimeoutError('the condition did not become true in time')
