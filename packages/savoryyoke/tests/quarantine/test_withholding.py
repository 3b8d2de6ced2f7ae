"""Test which requests an entry withholds from targets it calls directly."""

import dataclasses
import unittest

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events
from savoryyoke.quarantine import evidence
from savoryyoke.quarantine import fingerprints

POLICY = conf.ENTRY_POLICY
FATAL = b'fatal'


def build_report(number, *contents, release='v1'):
    """Return the report of a crash that has just happened."""
    return evidence.CrashReport(
        crash_id=f'crash-{number}',
        fingerprints=frozenset(contents or {FATAL}),
        remaining_s=POLICY.evidence_lifetime_s,
        release=release,
    )


class WithholdingCase(unittest.TestCase):
    def setUp(self):
        self.quarantine = aggregates.Quarantine(policy=POLICY)
        self.apply(events.PeersCounted(count=3))

    def apply(self, event, now_s=0.0):
        return self.quarantine.apply(event, now_s=now_s)

    def crash(self, *numbers, contents=(), release='v1', now_s=0.0):
        """Apply reports of crashes of a release."""
        reports = tuple(
            build_report(number, *contents, release=release)
            for number in numbers
        )
        self.apply(events.ReportsReceived(reports=reports), now_s)

    def offer(self, content=FATAL, *, call_id='call', now_s=0.0):
        """Return the decision on a call about to be sent."""
        event = events.SendOffered(call_id=call_id, fingerprint=content)
        (decision,) = self.apply(event, now_s)
        return decision

    def assert_routed(self, *arguments, **changes):
        decision = self.offer(*arguments, **changes)
        self.assertIsInstance(decision, decisions.Route)

    def assert_withheld(self, *releases, now_s=0.0, call_id='call'):
        decision = self.offer(now_s=now_s, call_id=call_id)
        self.assertIsInstance(decision, decisions.Withhold)
        self.assertEqual(frozenset(releases), decision.releases)
        return decision


class CrashCountTests(WithholdingCase):
    def test_three_crashes_withhold_a_request(self):
        self.crash(1, 2)
        self.assert_routed()
        self.crash(3)
        withheld = self.assert_withheld('v1')
        self.assertEqual(3, withheld.crashes)

    def test_entry_without_peers_withholds_after_two_crashes(self):
        self.crash(1, 2)
        self.apply(events.PeersCounted(count=0))
        self.assert_withheld('v1')

    def test_one_crash_withholds_nothing_even_without_peers(self):
        self.apply(events.PeersCounted(count=0))
        self.crash(1)
        self.assert_routed()

    def test_other_requests_of_the_crashes_are_sent(self):
        for number in range(4):
            self.crash(number, contents=(FATAL, b'other-%d' % number))
        self.assert_withheld('v1')
        for number in range(4):
            self.assert_routed(b'other-%d' % number)

    def test_indistinguishable_requests_are_withheld_later(self):
        for number in range(1, POLICY.total_crashes_to_quarantine):
            self.crash(number, contents=(FATAL, b'twin'))
        self.assert_routed()
        last_number = POLICY.total_crashes_to_quarantine
        self.crash(last_number, contents=(FATAL, b'twin', b'x'))
        self.assert_withheld('v1')
        self.assertIsInstance(self.offer(b'twin'), decisions.Withhold)
        self.assert_routed(b'x')

    def test_request_that_succeeded_between_crashes_is_sent(self):
        self.crash(1, 2)
        self.apply(events.CallSucceeded(fingerprint=FATAL, release='v1'))
        self.crash(3, now_s=1.0)
        self.assert_routed(now_s=1.0)


