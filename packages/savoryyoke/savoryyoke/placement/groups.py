"""Track whether groups of engines are in service.

The ranks of a group run each step together, so none of them can serve once one
is lost. The group then forms again in a new epoch.
"""

import math

from savoryyoke.placement import conf


class GroupStates:
    """Own the state of the groups that a service's targets form.

    A group is out of service if the platform says so of a rank in its newest
    epoch. Ranks that are cut off publish nothing, and entries that are cut off
    read nothing, so a rank's refusal because of another rank counts as well.
    """

    def __init__(self):
        self._epochs_by_group = {}
        self._out_of_service_groups = frozenset()
        # When groups whose ranks refuse requests get the next one, which shows
        # whether they are back.
        self._retry_s_by_group = {}

    def replace_targets(self, targets):
        """Set the published targets."""
        epochs_by_group = {}
        for target in targets:
            if target.group:
                epochs_by_group[target.group] = max(
                    target.group_epoch, epochs_by_group.get(target.group, 0)
                )
        self._retry_s_by_group = {
            group: retry_s
            for group, retry_s in self._retry_s_by_group.items()
            if epochs_by_group.get(group) == self._epochs_by_group[group]
        }
        self._epochs_by_group = epochs_by_group
        self._out_of_service_groups = frozenset(
            target.group
            for target in targets
            if target.group
            and target.group_epoch == epochs_by_group[target.group]
            and not target.is_in_service
        )

    def is_in_service(self, target, *, now_s):
        """Return whether a target can serve, as far as its group is known."""
        if not target.group:
            return target.is_in_service
        if target.group in self._out_of_service_groups:
            return False
        return now_s >= self._retry_s_by_group.get(target.group, -math.inf)

    def record_refusal(self, target, *, now_s):
        """Record that a target refused a request because of another rank.

        A refusal may arrive after the group has formed again; ``target`` is
        as it was published when the request was sent.
        """
        if target.group_epoch == self._epochs_by_group.get(target.group):
            self._delay_next_request(target.group, now_s)

    def record_answer(self, target):
        """Record that a target serves."""
        self._retry_s_by_group.pop(target.group, None)

    def refuses(self, target):
        """Return whether a refusal has shown an outage of a target's group."""
        return target.group in self._retry_s_by_group

    def record_sent(self, target, *, now_s):
        """Record that a request is sent to a target."""
        if self.refuses(target):
            self._delay_next_request(target.group, now_s)

    def _delay_next_request(self, group, now_s):
        self._retry_s_by_group[group] = now_s + conf.GROUP_RETRY_INTERVAL_S
