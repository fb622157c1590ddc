"""Define the flags of the operators' command."""

import functools
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeAlias

import attrs
from absl import flags
from returns.result import Failure, Result, Success

from dragonflyramp.operators import is_ip_and_port

_ENVIRONMENT_PREFIX = 'DRAGONFLYRAMP_'
#: aiohttp takes 0 for no timeout at all.
_SHORTEST_TIMEOUT_SECONDS = 0.05

_Flag: TypeAlias = tuple[Callable[..., object], str, Any, str]

#: What defines each flag, its name, its default and its meaning.
_FLAGS: tuple[_Flag, ...] = (
    (flags.DEFINE_string, 'platform', '', 'Address of the platform, IP:port.'),
    (flags.DEFINE_string, 'author', '', 'Name for the history; else USER.'),
    (flags.DEFINE_string, 'note', '', 'Reason of a push, for the history.'),
    (flags.DEFINE_string, 'reason', '', 'Reason of `zone out`.'),
    (
        flags.DEFINE_multi_string,
        'release',
        [],
        'A hold that a push may remove or change; may be repeated.',
    ),
    (
        flags.DEFINE_list,
        'daemons',
        [],
        'Metrics addresses that `status` reads, IP:port.',
    ),
    (
        flags.DEFINE_list,
        'logs',
        [],
        'Log files in which `explain` looks for a request; - is the input.',
    ),
    (
        functools.partial(flags.DEFINE_integer, lower_bound=0),
        'base',
        None,
        'Number that a pushed text was edited from.',
    ),
    (
        flags.DEFINE_boolean,
        'confirm_dark',
        False,
        'Let `zone out` leave shards without replicas.',
    ),
    (
        functools.partial(
            flags.DEFINE_float,
            lower_bound=_SHORTEST_TIMEOUT_SECONDS,
            upper_bound=60,
        ),
        'timeout_seconds',
        2,
        'Longest time of one call to the platform or a daemon.',
    ),
)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Hold the values of the flags."""

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
        """Return the addresses that are given."""
        platform = (self.platform,) if self.platform else ()
        return (*platform, *self.daemons)


@attrs.frozen
class CommandLine:
    """Hold a parsed command line; the words are what is no flag."""

    settings: OperatorSettings
    words: tuple[str, ...]


def parse_command_line(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Result[CommandLine, str]:
    """Parse flags, also from the environment; fail with a sentence."""
    defined = _define_flags()
    program, *arguments = argv
    try:
        words = defined((program, *_inherited(environment), *arguments))
    except flags.Error as error:
        return Failure(str(error))
    settings = OperatorSettings(
        platform=defined.platform,
        author=defined.author or environment.get('USER', ''),
        note=defined.note,
        reason=defined.reason,
        release=tuple(defined.release),
        daemons=tuple(defined.daemons),
        logs=tuple(defined.logs),
        base=defined.base,
        confirm_dark=defined.confirm_dark,
        timeout_seconds=defined.timeout_seconds,
    )
    for address in settings.addresses:
        if not is_ip_and_port(address):
            return Failure(f'{address} is no address such as 10.0.0.1:8080')
    return Success(CommandLine(settings, tuple(words[1:])))


def _define_flags() -> Any:
    """Define the flags apart from those of the process, as tests need."""
    create: Any = flags.FlagValues
    defined = create()
    defined.set_gnu_getopt(gnu_getopt=True)
    for define, name, default, text in _FLAGS:
        define(name, default, text, flag_values=defined)
    return defined


def _inherited(environment: Mapping[str, str]) -> Iterator[str]:
    for _, name, *_rest in _FLAGS:
        upper_name = name.upper()
        found = environment.get(f'{_ENVIRONMENT_PREFIX}{upper_name}')
        if found is not None:
            yield f'--{name}={found}'
