"""Published values and the results of reading them."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """Hold one published value and the revision of its last change."""

    key: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Hold all published values as of a revision."""

    as_of: int
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Hold the changes since an earlier revision, up to ``as_of``."""

    as_of: int
    items: tuple[Item, ...]
    removed_keys: tuple[str, ...]
