"""Choose whom to probe on each tick."""


class ProbeSchedule:
    """Alternate between fixed subjects and random ones.

    Fixed subjects bound the time until somebody probes a member; random
    ones spread updates and stand in for observers that died.
    """

    def __init__(self, *, table, queue, settings):
        self._table = table
        self._queue = queue
        self._settings = settings
        self._turn = 0

    def choose_next(self):
        """Return the members to probe on this tick."""
        self._turn += 1
        round_number, is_random = divmod(self._turn, 2)
        if is_random:
            chosen = self._table.choose(count=1)
        else:
            step = round_number % self._settings.fixed_subjects
            subject = self._table.successor(step=step)
            chosen = [] if subject is None else [subject]
        # The loss of a data centre fills many messages.
        if len(self._queue) > self._settings.burst_updates:
            count = self._settings.burst_probes
            chosen += self._table.choose(count=count, without=chosen)
        return chosen

    def choose_refresh(self, suspected_ids):
        """Return the members to probe after a pause.

        Suspicions from before it are put to their members anew, who may
        have refuted them in the meantime.
        """
        count = self._settings.refresh_probes
        chosen = self._table.choose(count=count, without=suspected_ids)
        return [*suspected_ids, *chosen]
