"""Tell which published targets still have their address."""


def drop_replaced(targets):
    """Return the targets without those whose address has a new owner.

    The entry of a target that died stays published for some seconds. When
    another target is published at the same address meanwhile, the older
    entry names a target that can't answer any more.
    """
    newest_by_address = {}
    for target in targets:
        address = (target.host, target.port)
        known = newest_by_address.get(address)
        if known is None or known.revision < target.revision:
            newest_by_address[address] = target
    return tuple(
        target
        for target in targets
        if newest_by_address[target.host, target.port] is target
    )
