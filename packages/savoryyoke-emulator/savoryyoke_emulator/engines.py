"""Emulate a group of engines whose ranks run each pass in lockstep."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Job:
    """Hold one stream that a rank generates.

    ``on_event(number)`` is called for each event, counted from 1, and
    ``on_lost()`` if the group fails before the stream ends.
    ``unread_tokens`` is the part of the prompt that is not processed yet.
    """

    prompt_tokens: int
    events: int
    on_event: object
    on_lost: object
    unread_tokens: int = 0
    generated_events: int = 0


class _Rank:
    """Hold the jobs of one rank: those in its slots and those that wait."""

    def __init__(self):
        self.running = []
        self.waiting = []


class EngineGroup:
    """Run the passes of all ranks of a group.

    ``peak`` is the ratio of the expert load of the most loaded rank to the
    mean, under the expert map in use.
    """

    def __init__(self, *, engines, clock):
        self._engines = engines
        self._clock = clock
        self._ranks = [_Rank() for _ in range(engines.ranks)]
        self._incarnation = 0
        self._is_pass_running = False
        self.is_open = True
        self.peak = 1.0
        self.pass_count = 0
        self.total_pass_s = 0.0

    def add(self, rank, job):
        """Queue a job at a rank; return False if the group is not open."""
        if not self.is_open:
            return False
        job.unread_tokens = job.prompt_tokens
        self._ranks[rank].waiting.append(job)
        if not self._is_pass_running:
            self._start_pass()
        return True

    def cancel(self, rank, job):
        """Remove a job whose caller has disconnected."""
        for jobs in (self._ranks[rank].running, self._ranks[rank].waiting):
            if job in jobs:
                jobs.remove(job)

    def lose(self, for_s):
        """Lose all jobs; reopen ``for_s`` plus ``forming_s`` later."""
        self.is_open = False
        self._incarnation += 1
        self._is_pass_running = False
        lost_jobs = [
            job for rank in self._ranks for job in rank.running + rank.waiting
        ]
        self._ranks = [_Rank() for _ in self._ranks]
        for job in lost_jobs:
            job.on_lost()
        self._clock.call_after(for_s + self._engines.forming_s, self._reopen)

    def _reopen(self):
        self.is_open = True

    def _start_pass(self):
        for rank in self._ranks:
            free_slots = self._engines.slots - len(rank.running)
            rank.running.extend(rank.waiting[:free_slots])
            del rank.waiting[:free_slots]
        if not any(rank.running for rank in self._ranks):
            self._is_pass_running = False
            return
        self._is_pass_running = True
        plans = [self._plan_pass(rank) for rank in self._ranks]
        pass_s = self._calculate_pass_s([added_ms for added_ms, _ in plans])
        self.pass_count += 1
        self.total_pass_s += pass_s
        chunks_by_rank = [prompt_chunks for _, prompt_chunks in plans]
        self._clock.call_after(
            pass_s, self._end_pass, self._incarnation, chunks_by_rank
        )

    def _plan_pass(self, rank):
        """Return the ms that a rank adds to a pass, and its prompt chunks.

        A prompt chunk is a pair of a job and the tokens to read for it.
        """
        engines = self._engines
        added_ms = 0.0
        budget_tokens = engines.chunk * engines.stride
        prompt_chunks = []
        for job in rank.running:
            if job.unread_tokens:
                tokens = min(job.unread_tokens, budget_tokens)
                budget_tokens -= tokens
                prompt_chunks.append((job, tokens))
                added_ms += tokens / engines.read_per_ms
                continue
            context_tokens = (
                job.prompt_tokens + job.generated_events * engines.stride
            )
            added_ms += engines.stride * (
                engines.writer_ms + engines.context_ms * context_tokens / 1000
            )
        return added_ms, prompt_chunks

    def _calculate_pass_s(self, added_ms):
        engines = self._engines
        mean_ms = sum(added_ms) / len(added_ms)
        other_ms = (1 - engines.expert_share) * max(added_ms)
        experts_ms = engines.expert_share * mean_ms * self.peak
        base_ms = engines.stride * engines.step_ms
        return (base_ms + other_ms + experts_ms) / 1000

    def _end_pass(self, incarnation, chunks_by_rank):
        if incarnation != self._incarnation:
            return
        for rank, prompt_chunks in zip(
            self._ranks, chunks_by_rank, strict=True
        ):
            reading_job_ids = {id(job) for job, _ in prompt_chunks}
            for job, tokens in prompt_chunks:
                job.unread_tokens -= tokens
            for job in list(rank.running):
                if id(job) not in reading_job_ids and not job.unread_tokens:
                    self._generate_event(rank, job)
        self._start_pass()

    def _generate_event(self, rank, job):
        job.generated_events += 1
        if job.generated_events >= job.events:
            rank.running.remove(job)
        job.on_event(job.generated_events)