class PromptPartTests(WithholdingCase):
    FATAL_PART = b'fatal-part'
    INSTRUCTIONS = b'instructions'

    def crash_prompts(self, *parts_by_number, now_s=0.0):
        """Crash targets, each by a new content with some prompt parts."""
        reports = tuple(
            dataclasses.replace(
                build_report(number, b'content-%d' % number),
                prompt_parts=frozenset(parts),
            )
            for number, parts in enumerate(parts_by_number)
        )
        self.apply(events.ReportsReceived(reports=reports), now_s)

    def is_withheld(self, *parts, content=b'new'):
        event = events.SendOffered(
            call_id='call', fingerprint=content, prompt_parts=frozenset(parts)
        )
        (decision,) = self.apply(event)
        return isinstance(decision, decisions.Withhold)

    def succeed(self, *parts):
        self.apply(
            events.CallSucceeded(
                fingerprint=b'answered',
                release='v1',
                prompt_parts=frozenset(parts),
            )
        )

    def test_part_that_several_crashes_share(self):
        self.crash_prompts(
            (self.FATAL_PART, b'a'),
            (self.FATAL_PART, b'b'),
            (self.FATAL_PART, b'c'),
        )
        self.assertTrue(self.is_withheld(b'd', self.FATAL_PART))
        self.assertFalse(self.is_withheld(b'a'))

    def test_parts_that_only_crash_together_are_withheld_together(self):
        self.crash_prompts(*[(self.INSTRUCTIONS, self.FATAL_PART)] * 3)
        self.assertTrue(self.is_withheld(self.INSTRUCTIONS, self.FATAL_PART))
        self.assertFalse(self.is_withheld(self.INSTRUCTIONS))
        self.assertFalse(self.is_withheld(self.FATAL_PART, b'other'))

    def test_part_of_all_crashes_that_two_other_parts_explain(self):
        prompts = [
            (self.INSTRUCTIONS, part)
            for part in (self.FATAL_PART, self.FATAL_PART, b'fatal-2')
        ]
        self.crash_prompts(*prompts)
        self.assertTrue(self.is_withheld(self.INSTRUCTIONS, self.FATAL_PART))
        self.assertTrue(self.is_withheld(self.INSTRUCTIONS, b'fatal-2'))
        self.assertFalse(self.is_withheld(self.INSTRUCTIONS, b'other'))
        # A crash without either of them shows the common part to be fatal.
        self.crash_prompts(*prompts, (self.INSTRUCTIONS, b'other'))
        self.assertTrue(self.is_withheld(self.INSTRUCTIONS, b'new'))

    def test_success_tells_parts_of_the_same_prompts_apart(self):
        self.crash_prompts(*[(self.INSTRUCTIONS, self.FATAL_PART)] * 3)
        self.succeed(self.INSTRUCTIONS)
        self.assertTrue(self.is_withheld(self.FATAL_PART, b'other'))
        self.assertFalse(self.is_withheld(self.INSTRUCTIONS))

    def test_part_that_was_answered_before_is_not_suspected(self):
        self.succeed(self.INSTRUCTIONS)
        self.crash_prompts(*[(self.INSTRUCTIONS,)] * 3)
        self.assertFalse(self.is_withheld(self.INSTRUCTIONS))

    def test_request_that_crashes_targets_spares_others_with_its_parts(self):
        reports = tuple(
            dataclasses.replace(
                build_report(number),
                prompt_parts=frozenset({self.INSTRUCTIONS}),
            )
            for number in range(3)
        )
        self.apply(events.ReportsReceived(reports=reports))
        self.assertTrue(self.is_withheld(self.INSTRUCTIONS, content=FATAL))
        self.assertFalse(self.is_withheld(self.INSTRUCTIONS))

    def offer_incomplete(self, *parts, now_s):
        """Return how long a request waits for further reports."""
        event = events.SendOffered(
            call_id='call', fingerprint=b'new', prompt_parts=frozenset(parts)
        )
        (decision,) = self.apply(event, now_s)
        return getattr(decision, 'incomplete_s', None)

    def test_request_waits_for_the_reports_of_other_entries(self):
        self.crash_prompts(*[(self.INSTRUCTIONS,)] * 3)
        wait_s = POLICY.report_completion_s
        self.assertEqual(
            wait_s, self.offer_incomplete(self.INSTRUCTIONS, now_s=0.0)
        )
        # Another entry's requests show what else the crashes have in common.
        self.crash_prompts(*[(self.FATAL_PART,)] * 4, now_s=0.1)
        self.assertIsNone(self.offer_incomplete(self.INSTRUCTIONS, now_s=0.2))
        self.assertAlmostEqual(
            wait_s - 0.1, self.offer_incomplete(self.FATAL_PART, now_s=0.2)
        )
        self.assertEqual(
            0.0, self.offer_incomplete(self.FATAL_PART, now_s=0.1 + wait_s)
        )

    def test_request_does_not_wait_for_reports_on_its_content(self):
        self.crash(1, 2, 3)
        self.assertEqual(0.0, self.offer().incomplete_s)

    def test_one_request_with_the_part_is_tried_again(self):
        self.crash_prompts(*[(self.FATAL_PART,)] * 3)
        due_s = POLICY.retrial_s
        for call_id, expected in (
            ('first', decisions.Route),
            ('second', decisions.Withhold),
        ):
            event = events.SendOffered(
                call_id=call_id,
                fingerprint=call_id.encode(),
                prompt_parts=frozenset({self.FATAL_PART}),
            )
            (decision,) = self.apply(event, due_s)
            self.assertIsInstance(decision, expected)


class ReleaseTests(WithholdingCase):
    def setUp(self):
        super().setUp()
        self.crash(1, 2, 3)

    def test_request_may_run_on_another_release(self):
        # The decision lists only the releases that crashed.
        self.assert_withheld('v1')

    def test_one_crash_withholds_it_from_another_release(self):
        self.crash(4, release='v2')
        self.assert_withheld('v1', 'v2')

    def test_each_further_release_is_tried_later(self):
        self.assertFalse(self.offer().includes_other_releases)
        self.crash(4, release='v2')
        wait_s = POLICY.release_trial_s
        self.assertTrue(self.offer(now_s=wait_s - 1.0).includes_other_releases)
        self.assertFalse(self.offer(now_s=wait_s).includes_other_releases)
        self.crash(5, release='v3', now_s=wait_s)
        late_s = 3 * wait_s
        self.assertTrue(self.offer(now_s=late_s - 1.0).includes_other_releases)
        self.assertFalse(self.offer(now_s=late_s).includes_other_releases)

    def test_success_on_another_release_clears_only_that_release(self):
        self.crash(4, release='v2')
        self.apply(events.CallSucceeded(fingerprint=FATAL, release='v2'))
        self.assert_withheld('v1')


