"""Define the flags of the operators' command."""

import functools
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

import attrs
from absl import flags
from returns.result import Failure, Result, Success

from dragonflyramp.operators import is_ip_and_port

_ENVIRONMENT_PREFIX = 'DRAGONFLYRAMP_'
#: aiohttp treats 0 as no timeout.
_MIN_TIMEOUT_SECONDS = 0.05

_FlagDefinition: TypeAlias = tuple[Callable[..., object], str, Any, str]

#: The function that defines each flag, its name, its default and its help.
_FLAGS: tuple[_FlagDefinition, ...] = (
    (flags.DEFINE_string, 'platform', '', 'Address of the platform, IP:port.'),
    (
        flags.DEFINE_string,
        'author',
        '',
        'Author recorded in the history; defaults to $USER.',
    ),
    (
        flags.DEFINE_string,
        'note',
        '',
        'Reason for a push, recorded in the history.',
    ),
    (
        flags.DEFINE_string,
        'reason',
        '',
        'Reason recorded with the hold that `zone out` adds.',
    ),
    (
        flags.DEFINE_multi_string,
        'release',
        [],
        'Name of a hold that a push may remove or change; may be repeated.',
    ),
    (
        flags.DEFINE_list,
        'daemons',
        [],
        'Metrics addresses of the daemons that `status` shows, IP:port.',
    ),
    (
        flags.DEFINE_list,
        'logs',
        [],
        'Log files that `explain` searches for a request; - is standard input.',
    ),
    (
        functools.partial(flags.DEFINE_integer, lower_bound=0),
        'base',
        None,
        'Number of the stored text that the pushed text was edited from; '
        'overrides its base line.',
    ),
    (
        flags.DEFINE_boolean,
        'confirm_dark',
        False,
        'Allow `zone out` to leave shards without replicas.',
    ),
    (
        functools.partial(
            flags.DEFINE_float,
            lower_bound=_MIN_TIMEOUT_SECONDS,
            upper_bound=60,
        ),
        'timeout_seconds',
        2,
        'Timeout of one call to the platform or a daemon.',
    ),
)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of the operators' command, from its flags."""

    platform: str
    author: str
    note: str
    reason: str
    release: tuple[str, ...]
    daemons: tuple[str, ...]
    logs: tuple[str, ...]
    base: int | None
    confirm_dark: bool
    timeout_seconds: float

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the platform and the daemons that are set."""
        platform = (self.platform,) if self.platform else ()
        return (*platform, *self.daemons)


@attrs.frozen
class CommandLine:
    """Parsed command line; `positional` contains its positional arguments."""

    settings: OperatorSettings
    positional: tuple[str, ...]


def parse_command_line(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Result[CommandLine, str]:
    """Parse flags, also from environment variables; fail with a message."""
    flag_values = _define_flags()
    program, *arguments = argv
    try:
        positional = flag_values(
            (program, *_flags_from_environment(environment), *arguments)
        )
    except flags.Error as error:
        return Failure(str(error))
    settings = OperatorSettings(
        platform=flag_values.platform,
        author=flag_values.author or environment.get('USER', ''),
        note=flag_values.note,
        reason=flag_values.reason,
        release=tuple(flag_values.release),
        daemons=tuple(flag_values.daemons),
        logs=tuple(flag_values.logs),
        base=flag_values.base,
        confirm_dark=flag_values.confirm_dark,
        timeout_seconds=flag_values.timeout_seconds,
    )
    for address in settings.addresses:
        if not is_ip_and_port(address):
            return Failure(
                f'{address} is not an address of the form IP:port, '
                'such as 10.0.0.1:8080'
            )
    return Success(CommandLine(settings, tuple(positional[1:])))


def _define_flags() -> Any:
    """Define the flags in a new registry, so that tests can call this again."""
    create: Any = flags.FlagValues
    flag_values = create()
    flag_values.set_gnu_getopt(gnu_getopt=True)
    for define, name, default, description in _FLAGS:
        define(name, default, description, flag_values=flag_values)
    return flag_values


def _flags_from_environment(environment: Mapping[str, str]) -> Iterator[str]:
    for _, name, *_rest in _FLAGS:
        upper_name = name.upper()
        flag_text = environment.get(f'{_ENVIRONMENT_PREFIX}{upper_name}')
        if flag_text is not None:
            yield f'--{name}={flag_text}'
