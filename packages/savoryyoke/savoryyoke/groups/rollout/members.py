"""Find the hosts of a group's ranks among published targets."""

import collections


def _has_not_answered(target):
    return False


def index_hosts(targets, *, has_answered=_has_not_answered):
    """Return the hosts of the targets of a group by rank, in order.

    A rank that has started anew may be published twice, and other writers may
    publish further ones. Those for which ``has_answered(target)`` is true
    count first, then the newer incarnation.
    """
    return {
        target.group_rank: target.host
        for target in sorted(
            targets,
            key=lambda target: (
                target.group_rank,
                has_answered(target),
                target.incarnation,
            ),
        )
    }


def find_service(targets, *, has_answered=_has_not_answered):
    """Return the name of the service that most targets of a group have.

    Only those that have answered count, if there are any. The targets of
    other services are not ranks of the group.
    """
    answered = [target for target in targets if has_answered(target)]
    names = sorted(target.service_name for target in answered or targets)
    ((service_name, _),) = collections.Counter(names).most_common(1)
    return service_name
