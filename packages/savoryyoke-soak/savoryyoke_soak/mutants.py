"""Run an entry that is patched to break the promise named by the argument.

The mutants prove that the soak detects each kind of broken promise.
"""

import sys

import anyio

from savoryyoke.forwarding import framing
from savoryyoke.forwarding import ledger
from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits
from savoryyoke.published import models
from savoryyoke_gateway import callers
from savoryyoke_gateway import copying
from savoryyoke_gateway import dispatching
from savoryyoke_gateway import following
from savoryyoke_gateway import forwarder
from savoryyoke_gateway import retrying
from savoryyoke_gateway import stopping
from savoryyoke_gateway import suspects
from savoryyoke_platform import entry


def _repeat_payments():
    """Retry requests that may have run, payments too."""
    original_init = ledger.RequestLedger.__init__

    def init_repeatable(self, *, may_repeat, attempts_limit):
        original_init(self, may_repeat=True, attempts_limit=3)

    ledger.RequestLedger.__init__ = init_repeatable
    # Without this, other requests use up the retry allowance and most of the
    # forbidden retries do not happen.
    retrying.RetryAllowances.has_token = lambda self, service_name: True


def _deny_runs():
    """Answer every failed request with a status that means "not run"."""
    original_answer = callers.CallerChannel.answer

    async def answer_not_run(self, *, status, headers=(), body=b''):
        await original_answer(
            self,
            status=503 if status >= 500 else status,
            headers=headers,
            body=body,
        )

    callers.CallerChannel.answer = answer_not_run


def _drop_events():
    """Drop each event of a stream whose id is a multiple of 5."""
    original_feed = framing.EventSplitter.feed

    def feed_and_drop(self, data):
        return [
            event
            for event in original_feed(self, data)
            if event.event_id is None or int(event.event_id) % 5
        ]

    framing.EventSplitter.feed = feed_and_drop


def _ignore_changes():
    """Apply the first reading of the platform and ignore all later ones."""
    take_in = following.Follower._apply_reading

    def take_in_once(self, reading):
        if self._published_state.as_of == models.NO_REVISION:
            return take_in(self, reading)
        return False

    following.Follower._apply_reading = take_in_once


def _trust_restored_store():
    """Start with what the platform publishes, without asking peers."""

    async def skip(self):
        pass

    copying.ViewCopies.copy_at_start = skip
    copying.ViewCopies._copy = skip


def _keep_leaving_targets():
    """Keep sending work to targets that are leaving."""
    original_publish = dispatching.Dispatching.update_targets

    def publish_all(self, *, targets, **options):
        all_targets = getattr(self, 'all_targets', {})
        for target in targets:
            all_targets.setdefault(target.target_id, target)
        self.all_targets = all_targets
        original_publish(self, targets=list(all_targets.values()), **options)

    dispatching.Dispatching.update_targets = publish_all


def _ignore_notices():
    """Ignore the announcements of targets that they are leaving."""
    notices.TargetNotices.is_leaving = lambda self, target: False
    notices.TargetNotices.has_leaving_hint = lambda self, target, now_s: False


def _ignore_pauses():
    """Keep sending requests to a target that has asked for a pause."""
    notices.TargetNotices.in_flight_limit = lambda self, target, now_s: None


def _ignore_rate_limits():
    """Send as many requests to a limited target as to any other."""
    rate_limits.RateLimits.allows_request = lambda self, target, **state: True


def _delay_answers():
    """Delay some requests for longer than any caller waits."""
    original_serve = forwarder.Forwarder.serve

    async def serve_late(self, request, body, channel, *, arrived_s):
        if request.request_id.endswith('7'):
            await anyio.sleep(30.0)
        await original_serve(self, request, body, channel, arrived_s=arrived_s)

    forwarder.Forwarder.serve = serve_late


def _fail_on_stop():
    """Exit with an error when asked to stop."""

    def fail(self):
        raise RuntimeError('stopped')

    stopping.Stopping.begin = fail


def _send_fatal_requests():
    """Send requests that crash targets instead of withholding them."""
    suspects.Suspects.find_withheld = lambda self, call: None


MUTATIONS_BY_PROMISE = {
    'once': _repeat_payments,
    'not-run': _deny_runs,
    'whole': _drop_events,
    'answered': _delay_answers,
    'configuration': _ignore_changes,
    'restored': _trust_restored_store,
    'leaving': _keep_leaving_targets,
    'announced': _ignore_notices,
    'paused': _ignore_pauses,
    'crashing': _send_fatal_requests,
    'limited': _ignore_rate_limits,
    'stop': _fail_on_stop,
}


if __name__ == '__main__':
    MUTATIONS_BY_PROMISE[sys.argv[1]]()
    sys.exit(entry.main())
