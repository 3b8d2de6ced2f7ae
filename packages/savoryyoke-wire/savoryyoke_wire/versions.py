"""Agree on a protocol version with a peer."""

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions


def choose_version(hello):
    """Return the highest version that this process and the peer both speak.

    Raise ``VersionMismatch`` where there is none.
    """
    highest = min(conf.VERSION_HIGH, hello.version_high)
    lowest = max(conf.VERSION_LOW, hello.version_low)
    if highest < lowest:
        raise exceptions.VersionMismatch(
            f'peer speaks {hello.version_low} to {hello.version_high},'
            f' this process {conf.VERSION_LOW} to {conf.VERSION_HIGH}'
        )
    return highest
