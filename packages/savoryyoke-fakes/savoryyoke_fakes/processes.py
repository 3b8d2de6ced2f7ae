"""Start, stop and freeze real processes on loopback."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import time

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.02
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class StartFailed(Exception):
    """Report a process that ended or kept silent while it started."""


class Process:
    """Own one child process and the file of its output."""

    def __init__(self, *, name, arguments, log_path, environment=None):
        self.name = name
        self._arguments = arguments
        self._log_path = pathlib.Path(log_path)
        self._environment = environment or {}
        self._child = None
        self._offset = 0

    @property
    def pid(self):
        """Return the process id of the running child."""
        return self._child.pid

    @property
    def running(self):
        """Tell whether the child runs."""
        return self._child is not None and self._child.poll() is None

    def start(self):
        """Start the child; its output is added to the log file."""
        self._offset = 0
        if self._log_path.exists():
            self._offset = self._log_path.stat().st_size
        with self._log_path.open('ab') as log:
            self._child = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=dict(os.environ, **self._environment),
            )
        return self

    def read_log(self):
        """Return what the child has written since it was started."""
        with self._log_path.open('rb') as log:
            log.seek(self._offset)
            return log.read().decode('utf-8', 'replace')

    def wait_for_event(self, event, **wanted):
        """Return the fields of the first log line of ``event``.

        Raise ``StartFailed`` where none with the ``wanted`` fields comes.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            alive = self.running
            for line in self.read_log().splitlines():
                fields = parse_line(line)
                if fields.get('event') == event and all(
                    fields.get(name) == value for name, value in wanted.items()
                ):
                    return fields
            if not alive:
                break
            time.sleep(POLL_S)
        raise StartFailed(f'{self.name}: no {event}\n{self.read_log()}')

    def kill(self):
        """End the child at once."""
        if self.running:
            self._child.kill()
            self._child.wait()

    def terminate(self):
        """Ask the child to drain; return without waiting."""
        if self.running:
            self._child.terminate()

    def wait(self):
        """Wait for the end of the child and return its exit status."""
        return self._child.wait(timeout=STOP_TIMEOUT_S)

    def freeze(self):
        """Stop the child's execution."""
        self._child.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let the child run on."""
        self._child.send_signal(signal.SIGCONT)


def parse_line(line):
    """Return the fields of one key=value line."""
    return {
        name: value[1:-1] if value.startswith('"') else value
        for name, value in _FIELD.findall(line)
    }
