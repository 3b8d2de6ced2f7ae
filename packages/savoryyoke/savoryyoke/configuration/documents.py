"""Judgement of a base with an overlay: accepted or refused as a whole."""

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

    The digest is the same for all texts of the same meaning.
    """

    configuration: schema.Configuration
    digest: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Hold everything that is wrong with a base and its overlay."""

    faults: tuple[faults.Fault, ...]


def build(base_text, overlay_text=''):
    """Return ``Accepted`` or ``Refused`` for a base and an overlay.

    The outcome depends on the two texts and the schema version that they
    state, so that all processes reach the same one.
    """
    base = parsing.parse(base_text, source=faults.Source.BASE)
    overlay = parsing.parse(overlay_text, source=faults.Source.OVERLAY)
    found = base.faults + overlay.faults
    if found:
        return Refused(faults=faults.bound(found))
    merged = merging.merge(base=base.tree, overlay=overlay.tree)
    validated = validation.validate(merged.tree, overlay=overlay.tree)
    found = merged.faults + validated.faults
    if found:
        return Refused(faults=faults.bound(found))
    return Accepted(
        configuration=validated.configuration,
        digest=compute_digest(validated.configuration),
    )


def compute_digest(configuration):
    """Return the digest of ``configuration``, 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(serialize(configuration).encode())


def serialize(configuration):
    """Return the canonical JSON of ``configuration``, defaults included."""
    return json.dumps(
        to_plain(configuration), sort_keys=True, separators=(',', ':')
    )


def to_plain(configuration):
    """Return ``configuration`` as plain mappings, lists and scalars."""
    return configuration.model_dump(mode='json', by_alias=True)
