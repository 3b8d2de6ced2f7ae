"""Track whether groups of engines are in service.

The ranks of a group run each step together, so none of them can serve once one
is lost. The group then forms again in a new epoch.
"""

import dataclasses

from savoryyoke.placement import conf


@dataclasses.dataclass(kw_only=True)
class _Refusal:
    """Hold that ranks of an epoch refuse requests because of other ranks.

    Until ``retry_s`` the group gets no requests. The next one after that shows
    whether it is back.
    """

    epoch: int
    retry_s: float


class GroupStates:
    """Own the state of the groups that a service's targets form.

    A group is out of service if the platform says so of a rank in its newest
    epoch. Ranks that are cut off publish nothing, and entries that are cut off
    read nothing, so a rank's refusal because of another rank counts as well.
    """

    def __init__(self):
        self._epochs_by_group = {}
        self._out_of_service_groups = frozenset()
        self._refusals_by_group = {}

    def replace_targets(self, targets):
        """Set the published targets."""
        epochs_by_group = {}
        for target in targets:
            if target.group:
                epochs_by_group[target.group] = max(
                    target.group_epoch, epochs_by_group.get(target.group, 0)
                )
        self._epochs_by_group = epochs_by_group
        self._out_of_service_groups = frozenset(
            target.group
            for target in targets
            if target.group
            and target.group_epoch == epochs_by_group[target.group]
            and not target.is_in_service
        )
        self._refusals_by_group = {
            group: refusal
            for group, refusal in self._refusals_by_group.items()
            if epochs_by_group.get(group) == refusal.epoch
        }

    def is_in_service(self, target, *, now_s):
        """Return whether a target can serve, as far as its group is known."""
        if not target.group:
            return target.is_in_service
        if target.group in self._out_of_service_groups:
            return False
        refusal = self._refusals_by_group.get(target.group)
        return refusal is None or now_s >= refusal.retry_s

    def record_refusal(self, target, *, now_s):
        """Record that a target refused a request because of another rank.

        A refusal may arrive after the group has formed again; ``target`` is
        as it was published when the request was sent.
        """
        epoch = self._epochs_by_group.get(target.group)
        if epoch is not None and target.group_epoch == epoch:
            self._refusals_by_group[target.group] = _Refusal(
                epoch=epoch, retry_s=now_s + conf.GROUP_RETRY_INTERVAL_S
            )

    def record_answer(self, target):
        """Record that a target serves."""
        self._refusals_by_group.pop(target.group, None)

    def refuses(self, target):
        """Return whether a refusal has shown an outage of a target's group."""
        return target.group in self._refusals_by_group

    def record_sent(self, target, *, now_s):
        """Record that a request is sent to a target."""
        refusal = self._refusals_by_group.get(target.group)
        if refusal is not None:
            refusal.retry_s = now_s + conf.GROUP_RETRY_INTERVAL_S
