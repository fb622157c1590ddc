"""Read the settings file that the platform writes for each machine."""

import pathlib
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from dragonflyramp.machine_settings import (
    ColdReplicaBounds,
    MachineSettings,
    RetryBounds,
)
from dragonflyramp.object_limits import DECODE_ERRORS

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = 'DRAGONFLYRAMP_BOOT'


def read_settings(path: str) -> Result[MachineSettings, str]:
    """Read the settings file; fail with an error message for the operator."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Failure(
            f'the settings file {path} cannot be read: {error.strerror}; '
            'set DRAGONFLYRAMP_BOOT to its path'
        )
    except UnicodeDecodeError:
        return Failure(f'the settings file {path} is not UTF-8')
    return decode_settings(text)


def decode_settings(text: str) -> Result[MachineSettings, str]:
    """Decode the text of a settings file; ignore unknown fields.

    Fail with an error message for the operator.
    """
    try:
        fields = yaml.load(text, Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Failure(f'the settings file is not valid YAML: {error}')
    try:
        return Success(_parse_settings(fields))
    except DECODE_ERRORS as error:
        return Failure(
            f'a field of the settings file is missing or invalid: {error!r}'
        )


def _parse_settings(fields: dict[str, Any]) -> MachineSettings:
    listen = fields['listen']
    bounds = fields.get('bounds') or {}
    return MachineSettings(
        node=str(fields['node']),
        failure_domain=str(fields['zone']),
        region=str(fields.get('region', '')),
        frontend_address=str(listen['frontend']),
        readiness_address=str(listen['readiness']),
        member_address=str(listen.get('control') or ''),
        seeds=tuple(map(str, fields.get('seeds') or ())),
        store_address=str(fields['platform']['address']),
        grace_seconds=float(bounds.get('grace_s', 5)),
        retry_bounds=_parse_retry_bounds(bounds),
        cold_replica_bounds=_parse_cold_replica_bounds(bounds),
    )


def _parse_retry_bounds(bounds: dict[str, Any]) -> RetryBounds:
    default = RetryBounds()
    return RetryBounds(
        ratio=float(bounds.get('retry_budget_ratio', default.ratio)),
        window_seconds=float(
            bounds.get('budget_window_s', default.window_seconds)
        ),
        slack=float(bounds.get('retry_budget_slack', default.slack)),
    )


def _parse_cold_replica_bounds(bounds: dict[str, Any]) -> ColdReplicaBounds:
    default = ColdReplicaBounds()
    return ColdReplicaBounds(
        overshoot=float(bounds.get('warmup_overshoot', default.overshoot)),
        slack=float(bounds.get('warmup_slack', default.slack)),
    )
