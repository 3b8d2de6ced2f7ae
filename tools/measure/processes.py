"""Read the processor time and the memory of processes from the kernel."""

import os
import pathlib


def read_processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_memory_bytes(pid):
    """Return the resident memory of a process in bytes.

    Raise ``ValueError`` if the kernel reports none.
    """
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise ValueError(f'process {pid} has no resident memory')
