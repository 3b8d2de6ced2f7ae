"""Settings of the entry process and of the target process."""

import enum
from typing import Annotated
from typing import ClassVar

import pydantic

from savoryyoke_edge.settings import addresses
from savoryyoke_edge.settings import conf

Identifier = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*$', max_length=63
    ),
]
ListenAddress = Annotated[
    addresses.Address,
    pydantic.PlainValidator(addresses.parse_address),
    pydantic.PlainSerializer(str),
]
PeerAddress = Annotated[
    addresses.Address,
    pydantic.PlainValidator(addresses.parse_peer_address),
    pydantic.PlainSerializer(str),
]
Url = Annotated[str, pydantic.AfterValidator(addresses.parse_url)]
Timeout = Annotated[float, pydantic.Field(gt=0, le=conf.TIMEOUT_MAXIMUM_S)]
Period = Annotated[float, pydantic.Field(gt=0, le=conf.PERIOD_MAXIMUM_S)]


class LogLevel(enum.StrEnum):
    """List the log levels, most severe first."""

    ERROR = 'error'
    WARNING = 'warning'
    INFO = 'info'
    DEBUG = 'debug'


class BackendKind(enum.StrEnum):
    """List the kinds of back ends of a target process."""

    ENGINE = 'engine'
    APPLICATION = 'application'


class ProcessSettings(pydantic.BaseModel):
    """Hold the settings that entries and targets have in common."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, validate_default=True
    )
    prefix: ClassVar[str]

    vm_id: Identifier = pydantic.Field(
        description='Identifier of the VM in the list of VMs.'
    )
    data_centre: Identifier = pydantic.Field(
        description='Data centre of the VM.'
    )
    region: Identifier = pydantic.Field(
        default=conf.DEFAULT_REGION,
        description='Region of the data centre.',
    )
    site: Identifier = pydantic.Field(
        description="Site; its overlay of the operators' file applies."
    )
    platform_url: Url = pydantic.Field(
        description='URL of the configuration service, http://host:port.'
    )
    admin_address: ListenAddress = pydantic.Field(
        default=conf.LOOPBACK_ANY_PORT,
        description=(
            'Address for status, drain, metrics and health checks, host:port.'
        ),
    )
    admin_token: pydantic.SecretStr | None = pydantic.Field(
        default=None,
        min_length=1,
        description=(
            'Bearer token that drain requests must carry; required if the'
            ' admin address is not a loopback address.'
        ),
    )
    control_address: ListenAddress = pydantic.Field(
        default=conf.LOOPBACK_ANY_PORT,
        description=(
            'UDP and TCP address for messages between all processes,'
            ' host:port; port 0 lets the kernel choose.'
        ),
    )
    advertised_control_address: PeerAddress | None = pydantic.Field(
        default=None,
        description=(
            'Control address that is advertised to other processes,'
            ' host:port; unset means the bound address.'
        ),
    )
    log_level: LogLevel = pydantic.Field(
        default=LogLevel.INFO,
        description='Least severe level that is logged.',
    )
    drain_timeout_s: Timeout = pydantic.Field(
        default=conf.DRAIN_TIMEOUT_S,
        description=(
            'Time in seconds that a drain waits for requests in flight.'
        ),
    )
    platform_timeout_s: Timeout = pydantic.Field(
        default=conf.PLATFORM_TIMEOUT_S,
        description=(
            'Time limit in seconds for one call to the configuration service,'
            ' in addition to the wait time of a watch.'
        ),
    )
    seed: int | None = pydantic.Field(
        default=None,
        ge=0,
        description=(
            'Seed of the random generator; unset means a random seed.'
        ),
    )


class EntrySettings(ProcessSettings):
    """Hold the settings of an entry process."""

    prefix: ClassVar[str] = 'SAVORYYOKE_ENTRY_'

    listen_address: ListenAddress = pydantic.Field(
        default=conf.LOOPBACK_ANY_PORT,
        description="Address for callers' HTTP requests, host:port; port 0"
        ' lets the kernel choose.',
    )
    advertised_address: PeerAddress | None = pydantic.Field(
        default=None,
        description=(
            'Address that is advertised to callers, host:port; unset means'
            ' the bound address.'
        ),
    )
    connect_timeout_s: Timeout = pydantic.Field(
        default=conf.CONNECT_TIMEOUT_S,
        description='Time limit in seconds for connecting to a target.',
    )
    header_timeout_s: Timeout = pydantic.Field(
        default=conf.HEADER_TIMEOUT_S,
        description=(
            'Time limit in seconds for a caller to send its request headers.'
        ),
    )
    idle_timeout_s: Timeout = pydantic.Field(
        default=conf.IDLE_TIMEOUT_S,
        description=(
            "Time in seconds after which a caller's idle connection is closed."
        ),
    )
    body_limit_bytes: int = pydantic.Field(
        default=conf.BODY_LIMIT_BYTES,
        gt=0,
        le=conf.BODY_LIMIT_MAXIMUM_BYTES,
        description='Largest request body in bytes; larger ones are refused.',
    )
    connection_limit: int = pydantic.Field(
        default=conf.CONNECTION_LIMIT,
        gt=0,
        le=conf.CONNECTION_LIMIT_MAXIMUM,
        description="Largest number of open connections of callers.",
    )
    address_lifetime_s: Timeout = pydantic.Field(
        default=conf.ADDRESS_LIFETIME_S,
        description=(
            'Time in seconds for which a caller may cache an advertised'
            ' address.'
        ),
    )


class TargetSettings(ProcessSettings):
    """Hold the settings of a target process."""

    prefix: ClassVar[str] = 'SAVORYYOKE_TARGET_'

    service: Identifier = pydantic.Field(
        description='Service or model group that the target serves.'
    )
    target_id: Identifier = pydantic.Field(
        description='Identifier of the target, unique in the fleet.'
    )
    listen_address: ListenAddress = pydantic.Field(
        default=conf.LOOPBACK_ANY_PORT,
        description='TCP address for connections of entries, host:port; port 0'
        ' lets the kernel choose.',
    )
    heartbeat_period_s: Period = pydantic.Field(
        default=conf.HEARTBEAT_PERIOD_S,
        description='Period in seconds of the load reports to each entry.',
    )
    backend_url: Url = pydantic.Field(
        description='URL of the engine or application, http://host:port.'
    )
    backend_kind: BackendKind = pydantic.Field(
        description='Kind of the back end: engine or application.'
    )
    backend_timeout_s: Timeout = pydantic.Field(
        default=conf.BACKEND_TIMEOUT_S,
        description=(
            'Time limit in seconds for a call to the back end if the'
            " operators' file sets none."
        ),
    )
    connect_timeout_s: Timeout = pydantic.Field(
        default=conf.CONNECT_TIMEOUT_S,
        description=('Time limit in seconds for connecting to the back end.'),
    )
    ledger_limit_records: int = pydantic.Field(
        default=conf.LEDGER_LIMIT_RECORDS,
        gt=0,
        le=conf.LEDGER_LIMIT_MAXIMUM_RECORDS,
        description=(
            'Largest number of non-idempotent calls that are recorded.'
        ),
    )
    body_limit_bytes: int = pydantic.Field(
        default=conf.BODY_LIMIT_BYTES,
        gt=0,
        le=conf.BODY_LIMIT_MAXIMUM_BYTES,
        description='Largest response body in bytes if it is not streamed.',
    )
