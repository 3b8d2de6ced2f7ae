"""Test the table of what entries and agents did in each second."""

import unittest

from tools import service_table

LOG = '''
  0.12 edge-1 time=2026-10-13T13:42:46.12+00:00 level=info event=request_ended outcome=streamed reason="" events=10 waited_s=0.25 took_s=1.25
time=2026-10-13T13:42:46.20+00:00 level=info event=try_ended result=broken reason="silent"
time=2026-10-13T13:42:46.30+00:00 level=info event=request_ended outcome=refused reason=queue-too-long events=0 waited_s=0.5 took_s=0.5
time=2026-10-13T13:42:47.01+00:00 level=info event=request_ended outcome=broken-off reason="no other \\"target\\"" events=0 waited_s=0 took_s=0.5
time=2026-10-13T13:42:47.02+00:00 level=info event=map_change_ended version=3 reason=switched took_s=0.7
time=2026-10-13T13:42:47.03+00:00 level=info event=request_turned_away reason=no-route
time=2026-10-13T13:42:47.04+00:00 level=warning event=peer_lost peer=e2
time=2026-10-13T13:42:47.05+00:00 level=warning event=peer_lost peer=e3
a line of another program
'''  # noqa: E501


class ServiceTableTests(unittest.TestCase):
    def format(self):
        table = service_table.ServiceTable()
        for line in LOG.splitlines():
            table.add_line(line)
        return table.format_rows()

    def test_seconds(self):
        head, first, second, *_ = self.format()
        self.assertEqual(['second', *service_table.COLUMNS], head.split())
        self.assertEqual(
            '13:42:46 1 1 0 0 0.50 0.100 1 0'.split(), first.split()
        )
        self.assertEqual(
            '13:42:47 0 0 1 1 0.00 0.000 0 1 2 peer_lost'.split(),
            second.split(),
        )

    def test_reasons(self):
        reasons = [row.strip() for row in self.format()[3:]]
        self.assertEqual(
            {
                '1 refused: queue-too-long',
                '1 failed: no other "target"',
                '1 away: no-route',
            },
            set(reasons),
        )
