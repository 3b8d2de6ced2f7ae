"""Validation of a base with an overlay, accepted or refused as a whole."""

import dataclasses
import json

import xxhash

from savoryyoke.configuration import faults
from savoryyoke.configuration import merging
from savoryyoke.configuration import parsing
from savoryyoke.configuration import schema
from savoryyoke.configuration import validation


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """Hold a valid configuration and the digest of its content.

    Texts that result in the same configuration have the same digest.
    """

    configuration: schema.Configuration
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Hold all faults of a base and its overlay, up to the limit."""

    faults: tuple[faults.Fault, ...]


def build(base_text, overlay_text=''):
    """Return ``Accepted`` or ``Refused`` for a base and an overlay.

    The outcome depends only on the two texts and their schema version, so
    that all processes get the same outcome.
    """
    base = parsing.parse(base_text, source=faults.Source.BASE)
    overlay = parsing.parse(overlay_text, source=faults.Source.OVERLAY)
    found_faults = base.faults + overlay.faults
    if found_faults:
        return Refused(faults=faults.limit_faults(found_faults))
    merged = merging.merge(base=base.tree, overlay=overlay.tree)
    validated = validation.validate(merged.tree, overlay=overlay.tree)
    found_faults = merged.faults + validated.faults
    if found_faults:
        return Refused(faults=faults.limit_faults(found_faults))
    return Accepted(
        configuration=validated.configuration,
        digest=compute_digest(validated.configuration),
    )


def compute_digest(configuration):
    """Return the digest of ``configuration`` as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(serialize(configuration).encode())


def serialize(configuration):
    """Return ``configuration`` as canonical JSON, including defaults."""
    return json.dumps(
        to_plain(configuration), sort_keys=True, separators=(',', ':')
    )


def to_plain(configuration):
    """Return ``configuration`` as mappings, lists and scalars for JSON."""
    return configuration.model_dump(mode='json', by_alias=True)
