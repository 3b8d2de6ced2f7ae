"""Negotiate the protocol version with a peer."""

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions


def choose_version(hello):
    """Return the highest version that this process and the peer support.

    ``hello`` is the peer's ``messages.Hello``. Raise ``VersionMismatch`` if
    they have no version in common.
    """
    highest = min(conf.VERSION_HIGH, hello.version_high)
    lowest = max(conf.VERSION_LOW, hello.version_low)
    if highest < lowest:
        raise exceptions.VersionMismatch(
            f'the peer supports versions {hello.version_low}'
            f' to {hello.version_high},'
            f' this process {conf.VERSION_LOW} to {conf.VERSION_HIGH}'
        )
    return highest
