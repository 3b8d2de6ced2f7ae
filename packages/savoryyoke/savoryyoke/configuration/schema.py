"""Schema of the merged operators' file, version 1.

The fields, defaults and checks of a released version never change; any
addition requires a new version. Therefore all releases that support the
schema version of a file accept or refuse the file alike.
"""

import enum
from typing import Annotated
from typing import Literal

import pydantic

from savoryyoke.configuration import conf
from savoryyoke.configuration import fields
from savoryyoke.configuration import policies


class Method(enum.StrEnum):
    """List the HTTP methods that an operation may have."""

    DELETE = 'DELETE'
    GET = 'GET'
    HEAD = 'HEAD'
    PATCH = 'PATCH'
    POST = 'POST'
    PUT = 'PUT'


class ServiceKind(enum.StrEnum):
    """List the kinds of services."""

    APPLICATION = 'application'
    MODEL_GROUP = 'model_group'


class DataCentreState(enum.StrEnum):
    """List the states of a data centre: taking new work or not."""

    IN = 'in'
    OUT = 'out'


class Operation(fields.FileModel):
    """Declare one operation of a service."""

    method: Method = pydantic.Field(description='HTTP method, upper case.')
    path: fields.Path = pydantic.Field(
        description='Path of the request; ``{name}`` matches one segment.'
    )
    idempotent: fields.Flag = pydantic.Field(
        description='Whether a call may safely run more than once.'
    )
    timeout_s: fields.Timeout = pydantic.Field(
        default=conf.OPERATION_TIMEOUT_S,
        description='Time limit in seconds for answering a call.',
    )
    priority: fields.Priority = pydantic.Field(
        default=conf.OPERATION_PRIORITY,
        description='Priority of its calls; higher numbers go first.',
    )


class Model(fields.FileModel):
    """Declare one model with its versions and adapters."""

    versions: tuple[fields.Name, ...] = pydantic.Field(
        min_length=1,
        max_length=conf.VARIANTS_LIMIT,
        description='Versions that may be loaded.',
    )
    default_version: fields.Name = pydantic.Field(
        description='Version for calls that do not name a version.'
    )
    adapters: tuple[fields.Name, ...] = pydantic.Field(
        default=(),
        max_length=conf.VARIANTS_LIMIT,
        description='Adapters that may be loaded.',
    )


class Service(fields.FileModel):
    """Hold the fields that both kinds of services have in common."""

    replicas: fields.Count = pydantic.Field(
        description='Number of targets in all data centres together.'
    )
    operations_by_name: fields.by_name(
        Operation, max_items=conf.OPERATIONS_LIMIT, min_items=1
    ) = pydantic.Field(
        alias='operations', description='Its operations, by name.'
    )
    checks_fencing: fields.Flag = pydantic.Field(
        default=False,
        description='Whether its targets refuse outdated fencing tokens.',
    )
    retry: policies.Retry = policies.Retry()
    warm_up: policies.WarmUp = policies.WarmUp()
    admission: policies.Admission = policies.Admission()


class ModelGroup(Service):
    """Declare a group of expert-parallel model replicas."""

    kind: Literal[ServiceKind.MODEL_GROUP] = pydantic.Field(
        description='``model_group``.'
    )
    models_by_name: fields.by_name(
        Model, max_items=conf.MODELS_LIMIT, min_items=1
    ) = pydantic.Field(alias='models', description='Its models, by name.')
    ranks_per_group: fields.Count = pydantic.Field(
        description='Number of ranks that run one replica in lock-step.'
    )
    experts_per_layer: fields.Count = pydantic.Field(
        description='Number of experts in each expert layer.'
    )
    expert_layers: fields.Count = pydantic.Field(
        description='Number of layers with experts.'
    )


class Application(Service):
    """Declare an application service."""

    kind: Literal[ServiceKind.APPLICATION] = pydantic.Field(
        description='``application``.'
    )


class Team(fields.FileModel):
    """Declare a team with its weight and limits."""

    weight: fields.Weight = pydantic.Field(
        default=conf.TEAM_WEIGHT,
        description='Share of a contended target, relative to other teams.',
    )
    priority_ceiling: fields.Priority = pydantic.Field(
        default=conf.PRIORITY_HIGHEST,
        description='Highest priority that its calls may have.',
    )
    requests_per_s: fields.Rate | None = pydantic.Field(
        default=None,
        description='Requests per second in the whole fleet; unset: no limit.',
    )
    tokens_per_s: fields.Rate | None = pydantic.Field(
        default=None,
        description='Tokens per second in the whole fleet; unset: no limit.',
    )
    max_concurrency: fields.Count | None = pydantic.Field(
        default=None,
        description='Calls at once in the whole fleet; unset: no limit.',
    )
    api_key_name: fields.Name | None = pydantic.Field(
        default=None,
        description='Name of the API key that identifies its callers.',
    )


class DataCentre(fields.FileModel):
    """Declare a data centre and whether it takes new work."""

    region: fields.Name = pydantic.Field(
        description='Region of the data centre.'
    )
    state: DataCentreState = pydantic.Field(
        default=DataCentreState.IN,
        description='``in``, or ``out`` to send it no new work.',
    )


AnyService = Annotated[
    ModelGroup | Application, pydantic.Field(discriminator='kind')
]


class Configuration(fields.FileModel):
    """Hold the merged file as a whole."""

    schema_version: int = pydantic.Field(
        strict=True,
        ge=1,
        le=1,
        description='Version of the schema that the file uses.',
    )
    data_centres_by_name: fields.by_name(
        DataCentre, max_items=conf.DATA_CENTRES_LIMIT, min_items=1
    ) = pydantic.Field(
        alias='data_centres', description='Data centres, by name.'
    )
    services_by_name: fields.by_name(
        AnyService, max_items=conf.SERVICES_LIMIT, min_items=1
    ) = pydantic.Field(alias='services', description='Services, by name.')
    teams_by_name: fields.by_name(
        Team, max_items=conf.TEAMS_LIMIT, min_items=1
    ) = pydantic.Field(alias='teams', description='Teams, by name.')
