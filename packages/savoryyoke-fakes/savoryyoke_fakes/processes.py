"""Start, stop and suspend child processes."""

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
    """Report a process that ended or logged no start event in time."""


class Process:
    """Control one Python child process and read its log file."""

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
        """Return whether the child is running."""
        return self._child is not None and self._child.poll() is None

    def start(self):
        """Start the child; its output is appended to the log file."""
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
        """Return the output of the child since its last start."""
        with self._log_path.open('rb') as log:
            log.seek(self._offset)
            return log.read().decode('utf-8', 'replace')

    def wait_for_event(self, event, **wanted):
        """Return the fields of the first log line with ``event``.

        Raise ``StartFailed`` if no line with the ``wanted`` fields appears
        before the child ends or ``START_TIMEOUT_S`` seconds have passed.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            is_running = self.running
            for line in self.read_log().splitlines():
                fields = parse_line(line)
                if fields.get('event') == event and all(
                    fields.get(name) == value for name, value in wanted.items()
                ):
                    return fields
            if not is_running:
                break
            time.sleep(POLL_S)
        raise StartFailed(f'{self.name}: no {event}\n{self.read_log()}')

    def kill(self):
        """Kill the child and wait for its end."""
        if self.running:
            self._child.kill()
            self._child.wait()

    def terminate(self):
        """Send the child SIGTERM to drain it; return without waiting."""
        if self.running:
            self._child.terminate()

    def wait(self):
        """Wait for the end of the child and return its exit status."""
        return self._child.wait(timeout=STOP_TIMEOUT_S)

    def freeze(self):
        """Suspend the child with SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the child with SIGCONT."""
        self._child.send_signal(signal.SIGCONT)


def parse_line(line):
    """Return the fields of a log line of key=value pairs by name."""
    return {
        name: value[1:-1] if value.startswith('"') else value
        for name, value in _FIELD.findall(line)
    }
