"""Field types and base class for the schema of the operators' file."""

import types
from typing import Annotated

import pydantic

from savoryyoke.configuration import conf

NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]*$'
PATH_PATTERN = r'^(/([A-Za-z0-9._~-]+|\{[a-z][a-z0-9_]*\}))+$'

Name = Annotated[
    str,
    pydantic.StringConstraints(
        strict=True, pattern=NAME_PATTERN, max_length=63
    ),
]
Path = Annotated[
    str,
    pydantic.StringConstraints(
        strict=True, pattern=PATH_PATTERN, max_length=512
    ),
]
Flag = Annotated[bool, pydantic.Strict()]
Count = Annotated[int, pydantic.Field(strict=True, ge=1, le=1_000_000)]
CountOrZero = Annotated[int, pydantic.Field(strict=True, ge=0, le=1_000_000)]
Priority = Annotated[
    int, pydantic.Field(strict=True, ge=0, le=conf.PRIORITY_HIGHEST)
]
Ratio = Annotated[float, pydantic.Field(strict=True, ge=0, le=1)]
Rate = Annotated[float, pydantic.Field(strict=True, gt=0, le=1e9)]
Timeout = Annotated[float, pydantic.Field(strict=True, gt=0, le=conf.HOUR_S)]
Lifetime = Annotated[float, pydantic.Field(strict=True, gt=0, le=conf.DAY_S)]
Weight = Annotated[float, pydantic.Field(strict=True, gt=0, le=1000)]


class FileModel(pydantic.BaseModel):
    """Serve as the base class of all models of the schema.

    Instances are frozen and refuse unknown fields.
    """

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, validate_by_name=False
    )


def by_name(item_type, *, max_items, min_items=0):
    """Return the type of a read-only mapping from names to ``item_type``.

    The mapping has ``min_items`` to ``max_items`` items.
    """
    return Annotated[
        dict[Name, item_type],
        pydantic.Field(min_length=min_items, max_length=max_items),
        pydantic.AfterValidator(types.MappingProxyType),
        pydantic.WrapSerializer(_serialize_mapping),
    ]


def _serialize_mapping(value, handler):
    return handler(dict(value))
