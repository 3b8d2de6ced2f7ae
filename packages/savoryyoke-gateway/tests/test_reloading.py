"""Test which changed settings a running entry applies."""

import dataclasses
import unittest

from savoryyoke.published import holds

from savoryyoke_edge import reloading

from savoryyoke_gateway import daemon
from savoryyoke_gateway import ports

ADDRESS = ports.Address(host='127.0.0.1', port=80)
SETTINGS = ports.GatewaySettings(
    vm_id='edge-1',
    data_centre='dc-a',
    caller_address=ADDRESS,
    directory_address=ADDRESS,
    ready_address=ADDRESS,
    metrics_address=ADDRESS,
    peer_host='127.0.0.1',
    peer_port=7000,
    pace_port=7001,
    seed_hosts=('10.0.0.1',),
    grace_s=8.0,
    retry_ratio=0.2,
    retry_slack=92.0,
    hold_times=holds.HoldTimes(leased_s=3.6, unversioned_s=10.0),
)


class PlanReloadTests(unittest.TestCase):
    def plan(self, **changes):
        offered = dataclasses.replace(SETTINGS, **changes)
        return reloading.plan_reload(
            SETTINGS,
            offered,
            reloadable_fields=daemon._RELOADABLE_FIELDS,
        )

    def test_nothing_changed(self):
        plan = self.plan()
        self.assertEqual(SETTINGS, plan.settings)
        self.assertEqual(((), ()), (plan.changed, plan.needs_restart))

    def test_seeds_and_grace_time_are_applied(self):
        plan = self.plan(seed_hosts=('10.0.0.2',), grace_s=4.0)
        self.assertEqual(('10.0.0.2',), plan.settings.seed_hosts)
        self.assertEqual(4.0, plan.settings.grace_s)
        self.assertEqual({'seed_hosts', 'grace_s'}, set(plan.changed))
        self.assertEqual((), plan.needs_restart)

    def test_other_changes_are_reported_and_not_applied(self):
        plan = self.plan(peer_port=7002, retry_slack=10.0)
        self.assertEqual(SETTINGS, plan.settings)
        self.assertEqual({'peer_port', 'retry_slack'}, set(plan.needs_restart))
