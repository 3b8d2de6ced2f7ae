"""Run coroutines on a virtual clock."""

import anyio
import trio.testing


def run_on_virtual_clock(function):
    """Run ``function()``; time advances while all of its tasks wait."""
    return anyio.run(
        function,
        backend='trio',
        backend_options={
            'clock': trio.testing.MockClock(autojump_threshold=0)
        },
    )
