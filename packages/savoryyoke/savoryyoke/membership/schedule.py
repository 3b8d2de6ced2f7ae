"""Choose the members to probe on each tick."""


class ProbeSchedule:
    """Alternate between probes of fixed members and of random ones.

    Fixed members, the next ones on the hash ring, bound the time until each
    member is probed. Random ones spread updates faster and cover for fixed
    observers that failed.
    """

    def __init__(self, *, table, queue, settings):
        self._table = table
        self._queue = queue
        self._settings = settings
        self._tick_count = 0

    def choose_next(self):
        """Return the members to probe on this tick."""
        self._tick_count += 1
        round_number, is_random = divmod(self._tick_count, 2)
        if is_random:
            chosen_ids = self._table.choose_random(count=1)
        else:
            step = round_number % self._settings.fixed_subjects
            subject = self._table.successor(step=step)
            chosen_ids = [] if subject is None else [subject]
        # The loss of a data centre queues more updates than one message holds.
        if len(self._queue) > self._settings.burst_updates:
            count = self._settings.burst_probes
            chosen_ids += self._table.choose_random(
                count=count, excluded_ids=chosen_ids
            )
        return chosen_ids

    def choose_after_pause(self, suspected_ids):
        """Return the members to probe after a pause.

        They include the suspected members, which may have refuted the
        suspicion during the pause.
        """
        count = self._settings.refresh_probes
        chosen_ids = self._table.choose_random(
            count=count, excluded_ids=suspected_ids
        )
        return [*suspected_ids, *chosen_ids]
