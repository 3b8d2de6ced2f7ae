"""Find the hosts of a group's ranks among published targets."""


def index_hosts(targets):
    """Return the hosts of the targets of a group by rank, in order.

    A rank that has started anew may be published twice. The newer incarnation
    counts.
    """
    return {
        target.group_rank: target.host
        for target in sorted(
            targets, key=lambda target: (target.group_rank, target.incarnation)
        )
    }
