"""Let a target's concurrency limit follow the evidence."""

from savoryyoke.admission import latency


class ConcurrencyLimit:
    """Hold the number of calls that a target may run at once.

    The limit starts low, grows only by healthy completions and is cut on
    failures and slow answers. Each cut opens a new epoch: a call started
    in an earlier epoch proves nothing about the present one, so that one
    bad batch cuts once and calls from before a restart raise nothing.
    """

    def __init__(self, *, limits, policy):
        self._limits = limits
        self._policy = policy
        self._service = latency.LatencyBaseline(policy=policy)
        self._first_token = latency.LatencyBaseline(policy=policy)
        self._evidence_s = None
        self._crashes = 0
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
        """Tell whether the target still has to prove that it is warm."""
        return self._cold

    def change_limits(self, *, limits, policy=None):
        """Take in the operators' new limits and pace, if there is one."""
        self._policy = policy or self._policy
        known = self._limits
        self._limits = limits
        if self._threshold >= known.max_concurrency:
            self._threshold = float(limits.max_concurrency)
        if self._limit == known.initial_concurrency:
            self._limit = float(limits.initial_concurrency)
        self._limit = min(self._limit, float(limits.max_concurrency))

    def turn_cold(self):
        """Fall back to the initial concurrency."""
        self._reset_to_cold()

    def record_crash(self):
        """Take in that the back end went down under its calls.

        Each crash halves the speed of the growth that follows, or the same
        ramp would bring the back end down again.
        """
        self._crashes = min(self._crashes + 1, self._policy.most_crashes)
        self._successes_since_crash = 0

    def notice_time(self, *, now_s, running):
        """Halve the limit for each idle period without evidence."""
        if self._evidence_s is None or running:
            self._evidence_s = now_s
            return
        while now_s - self._evidence_s >= self._policy.idle_period_s:
            if self._limit <= self._limits.initial_concurrency:
                self._evidence_s = now_s
                return
            self._evidence_s += self._policy.idle_period_s
            self._decay()

    def record_success(
        self, *, epoch, limit_was_used, service_s_per_cost, first_token_s
    ):
        """Take in a completion; grow, hold or cut the limit."""
        self._failed_share *= 1 - self._policy.failure_smoothing
        if epoch != self.epoch:
            return
        self._service.observe(sample_s=service_s_per_cost)
        if first_token_s is not None:
            self._first_token.observe(sample_s=first_token_s)
        self._samples += 1
        ratio = max(self._service.ratio, self._first_token.ratio)
        if ratio <= self._policy.healthy_ratio:
            self._record_healthy(limit_was_used)
        elif self._samples >= self._policy.samples_to_judge:
            self._record_slow(ratio)

    def record_failure(self, *, epoch):
        """Take in a fault of the back end."""
        if epoch != self.epoch:
            return
        smoothing = self._policy.failure_smoothing
        self._failed_share += smoothing * (1 - self._failed_share)
        if self._failed_share > self._policy.failed_share_to_turn_cold:
            self._reset_to_cold()
        elif self._cold or (
            self._failed_share > self._policy.failed_share_to_cut
        ):
            self._cut(self._policy.failure_cut)

    def _record_healthy(self, limit_was_used):
        self._healthy += 1
        self._very_slow_epochs = 0
        self._successes_since_crash += 1
        if self._successes_since_crash >= self._policy.successes_to_trust:
            self._crashes = 0
        if self._healthy >= self._policy.successes_to_be_warm:
            self._cold = False
        if limit_was_used:
            self._limit = min(
                self._limit + self._step(), float(self._limits.max_concurrency)
            )

    def _record_slow(self, ratio):
        # Overload ends once the limit is cut; a cold back end stays slow.
        if ratio >= self._policy.cold_ratio:
            self._very_slow_epochs += 1
            if self._very_slow_epochs >= self._policy.very_slow_to_turn_cold:
                self._reset_to_cold()
            else:
                self._cut(self._policy.failure_cut)
        elif ratio >= self._policy.slow_ratio:
            self._cut(self._policy.slow_cut)

    def _step(self):
        if self._limit >= self._ceiling:
            step = self._policy.ceiling_step / self._limit
        elif self._limit < self._threshold:
            step = self._policy.slow_start_step
        else:
            step = self._policy.steady_step / self._limit
        return step / 2**self._crashes

    def _cut(self, factor):
        # Growth slows down just below the limit that went wrong, or the
        # limit would climb to the same fault again and again.
        self._ceiling = self._policy.ceiling_share * self._limit
        self._limit = max(factor * self._limit, 1.0)
        self._threshold = self._limit
        self._open_epoch()

    def _decay(self):
        self._threshold = self._limit
        self._limit = max(
            self._limit / 2, float(self._limits.initial_concurrency)
        )
        self._cold = self._limit <= self._limits.initial_concurrency
        self._open_epoch()

    def _reset_to_cold(self):
        initial = float(self._limits.initial_concurrency)
        self._limit = min(self._limit, initial)
        self._threshold = float(self._limits.max_concurrency)
        self._ceiling = float('inf')
        self._cold = True
        self._failed_share = 0.0
        self._very_slow_epochs = 0
        self._open_epoch()
        # Slow as it is at the initial concurrency, a cold back end may
        # take more calls as long as these do not slow each other down.
        self._service.restart()
        self._first_token.restart()

    def _open_epoch(self):
        self.epoch += 1
        self._samples = 0
        self._healthy = 0
        self._service.forget_recent()
        self._first_token.forget_recent()
