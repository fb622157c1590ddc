"""Define the settings of a front, with defaults and allowed values."""

import enum
from typing import Any, TypeVar

import attrs

from dragonflyramp.results import ResultCode
from dragonflyramp.setting_types import (
    Choice,
    FloatRange,
    IntRange,
    OptionalAddress,
    SettingType,
)

_SettingValue = TypeVar('_SettingValue')
_VALUE_TYPE_KEY = 'value_type'
_MEANING_KEY = 'meaning'
_MAX_PORT = 65535
_DEFAULT_METRICS_PORT = 9464
#: The store replies within milliseconds, and within 0.3 s when it is slow.
_DEFAULT_STORE_TIMEOUT_SECONDS = 1.5
#: Two readiness checks at an interval of 1 s, with a margin.
_DEFAULT_STOP_NOTICE_SECONDS = 2.6
#: Closing ports and connections takes a few tenths of a second.
_DEFAULT_STOP_RESERVE_SECONDS = 0.7


class ConfigurationSource(enum.Enum):
    """Sources of the routing table."""

    platform = 'platform'
    text = 'text'


class AdmissionMode(enum.Enum):
    """Which requests run while capacity is short."""

    priority = 'priority'
    all = 'all'  # noqa: WPS125 - the value of the flag


class LogLevel(enum.Enum):
    """Log levels; the values are the names in loguru."""

    debug = 'DEBUG'
    info = 'INFO'  # noqa: WPS110 - the name that operators know
    warning = 'WARNING'
    error = 'ERROR'


class AnswerLogging(enum.Enum):
    """Successful answers in time that are logged."""

    sample = 'sample'
    all = 'all'  # noqa: WPS125 - the value of the flag


def _setting(
    value_type: SettingType[_SettingValue], default: _SettingValue, meaning: str
) -> _SettingValue:
    metadata = {_VALUE_TYPE_KEY: value_type, _MEANING_KEY: meaning}
    return attrs.field(default=default, metadata=metadata)


def _seconds_range(minimum: float, maximum: float) -> FloatRange:
    return FloatRange(minimum, maximum, 's')


_MAX_SECONDS = 60
_MAX_LOG_LINES_PER_SECOND = 10_000


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of a front, each of which is also a flag.

    The settings of its VM are in the platform's settings file.
    """

    configuration: ConfigurationSource = _setting(
        Choice(ConfigurationSource),
        ConfigurationSource.platform,
        "Source of the routing table: the platform's configuration or the "
        "operators' text.",
    )
    own_address: str = _setting(
        OptionalAddress(),
        '',
        'Address on which the front serves the native HTTP API; an empty '
        'address turns the API off.',
    )
    metrics_port: int = _setting(
        IntRange(0, _MAX_PORT, ''),
        _DEFAULT_METRICS_PORT,
        'Port on which the front serves its metrics, on the IP address of the '
        'frontend; 0 lets the kernel choose.',
    )
    store_timeout_seconds: float = _setting(
        _seconds_range(0.1, _MAX_SECONDS),
        _DEFAULT_STORE_TIMEOUT_SECONDS,
        "Timeout of one call to the platform's store.",
    )
    stop_notice_seconds: float = _setting(
        _seconds_range(0, _MAX_SECONDS),
        _DEFAULT_STOP_NOTICE_SECONDS,
        'Delay between reporting not ready and closing the port for callers '
        'at a planned stop; the platform takes a front out of service after '
        'two failed readiness checks, one per second.',
    )
    stop_reserve_seconds: float = _setting(
        _seconds_range(0, _MAX_SECONDS),
        _DEFAULT_STOP_RESERVE_SECONDS,
        'Time that is reserved for closing connections at the end of the '
        'grace period of a planned stop. After the grace period, the platform '
        'kills the process.',
    )
    admission: AdmissionMode = _setting(
        Choice(AdmissionMode),
        AdmissionMode.priority,
        'Which requests run while replicas report waiting requests, if routes '
        'on the same services differ in priority or there are tenants: by '
        'priority, or all in the order of their arrival.',
    )
    log_level: LogLevel = _setting(
        Choice(LogLevel), LogLevel.info, 'Lowest level that is logged.'
    )
    log_answers: AnswerLogging = _setting(
        Choice(AnswerLogging),
        AnswerLogging.sample,
        'Successful answers in time that are logged: one in 64, or all. With '
        'all, raise the limit on log lines, too.',
    )
    log_lines_per_second: int = _setting(
        IntRange(1, _MAX_LOG_LINES_PER_SECOND, 'lines'),
        60,
        'Limit on the average number of log lines per second; lines below '
        'the level warning that exceed it are dropped and counted.',
    )

    @property
    def logs_all_answers(self) -> bool:
        """Return whether all successful answers in time are logged."""
        return self.log_answers is AnswerLogging.all


@attrs.frozen
class SettingDefinition:
    """Definition of a setting; its flag is also the name of its field."""

    flag: str
    value_type: SettingType[Any]
    default: Any
    meaning: str

    @property
    def environment_name(self) -> str:
        """Return the name of the environment variable."""
        suffix = self.flag.upper()
        return f'DRAGONFLYRAMP_{suffix}'


@attrs.frozen
class BadSetting:
    """Rejected argument, and the values that are allowed instead."""

    argument: str
    allowed: str

    def __str__(self) -> str:
        """Format the line that a daemon prints before it exits."""
        number = int(ResultCode.bad_setting)
        reason = f'error {number}: bad setting {self.argument}'
        return f'{reason}: use {self.allowed}'


def setting_definitions() -> tuple[SettingDefinition, ...]:
    """Return the definitions of all settings."""
    return tuple(
        SettingDefinition(
            field.name,
            field.metadata[_VALUE_TYPE_KEY],
            field.default,
            field.metadata[_MEANING_KEY],
        )
        for field in attrs.fields(Settings)
    )
