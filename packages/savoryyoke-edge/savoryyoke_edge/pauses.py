"""Notice that this process did not run for a while."""

import anyio

CHECK_PERIOD_S = 0.05


class PauseWatch:
    """Measure gaps between checks that a running process makes often."""

    def __init__(self, *, threshold_s, doubt_s, on_pause):
        self._threshold_s = threshold_s
        self._doubt_s = doubt_s
        self._on_pause = on_pause
        self._checked_at_s = None
        self._doubt_until_s = 0.0

    def check(self):
        """Compare with the last check and return whether doubt is due.

        Call it before acting on a belief: a thawed process may run any of
        its tasks before the periodic check.
        """
        now_s = anyio.current_time()
        last_s = self._checked_at_s
        self._checked_at_s = now_s
        if last_s is not None and now_s - last_s > self._threshold_s:
            self._doubt_until_s = now_s + self._doubt_s
            self._on_pause(now_s - last_s)
        return now_s < self._doubt_until_s

    async def run(self):
        """Check until cancelled."""
        while True:
            self.check()
            await anyio.sleep(CHECK_PERIOD_S)
