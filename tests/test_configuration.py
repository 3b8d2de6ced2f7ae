"""Test with real processes that every daemon applies configurations."""

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support

CHANGE_BOUND_S = 19.0
OVERLAY_REVISION = 2
NEW_TEAM = '  surveyors: {weight: 1.0}\n'
DAEMONS = tuple(place.vm_id for place in fleets.ENTRIES + fleets.TARGETS)


class ConfigurationTests(support.FleetTestCase):
    """Test changes, refusals and outages of the configuration service."""

    def setUp(self):
        """Make the platform reachable."""
        super().setUp()
        self.fleet.set_platform_down(False)

    def read_revisions(self):
        """Return the set of revisions that the daemons have applied."""
        return {self.fleet.read_status(vm_id)['revision'] for vm_id in DAEMONS}

    def read_fault_count(self, vm_id):
        """Return how many configuration faults a daemon has reported."""
        address = self.fleet.admin_addresses_by_name[vm_id]
        text = clients.call('GET', address, '/metrics').body.decode()
        (line,) = [
            line
            for line in text.splitlines()
            if '_configuration_reports ' in line and line[0] != '#'
        ]
        return float(line.split()[1])

    def publish_and_wait(self, text):
        """Publish a base; return the seconds until all daemons applied it."""
        started_s = support.time.monotonic()
        revision = self.fleet.publish('base', text)
        expected_revisions = {f'{revision}.{OVERLAY_REVISION}'}
        support.wait_until(lambda: self.read_revisions() == expected_revisions)
        return support.time.monotonic() - started_s

    def test_all_daemons_apply_a_change_within_the_bound(self):
        elapsed_s = self.publish_and_wait(fleets.BASE_TEXT + NEW_TEAM)
        self.assertLess(elapsed_s, CHANGE_BOUND_S)
        digests = {
            self.fleet.read_status(vm_id)['digest'] for vm_id in DAEMONS
        }
        self.assertEqual(1, len(digests))

    def test_invalid_file_is_refused_and_the_last_good_one_stays(self):
        self.publish_and_wait(fleets.BASE_TEXT)
        before = self.read_revisions()
        self.fleet.publish('base', 'schema_version: 1\nteams: {}\n')
        entry = fleets.ENTRIES[0].vm_id
        support.wait_until(
            lambda: self.fleet.read_status(entry)['refused_revisions']
        )
        self.assertEqual(before, self.read_revisions())
        self.assertEqual(200, self.client.look_up().status)
        for vm_id in (entry, fleets.TARGETS[0].vm_id):
            support.wait_until(
                lambda vm_id=vm_id: self.read_fault_count(vm_id)
            )
        self.publish_and_wait(fleets.BASE_TEXT + NEW_TEAM)

    def test_daemon_started_in_an_outage_gets_its_peers_configuration(self):
        self.publish_and_wait(fleets.BASE_TEXT + NEW_TEAM)
        before = self.read_revisions()
        self.fleet.set_platform_down(True)
        target = fleets.TARGETS[0].vm_id
        self.fleet.processes_by_name[target].kill()
        self.fleet.start_target(target)
        # The list of VMs is unavailable too, so the starting process is only
        # found through a probe from a peer.
        status = self.fleet.wait_for_status(target, confirmed=True)
        self.assertEqual(before, {status['revision']})
        self.fleet.set_platform_down(False)

    def test_stale_platform_does_not_revert_the_configuration(self):
        self.publish_and_wait(fleets.BASE_TEXT + NEW_TEAM)
        before = self.read_revisions()
        self.fleet.set_stale(True)
        self.fleet.processes_by_name[fleets.ENTRIES[0].vm_id].kill()
        self.fleet.start_entry(fleets.ENTRIES[0].vm_id)
        self.fleet.wait_for_status(fleets.ENTRIES[0].vm_id, confirmed=True)
        self.assertEqual(before, self.read_revisions())
        self.fleet.set_stale(False)
