"""Store reports of slow targets until they expire."""

from savoryyoke.peers import conf
from savoryyoke.peers import messages


class SlowTargets:
    """Own the newest reports of slow targets, by address.

    Reports from a target's own VM are forwarded to other entries. Reports
    from other entries are not. A pace is the ratio of a target's step time to
    the usual one.
    """

    def __init__(self):
        self._own_by_address = {}
        self._forwarded_by_address = {}

    def record(self, address, pace, *, now_s):
        """Record a report from the target's own VM."""
        self._own_by_address[address] = (pace, now_s)

    def record_forwarded(self, targets, *, now_s):
        """Record the ``SlowTarget`` reports of another entry."""
        for target in targets:
            self._forwarded_by_address[target.address] = (target.pace, now_s)

    def reports_to_forward(self, *, now_s):
        """Return the ``SlowTarget`` reports to send to other entries."""
        return tuple(
            messages.SlowTarget(address=address, pace=pace)
            for address, (pace, received_s) in self._own_by_address.items()
            if now_s - received_s <= conf.SLOW_REPORT_LIFETIME_S
        )

    def paces(self, *, now_s):
        """Return the paces of slow targets by address."""
        reports = self._forwarded_by_address | self._own_by_address
        return {
            address: pace
            for address, (pace, received_s) in reports.items()
            if now_s - received_s <= conf.SLOW_REPORT_LIFETIME_S
        }
