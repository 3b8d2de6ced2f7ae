"""Emulate a group of engines whose ranks pass together."""

import dataclasses


@dataclasses.dataclass(kw_only=True)
class Job:
    """Hold a stream at a rank.

    ``on_event(number)`` is called for each event, ``on_lost()`` when the
    group is lost under it.
    """

    prompt_tokens: int
    events: int
    on_event: object
    on_lost: object
    unread: int = 0
    written: int = 0


class _Rank:
    """Hold the jobs of one rank: those in its slots and those that wait."""

    def __init__(self):
        self.running = []
        self.waiting = []


class EngineGroup:
    """Own the ranks and their passes.

    ``peak`` is the load of the most loaded rank over the mean, as the map in
    use has it.
    """

    def __init__(self, *, engines, clock):
        self._engines = engines
        self._clock = clock
        self._ranks = [_Rank() for _ in range(engines.ranks)]
        self._life = 0
        self._is_passing = False
        self.is_open = True
        self.peak = 1.0
        self.passes = 0
        self.passing_s = 0.0

    def add(self, rank, job):
        """Take a job; return whether the group is open."""
        if not self.is_open:
            return False
        job.unread = job.prompt_tokens
        self._ranks[rank].waiting.append(job)
        if not self._is_passing:
            self._begin_pass()
        return True

    def cancel(self, rank, job):
        """Drop a job whose caller has left."""
        for jobs in (self._ranks[rank].running, self._ranks[rank].waiting):
            if job in jobs:
                jobs.remove(job)

    def lose(self, for_s):
        """Lose all jobs; open again after a time."""
        self.is_open = False
        self._life += 1
        self._is_passing = False
        lost = [
            job for rank in self._ranks for job in rank.running + rank.waiting
        ]
        self._ranks = [_Rank() for _ in self._ranks]
        for job in lost:
            job.on_lost()
        self._clock.call_after(for_s + self._engines.forming_s, self._open)

    def _open(self):
        self.is_open = True

    def _begin_pass(self):
        for rank in self._ranks:
            free = self._engines.slots - len(rank.running)
            rank.running.extend(rank.waiting[:free])
            del rank.waiting[:free]
        if not any(rank.running for rank in self._ranks):
            self._is_passing = False
            return
        self._is_passing = True
        planned = [self._plan(rank) for rank in self._ranks]
        pass_s = self._find_pass_s([added_ms for added_ms, _ in planned])
        self.passes += 1
        self.passing_s += pass_s
        readings = [reading for _, reading in planned]
        self._clock.call_after(pass_s, self._end_pass, self._life, readings)

    def _plan(self, rank):
        """Return what a rank adds to a pass, in ms, and what it reads."""
        engines = self._engines
        added_ms = 0.0
        left = engines.chunk * engines.stride
        reading = []
        for job in rank.running:
            if job.unread:
                tokens = min(job.unread, left)
                left -= tokens
                reading.append((job, tokens))
                added_ms += tokens / engines.read_per_ms
                continue
            context = job.prompt_tokens + job.written * engines.stride
            added_ms += engines.stride * (
                engines.writer_ms + engines.context_ms * context / 1000
            )
        return added_ms, reading

    def _find_pass_s(self, added_ms):
        engines = self._engines
        mean_ms = sum(added_ms) / len(added_ms)
        own_ms = (1 - engines.expert_share) * max(added_ms)
        experts_ms = engines.expert_share * mean_ms * self.peak
        steps_ms = engines.stride * engines.step_ms
        return (steps_ms + own_ms + experts_ms) / 1000

    def _end_pass(self, life, readings):
        if life != self._life:
            return
        for rank, reading in zip(self._ranks, readings, strict=True):
            read = {id(job) for job, _ in reading}
            for job, tokens in reading:
                job.unread -= tokens
            for job in list(rank.running):
                if id(job) not in read and not job.unread:
                    self._write(rank, job)
        self._begin_pass()

    def _write(self, rank, job):
        job.written += 1
        if job.written >= job.events:
            rank.running.remove(job)
        job.on_event(job.written)