class RetrialTests(WithholdingCase):
    def setUp(self):
        super().setUp()
        self.crash(1, 2, 3)

    def test_request_is_retried_once_after_the_delay(self):
        due_s = POLICY.retrial_s
        withheld = self.assert_withheld('v1', now_s=due_s - 100.0)
        self.assertEqual(100.0, withheld.retry_after_s)
        self.assert_routed(call_id='first', now_s=due_s)
        # The same call may go on, other calls wait for its result.
        self.assert_routed(call_id='first', now_s=due_s + 1.0)
        self.assert_withheld('v1', call_id='second', now_s=due_s + 1.0)
        late_s = due_s + POLICY.retrial_timeout_s
        self.assert_routed(call_id='second', now_s=late_s)

    def test_each_further_crash_doubles_the_wait(self):
        now_s = POLICY.retrial_s
        self.crash(4, now_s=now_s)
        withheld = self.assert_withheld('v1', now_s=now_s)
        self.assertEqual(2 * POLICY.retrial_s, withheld.retry_after_s)

    def test_success_ends_the_quarantine(self):
        now_s = POLICY.retrial_s
        self.assert_routed(now_s=now_s)
        self.apply(
            events.CallSucceeded(fingerprint=FATAL, release='v1'), now_s
        )
        self.assert_routed(call_id='second', now_s=now_s)


class DigestTests(WithholdingCase):
    def digest(self, now_s=0.0):
        return self.quarantine.evidence.digest(now_s=now_s)

    def test_equal_evidence_has_equal_digests(self):
        other_quarantine = aggregates.Quarantine(policy=POLICY)
        self.assertEqual(
            self.digest(), other_quarantine.evidence.digest(now_s=0.0)
        )
        self.crash(1, 2)
        self.assertNotEqual(
            self.digest(), other_quarantine.evidence.digest(now_s=0.0)
        )
        reports = (build_report(2), build_report(1))
        other_quarantine.apply(
            events.ReportsReceived(reports=reports), now_s=0.0
        )
        self.assertEqual(
            self.digest(), other_quarantine.evidence.digest(now_s=0.0)
        )

    def test_clearance_and_expiry_change_the_digest(self):
        empty_digest = self.digest()
        self.crash(1)
        digest_before = self.digest()
        self.apply(events.CallSucceeded(fingerprint=FATAL, release='v1'))
        self.assertNotEqual(digest_before, self.digest())
        late_s = (
            POLICY.evidence_lifetime_s
            - POLICY.stop_sharing_before_expiry_s / 2
        )
        self.assertEqual(empty_digest, self.digest(late_s))


class ContentDigestTests(unittest.TestCase):
    REQUEST = dict(
        service='s', caller='team', method=b'POST', target=b'/a?b', body=b'x'
    )

    def test_each_part_changes_the_digest(self):
        original_digest = fingerprints.compute_content_digest(**self.REQUEST)
        for name, value in (
            ('service', 't'),
            ('caller', 'other'),
            ('method', b'PUT'),
            ('target', b'/a?c'),
            ('body', b'y'),
        ):
            changed_digest = fingerprints.compute_content_digest(
                **(self.REQUEST | {name: value})
            )
            self.assertNotEqual(original_digest, changed_digest, name)

    def test_digest_depends_on_the_boundaries_of_the_parts(self):
        request = self.REQUEST | {'target': b'/ab', 'body': b'c'}
        shifted_request = self.REQUEST | {'target': b'/a', 'body': b'bc'}
        self.assertNotEqual(
            fingerprints.compute_content_digest(**request),
            fingerprints.compute_content_digest(**shifted_request),
        )


class PromptPartDigestTests(unittest.TestCase):
    def compute(self, *part_ids, service='s'):
        return fingerprints.compute_prompt_part_digests(
            service=service, part_ids=part_ids
        )

    def test_digest_does_not_depend_on_the_position(self):
        self.assertEqual(self.compute('a', 'b'), self.compute('b', 'a'))

    def test_service_changes_the_digest(self):
        self.assertTrue(
            self.compute('a').isdisjoint(self.compute('a', service='t'))
        )

    def test_number_of_digests_is_limited(self):
        part_ids = [str(number) for number in range(100)]
        self.assertEqual(conf.MAX_PROMPT_PARTS, len(self.compute(*part_ids)))
