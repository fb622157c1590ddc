"""Read the settings file that the platform writes for each machine."""

import pathlib
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from dragonflyramp.machine_settings import (
    ColdReplicaBounds,
    ExposureBounds,
    MachineSettings,
    QuotaBounds,
    RetryBounds,
    RevocationBounds,
    VmLimits,
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
        contracts=frozenset(map(str, fields.get('contracts') or ())),
        quota_bounds=_parse_quota_bounds(bounds),
        exposure_bounds=_parse_exposure_bounds(bounds),
        revocation_bounds=_parse_revocation_bounds(bounds),
        vm_limits=_parse_vm_limits(fields.get('limits') or {}),
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


def _parse_quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    default = QuotaBounds()
    return QuotaBounds(
        window_seconds=float(
            bounds.get('quota_window_s', default.window_seconds)
        ),
        overshoot=float(bounds.get('quota_overshoot', default.overshoot)),
        slack=float(bounds.get('quota_slack', default.slack)),
    )


def _parse_exposure_bounds(bounds: dict[str, Any]) -> ExposureBounds:
    default = ExposureBounds()
    default_ms = default.rollback_seconds * _MS_PER_SECOND
    return ExposureBounds(
        share=float(bounds.get('exposure_share', default.share)),
        slack=float(bounds.get('exposure_slack', default.slack)),
        rollback_seconds=float(bounds.get('rollback_ms', default_ms))
        / _MS_PER_SECOND,
    )


def _parse_revocation_bounds(bounds: dict[str, Any]) -> RevocationBounds:
    default = RevocationBounds()
    default_ms = default.max_age_seconds * _MS_PER_SECOND
    return RevocationBounds(
        is_strict=bool(bounds.get('strict_revoke', default.is_strict)),
        max_age_seconds=float(bounds.get('revoke_ms', default_ms))
        / _MS_PER_SECOND,
    )


def _parse_vm_limits(limits: dict[str, Any]) -> VmLimits:
    return VmLimits(
        memory_bytes=int(float(limits.get('memory_mb') or 0) * _BYTES_PER_MB),
        max_descriptors=int(limits.get('max_fds') or 0),
    )


_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1024 * 1024
