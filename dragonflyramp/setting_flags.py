"""Read the settings from flags and environment variables."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from absl import flags
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp.settings import (
    BadSetting,
    SettingRow,
    Settings,
    table,
)

_EXIT_CODE = 2
_ANY_FLAG = 'the flags of docs/settings.md'


@attrs.frozen
class Given:
    """Hold the text given for a setting and where it was given."""

    row: SettingRow
    text: str
    origin: str = ''

    def parse(self) -> Result[Any, BadSetting]:
        """Read the text."""
        try:
            return Success(self.row.kind.parse(self.text))
        except ValueError:
            # repr() keeps a value with a line break on one line.
            flag, text = self.row.flag, repr(self.text)
            argument = f'--{flag}={text}{self.origin}'
            return Failure(BadSetting(argument, self.row.kind.allowed))


def load_or_exit(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Read all settings; a bad one ends the program with exit code 2."""
    loaded = load_settings(argv, environment)
    if is_successful(loaded):
        return loaded.unwrap()
    bad = loaded.failure()
    sys.stderr.write(f'{bad}\n')
    sys.exit(_EXIT_CODE)


def load_settings(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, BadSetting]:
    """Read and check all settings; a flag wins over its variable.

    `argv` starts with the name of the program.
    """
    defined = _define()
    try:
        extra = defined(argv)[1:]
    except flags.UnrecognizedFlagError as unknown:
        return Failure(BadSetting(f'--{unknown.flagname}', _ANY_FLAG))
    except flags.Error as error:
        return Failure(BadSetting(str(error), _ANY_FLAG))
    if extra:
        return Failure(BadSetting(extra[0], _ANY_FLAG))
    return _parse(_collect(defined, environment))


def _define() -> flags.FlagValues:
    defined = flags.FlagValues()  # type: ignore[no-untyped-call]
    for row in table():
        flags.DEFINE_string(row.flag, None, row.meaning, flag_values=defined)
    return defined


def _collect(
    defined: flags.FlagValues, environment: Mapping[str, str]
) -> list[Given]:
    collected = []
    for row in table():
        in_environment = environment.get(row.environment_name)
        if defined[row.flag].present:
            collected.append(Given(row, str(defined[row.flag].value)))
        elif in_environment is not None:
            origin = f' (from {row.environment_name})'
            collected.append(Given(row, in_environment, origin))
    return collected


def _parse(collected: list[Given]) -> Result[Settings, BadSetting]:
    fields: dict[str, Any] = {}
    for given in collected:
        parsed = given.parse()
        if not is_successful(parsed):
            return parsed
        fields[given.row.flag] = parsed.unwrap()
    return Success(Settings(**fields))
