"""Define the settings of both daemons, with defaults and allowed values."""

import enum
from typing import Any, TypeVar

import attrs

from dragonflyramp.results import ResultCode
from dragonflyramp.setting_kinds import (
    Address,
    Addresses,
    Choice,
    Choices,
    Kind,
    Name,
    Number,
    Whole,
)

_Typed = TypeVar('_Typed')
_KIND = 'kind'
_MEANING = 'meaning'


class PolicySet(enum.Enum):
    """Name the sets of policies that a daemon can run."""

    ours = 'ours'
    naive = 'naive'


class Policy(enum.Enum):
    """Name the policies that have a naive variant."""

    choice = 'choice'
    ramp = 'ramp'
    hedging = 'hedging'
    retries = 'retries'
    leaving = 'leaving'
    stragglers = 'stragglers'
    canary = 'canary'
    slices = 'slices'


class LogFormat(enum.Enum):
    """Name the formats of log lines."""

    text = 'text'
    json = 'json'


class LogLevel(enum.Enum):
    """Name the log levels; a value is the name that loguru knows."""

    debug = 'DEBUG'
    info = 'INFO'  # noqa: WPS110 - the name that operators know
    warning = 'WARNING'
    error = 'ERROR'


class Trace(enum.Enum):
    """Name what a daemon traces."""

    off = 'off'
    decisions = 'decisions'


def _required(kind: Kind[_Typed], meaning: str) -> _Typed:
    metadata = {_KIND: kind, _MEANING: meaning}
    return attrs.field(metadata=metadata)  # type: ignore[no-any-return]


def _optional(kind: Kind[_Typed], default: _Typed, meaning: str) -> _Typed:
    metadata = {_KIND: kind, _MEANING: meaning}
    return attrs.field(default=default, metadata=metadata)


def _seconds(low: float, high: float) -> Number:
    return Number(low, high, 's')


_MINUTE = 60
_HOUR = 60 * _MINUTE
_DAY = 24 * _HOUR
_MIB = 1024 * 1024
_MAX_MEMBERS = 32
_LISTEN = Address(first_port=0)
_LISTEN_ANYWHERE = Address(first_port=0, any_interface=True)


