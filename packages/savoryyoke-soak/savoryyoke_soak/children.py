"""Start, signal and kill the child processes of the soak."""

import contextlib
import os
import signal
import subprocess
import sys
import time

import anyio


class Child:
    """Run one process and pass on the lines that it prints.

    ``on_line(line)`` is called for each line of stdout and stderr.
    """

    def __init__(self, *, arguments, environment, on_line):
        self._arguments = arguments
        self._environment = environment
        self._on_line = on_line
        self._process = None
        self._pidfd = None
        self._has_exited = anyio.Event()

    async def run(self, *, task_status):
        """Run the process until it exits; kill it if cancelled."""
        command = [sys.executable, *self._arguments]
        self._process = await anyio.open_process(
            command,
            env=dict(os.environ, **self._environment),
            stdin=subprocess.DEVNULL,
            stderr=subprocess.STDOUT,
        )
        # Popen.send_signal may reap the process while the event loop waits for
        # it. Signals through a pidfd do not.
        self._pidfd = os.pidfd_open(self._process.pid)
        task_status.started()
        try:
            await self._read()
            await self._process.wait()
        finally:
            self.kill()
            with anyio.CancelScope(shield=True):
                await self._process.wait()
            os.close(self._pidfd)
            self._pidfd = None
            self._has_exited.set()

    @property
    def has_exited(self):
        """Return whether the process has exited."""
        return self._has_exited.is_set()

    async def _read(self):
        partial_line = b''
        async for data in self._process.stdout:
            *lines, partial_line = (partial_line + data).split(b'\n')
            for line in lines:
                self._on_line(line.decode('utf-8', 'replace'))

    def signal(self, signal_number):
        """Send a signal if the process is running."""
        if self._pidfd is None:
            return
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, signal_number)

    def kill(self):
        """Kill the process, even if it is stopped by SIGSTOP."""
        self.signal(signal.SIGKILL)

    async def wait(self, timeout_s):
        """Wait for the process to exit, for at most ``timeout_s``.

        Return its exit status, or None if it is still running, and the
        seconds waited.
        """
        started_s = time.monotonic()
        with anyio.move_on_after(timeout_s):
            await self._has_exited.wait()
        status = (
            self._process.returncode if self._has_exited.is_set() else None
        )
        return status, time.monotonic() - started_s
