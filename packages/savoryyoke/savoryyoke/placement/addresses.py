"""Find published targets whose address another target has taken over."""


def drop_replaced(targets):
    """Return the targets without those whose address was reassigned.

    A target that died stays published for some seconds. When another target
    is published at the same address in that time, only the one with the
    higher revision can be reached.
    """
    newest_by_address = {}
    for target in targets:
        address = (target.host, target.port)
        newest = newest_by_address.get(address)
        if newest is None or newest.revision < target.revision:
            newest_by_address[address] = target
    return tuple(
        target
        for target in targets
        if newest_by_address[target.host, target.port] is target
    )
