"""Start and end the processes of the soak, by their ids."""

import contextlib
import os
import signal
import subprocess
import sys
import time

import anyio


class Child:
    """Own one process and the lines that it prints.

    ``take_line(line)`` is called for each one.
    """

    def __init__(self, *, arguments, environment, take_line):
        self._arguments = arguments
        self._environment = environment
        self._take_line = take_line
        self._process = None
        self._pidfd = None
        self._ended = anyio.Event()

    async def run(self, *, task_status):
        """Run the process to its end; it is killed when cancelled."""
        command = [sys.executable, *self._arguments]
        self._process = await anyio.open_process(
            command,
            env=dict(os.environ, **self._environment),
            stdin=subprocess.DEVNULL,
            stderr=subprocess.STDOUT,
        )
        # Popen would reap the process while the event loop waits for it.
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
            self._ended.set()

    @property
    def has_ended(self):
        """Return whether the process has ended."""
        return self._ended.is_set()

    async def _read(self):
        rest = b''
        async for data in self._process.stdout:
            *lines, rest = (rest + data).split(b'\n')
            for line in lines:
                self._take_line(line.decode('utf-8', 'replace'))

    def signal(self, number):
        """Send a signal, if the process runs."""
        if self._pidfd is None:
            return
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, number)

    def kill(self):
        """End the process at once; a frozen one too."""
        self.signal(signal.SIGKILL)

    async def wait(self, timeout_s):
        """Return exit status and seconds; None as status if it runs on."""
        started_s = time.monotonic()
        with anyio.move_on_after(timeout_s):
            await self._ended.wait()
        status = self._process.returncode if self._ended.is_set() else None
        return status, time.monotonic() - started_s
