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
    SettingDefinition,
    Settings,
    setting_definitions,
)

_BAD_SETTING_EXIT_CODE = 2
_ALLOWED_FLAGS = 'a flag listed in docs/settings.md'


@attrs.frozen
class RawSetting:
    """Unparsed text of a setting.

    `origin_suffix` names its environment variable; it is empty for a flag.
    """

    definition: SettingDefinition
    text: str
    origin_suffix: str = ''

    def parse(self) -> Result[Any, BadSetting]:
        """Parse the text; fail if the value is not allowed."""
        try:
            return Success(self.definition.value_type.parse(self.text))
        except ValueError:
            # repr() keeps a value with line breaks on one line.
            flag, text = self.definition.flag, repr(self.text)
            argument = f'--{flag}={text}{self.origin_suffix}'
            return Failure(
                BadSetting(argument, self.definition.value_type.allowed)
            )


def load_or_exit(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Load all settings; exit with code 2 if one is invalid."""
    load_result = load_settings(argv, environment)
    if is_successful(load_result):
        return load_result.unwrap()
    bad_setting = load_result.failure()
    sys.stderr.write(f'{bad_setting}\n')
    sys.exit(_BAD_SETTING_EXIT_CODE)


def load_settings(
    argv: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, BadSetting]:
    """Load and check all settings; flags override environment variables.

    `argv` starts with the name of the program.
    """
    flag_values = _define_flags()
    try:
        positional = flag_values(argv)[1:]
    except flags.UnrecognizedFlagError as error:
        return Failure(BadSetting(f'--{error.flagname}', _ALLOWED_FLAGS))
    except flags.Error as error:
        return Failure(BadSetting(str(error), _ALLOWED_FLAGS))
    if positional:
        return Failure(BadSetting(positional[0], _ALLOWED_FLAGS))
    return _parse_settings(_collect_raw_settings(flag_values, environment))


def _define_flags() -> flags.FlagValues:
    flag_values = flags.FlagValues()  # type: ignore[no-untyped-call]
    for definition in setting_definitions():
        flags.DEFINE_string(
            definition.flag, None, definition.meaning, flag_values=flag_values
        )
    return flag_values


def _collect_raw_settings(
    flag_values: flags.FlagValues, environment: Mapping[str, str]
) -> list[RawSetting]:
    raw_settings = []
    for definition in setting_definitions():
        environment_text = environment.get(definition.environment_name)
        if flag_values[definition.flag].present:
            raw_settings.append(
                RawSetting(definition, str(flag_values[definition.flag].value))
            )
        elif environment_text is not None:
            origin_suffix = f' (from {definition.environment_name})'
            raw_settings.append(
                RawSetting(definition, environment_text, origin_suffix)
            )
    return raw_settings


def _parse_settings(
    raw_settings: list[RawSetting],
) -> Result[Settings, BadSetting]:
    fields: dict[str, Any] = {}
    for raw_setting in raw_settings:
        parse_result = raw_setting.parse()
        if not is_successful(parse_result):
            return parse_result
        fields[raw_setting.definition.flag] = parse_result.unwrap()
    return Success(Settings(**fields))
