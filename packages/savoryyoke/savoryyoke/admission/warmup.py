"""Adapt the concurrency limit of a target to latencies and failures."""

from savoryyoke.admission import latency


class ConcurrencyLimit:
    """Control the number of calls that a target may run at once.

    The limit starts low, grows only with completions at a normal latency,
    and is cut after failures and slow answers. Each cut starts a new epoch,
    and calls that were started in an earlier epoch are ignored. So a batch
    of slow calls causes one cut only, and calls from before a restart do
    not raise the limit.
    """

    def __init__(self, *, limits, policy):
        self._limits = limits
        self._policy = policy
        self._service_baseline = latency.LatencyBaseline(policy=policy)
        self._first_token_baseline = latency.LatencyBaseline(policy=policy)
        self._last_activity_s = None
        self._counted_crashes = 0
        self._successes_since_crash = 0
        self._limit = float(limits.initial_concurrency)
        self.epoch = 0
        self._reset_to_cold()

    @property
    def in_force(self):
        """Return the number of calls that may run at once."""
        return max(1, min(int(self._limit), self._limits.max_concurrency))

    @property
    def cold(self):
        """Return whether the target still counts as cold."""
        return self._cold

    def change_limits(self, *, limits, policy=None):
        """Set new limits and, unless it is None, a new policy."""
        self._policy = policy or self._policy
        old_limits = self._limits
        self._limits = limits
        if self._slow_start_threshold >= old_limits.max_concurrency:
            self._slow_start_threshold = float(limits.max_concurrency)
        if self._limit == old_limits.initial_concurrency:
            self._limit = float(limits.initial_concurrency)
        self._limit = min(self._limit, float(limits.max_concurrency))

    def turn_cold(self):
        """Reset the limit to the initial concurrency."""
        self._reset_to_cold()

    def record_crash(self):
        """Record that the back end crashed while it was running calls.

        Each crash halves the growth rate; otherwise the same growth could
        crash the back end again.
        """
        self._counted_crashes = min(
            self._counted_crashes + 1, self._policy.max_counted_crashes
        )
        self._successes_since_crash = 0

    def halve_if_idle(self, *, now_s, running):
        """Halve the limit for each idle period without a running call."""
        if self._last_activity_s is None or running:
            self._last_activity_s = now_s
            return
        while now_s - self._last_activity_s >= self._policy.idle_period_s:
            if self._limit <= self._limits.initial_concurrency:
                self._last_activity_s = now_s
                return
            self._last_activity_s += self._policy.idle_period_s
            self._halve_limit()

    def record_success(
        self, *, epoch, limit_was_used, service_s_per_cost, first_token_s
    ):
        """Record a success; raise, keep or cut the limit."""
        self._failed_share *= 1 - self._policy.failure_smoothing
        if epoch != self.epoch:
            return
        self._service_baseline.observe(sample_s=service_s_per_cost)
        if first_token_s is not None:
            self._first_token_baseline.observe(sample_s=first_token_s)
        self._samples += 1
        ratio = max(
            self._service_baseline.ratio, self._first_token_baseline.ratio
        )
        if ratio <= self._policy.healthy_ratio:
            self._record_healthy(limit_was_used)
        elif self._samples >= self._policy.min_samples_to_cut:
            self._record_slow(ratio)

    def record_failure(self, *, epoch):
        """Record a fault of the back end; frequent faults cut the limit."""
        if epoch != self.epoch:
            return
        smoothing = self._policy.failure_smoothing
        self._failed_share += smoothing * (1 - self._failed_share)
        if self._failed_share > self._policy.failed_share_to_turn_cold:
            self._reset_to_cold()
        elif self._cold or (
            self._failed_share > self._policy.failed_share_to_cut
        ):
            self._cut(self._policy.failure_cut_factor)

    def _record_healthy(self, limit_was_used):
        self._healthy_completions += 1
        self._very_slow_epochs = 0
        self._successes_since_crash += 1
        if (
            self._successes_since_crash
            >= self._policy.successes_to_forget_crashes
        ):
            self._counted_crashes = 0
        if self._healthy_completions >= self._policy.successes_to_turn_warm:
            self._cold = False
        if limit_was_used:
            self._limit = min(
                self._limit + self._growth_step(),
                float(self._limits.max_concurrency),
            )

    def _record_slow(self, ratio):
        # After a cut, an overloaded back end recovers but a cold one stays
        # slow.
        if ratio >= self._policy.cold_ratio:
            self._very_slow_epochs += 1
            if (
                self._very_slow_epochs
                >= self._policy.very_slow_epochs_to_turn_cold
            ):
                self._reset_to_cold()
            else:
                self._cut(self._policy.failure_cut_factor)
        elif ratio >= self._policy.slow_ratio:
            self._cut(self._policy.slow_cut_factor)

    def _growth_step(self):
        if self._limit >= self._ceiling:
            step = self._policy.ceiling_step / self._limit
        elif self._limit < self._slow_start_threshold:
            step = self._policy.slow_start_step
        else:
            step = self._policy.steady_step / self._limit
        return step / 2**self._counted_crashes

    def _cut(self, factor):
        # Growth slows down just below the limit that was too high; otherwise
        # the limit would reach the same overload again and again.
        self._ceiling = self._policy.ceiling_share * self._limit
        self._limit = max(factor * self._limit, 1.0)
        self._slow_start_threshold = self._limit
        self._start_epoch()

    def _halve_limit(self):
        self._slow_start_threshold = self._limit
        self._limit = max(
            self._limit / 2, float(self._limits.initial_concurrency)
        )
        self._cold = self._limit <= self._limits.initial_concurrency
        self._start_epoch()

    def _reset_to_cold(self):
        initial = float(self._limits.initial_concurrency)
        self._limit = min(self._limit, initial)
        self._slow_start_threshold = float(self._limits.max_concurrency)
        self._ceiling = float('inf')
        self._cold = True
        self._failed_share = 0.0
        self._very_slow_epochs = 0
        self._start_epoch()
        # A cold back end is slow even at the initial concurrency. With a new
        # baseline the limit grows as long as more calls at once do not
        # increase the latency further.
        self._service_baseline.reset()
        self._first_token_baseline.reset()

    def _start_epoch(self):
        self.epoch += 1
        self._samples = 0
        self._healthy_completions = 0
        self._service_baseline.reset_recent()
        self._first_token_baseline.reset_recent()