@attrs.frozen(kw_only=True)
class Settings:
    """Hold the settings of a daemon; each field is also a flag."""

    platform_address: str = _required(
        Address(), "Where the platform's object API and VM list answer."
    )
    listen_address: str = _optional(
        _LISTEN_ANYWHERE,
        '0.0.0.0:8080',
        'Where a front listens for callers (HTTP).',
    )
    member_address: str = _required(
        _LISTEN,
        'Where the daemon listens for other daemons (gRPC), which are told '
        'this address.',
    )
    status_address: str = _required(
        _LISTEN,
        'Where the daemon listens for operators (HTTP), who are told this '
        'address.',
    )
    failure_domain: str = _required(
        Name(), 'The failure domain in which the daemon runs.'
    )
    region: str = _required(Name(), 'The region in which the daemon runs.')
    group: str = _optional(Name(), 'main', 'The group of members to join.')
    peers: tuple[str, ...] = _optional(
        Addresses(),
        (),
        'Member addresses from which a daemon that starts while the platform '
        'is down reads the configuration.',
    )
    renewal_period_seconds: float = _optional(
        _seconds(0.1, _MINUTE),
        1,
        'Time between two heartbeats, and between two writes of the group '
        'record.',
    )
    lease_term_seconds: float = _optional(
        _seconds(0.1, 5 * _MINUTE),
        3,
        'Time for which a lease may be used after a renewal.',
    )
    isolation_seconds: float = _optional(
        _seconds(0.1, 5 * _MINUTE),
        3,
        'Time without the platform and without any member after which a '
        'daemon starts no new work.',
    )
    peer_silence_seconds: float = _optional(
        _seconds(1, _MINUTE),
        2,
        'Time without any message after which a front asks a relay last.',
    )
    policy: PolicySet = _optional(
        Choice(PolicySet), PolicySet.ours, 'The set of policies to run.'
    )
    naive_policies: tuple[Policy, ...] = _optional(
        Choices(Policy),
        (),
        'Single policies to run in their naive variant, for measurements.',
    )
    naive_relays: int = _optional(
        Whole(1, _MAX_MEMBERS, 'relays'),
        1,
        'Relays among which the naive ramp splits the slots of each replica.',
    )
    log_format: LogFormat = _optional(
        Choice(LogFormat),
        LogFormat.text,
        'The format of log lines on standard error.',
    )
    log_level: LogLevel = _optional(
        Choice(LogLevel), LogLevel.info, 'The lowest level that is logged.'
    )
    drain_notice_seconds: float = _optional(
        _seconds(0, _MINUTE),
        1,
        'Time between becoming not ready and refusing new requests at a '
        'planned stop.',
    )
    drain_seconds: float = _optional(
        _seconds(0, 10 * _MINUTE),
        _MINUTE / 2,
        'Longest wait for running requests at a planned stop.',
    )
    claim_retention_seconds: float = _optional(
        _seconds(_MINUTE, 7 * _DAY),
        _DAY,
        'Time for which the claim of an idempotency key is kept.',
    )
    quarantine_seconds: float = _optional(
        _seconds(1, _DAY),
        5 * _MINUTE,
        'Time for which a request that crashed two backend servers is refused.',
    )
    max_body_bytes: int = _optional(
        Whole(1024, 3 * _MIB, 'bytes'),
        _MIB,
        "Longest body of a caller's request. Messages between daemons hold "
        'at most 4 MiB.',
    )
    vm_list_period_seconds: float = _optional(
        _seconds(0.1, _MINUTE), 2, 'Time between two reads of the VM list.'
    )
    status_period_seconds: float = _optional(
        _seconds(0.1, _MINUTE),
        1,
        "Time between two reads of a backend server's status.",
    )
    connection_idle_seconds: float = _optional(
        _seconds(1, _HOUR),
        _MINUTE,
        'Time after which an unused connection to a backend server is closed.',
    )
    trace: Trace = _optional(
        Choice(Trace), Trace.off, 'Whether decisions are traced.'
    )

    def is_naive(self, policy: Policy) -> bool:
        """Tell whether a policy runs in its naive variant."""
        return self.policy is PolicySet.naive or policy in self.naive_policies


@attrs.frozen
class SettingRow:
    """Describe one row of the table of settings."""

    flag: str
    kind: Kind[Any]
    default: Any
    meaning: str

    @property
    def environment_name(self) -> str:
        """Name the environment variable."""
        suffix = self.flag.upper()
        return f'DRAGONFLYRAMP_{suffix}'

    @property
    def is_required(self) -> bool:
        """Tell whether there is no default."""
        return self.default is attrs.NOTHING


@attrs.frozen
class BadSetting:
    """Explain which argument is not accepted, and what would be."""

    argument: str
    allowed: str

    def __str__(self) -> str:
        """Give the line that a daemon prints before it ends."""
        number = int(ResultCode.bad_setting)
        reason = f'error {number}: bad setting {self.argument}'
        return f'{reason}: use {self.allowed}'


def table() -> tuple[SettingRow, ...]:
    """List all settings."""
    return tuple(
        SettingRow(
            field.name,
            field.metadata[_KIND],
            field.default,
            field.metadata[_MEANING],
        )
        for field in attrs.fields(Settings)
    )


def cross_check(settings: Settings) -> BadSetting | None:
    """Find a setting that does not fit another one."""
    shortest_term_seconds = 2 * settings.renewal_period_seconds
    if settings.lease_term_seconds < shortest_term_seconds:
        return BadSetting(
            f'--lease_term_seconds={settings.lease_term_seconds}',
            f'at least {shortest_term_seconds}, twice the renewal period',
        )
    if settings.isolation_seconds > settings.lease_term_seconds:
        return BadSetting(
            f'--isolation_seconds={settings.isolation_seconds}',
            f'at most {settings.lease_term_seconds}, the lease term',
        )
    return None
