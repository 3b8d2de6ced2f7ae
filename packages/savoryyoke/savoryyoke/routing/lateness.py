"""Estimate how late messages from another process arrive."""

# Clocks of two machines may run apart by this much.
DRIFT_RATIO = 2e-4


class LatenessEstimator:
    """Compare the stamps of one sender with the local clock.

    The fastest message seen defines lateness zero; the clocks' drift is
    allowed for. No clock needs to be set to the same time as another.
    """

    def __init__(self):
        self._offset_s = None
        self._updated_at_s = 0.0

    def add(self, *, stamp_s, now_s):
        """Take a message's stamp; return its lateness in seconds."""
        offset_s = now_s - stamp_s
        if self._offset_s is not None:
            drift_s = DRIFT_RATIO * max(0.0, now_s - self._updated_at_s)
            allowed_s = self._offset_s + drift_s
            self._offset_s = min(offset_s, allowed_s)
        else:
            self._offset_s = offset_s
        self._updated_at_s = now_s
        return offset_s - self._offset_s
