"""Read the file that describes an experiment."""

import pathlib
import tomllib
from typing import Any

import attrs

#: What strikes a share of the replicas: they take `factor` times as long,
#: answer nothing, or refuse.
FAULT_KINDS = ('slow', 'silent', 'full')


def _check_positive(_: object, field: Any, number: Any) -> None:
    if number <= 0:
        raise ValueError(f'{field.name} must be above 0, not {number}')


def _check_not_negative(_: object, field: Any, number: Any) -> None:
    if number < 0:
        raise ValueError(f'{field.name} must not be below 0, not {number}')


def _check_share(_: object, field: Any, number: Any) -> None:
    if number < 0 or number > 1:
        raise ValueError(f'{field.name} must be from 0 to 1, not {number}')


@attrs.frozen(kw_only=True)
class Fault:
    """Hold one fault of a share of the replicas."""

    kind: str = attrs.field(validator=attrs.validators.in_(FAULT_KINDS))
    at_seconds: float = attrs.field(validator=_check_not_negative)
    for_seconds: float = attrs.field(validator=_check_positive)
    share: float = attrs.field(validator=_check_share)
    factor: float = attrs.field(default=1, validator=_check_positive)


@attrs.frozen(kw_only=True)
class Experiment:
    """Hold the installation, the load and the faults."""

    name: str
    seed: int
    seconds: float = attrs.field(validator=_check_positive)
    fronts: int = attrs.field(validator=_check_positive)
    failure_domains: int = attrs.field(validator=_check_positive)
    shards: int = attrs.field(validator=_check_positive)
    replicas: int = attrs.field(validator=_check_positive)
    slots: int = attrs.field(validator=_check_positive)
    #: Requests that wait at a replica beyond its slots.
    queue: int = attrs.field(validator=_check_not_negative)
    #: Connections that a replica accepts from all fronts.
    connections: int = attrs.field(validator=_check_positive)
    searches_per_second: float = attrs.field(validator=_check_positive)
    work_ms: float = attrs.field(validator=_check_positive)
    #: Standard deviation of the logarithm of the work.
    work_spread: float = attrs.field(
        default=0.35, validator=_check_not_negative
    )
    pause_ms: float = attrs.field(default=0, validator=_check_not_negative)
    pause_every_seconds: float = attrs.field(
        default=4, validator=_check_positive
    )
    cross_domain_ms: float = attrs.field(
        default=3, validator=_check_not_negative
    )
    connect_ms: float = attrs.field(default=6, validator=_check_not_negative)
    target_ms: float = attrs.field(validator=_check_positive)
    timeout_ms: float = attrs.field(validator=_check_positive)
    min_share: float = attrs.field(default=0.9, validator=_check_share)
    budget_ratio: float = attrs.field(default=0.2, validator=_check_share)
    budget_slack: float = attrs.field(default=50, validator=_check_not_negative)
    faults: tuple[Fault, ...] = ()


def read_experiment(path: pathlib.Path) -> Experiment:
    """Read and check a file; raise TypeError or ValueError."""
    return decode_experiment(tomllib.loads(path.read_text()))


def decode_experiment(fields: dict[str, Any]) -> Experiment:
    """Check what a file holds; raise TypeError or ValueError."""
    faults = [Fault(**fault) for fault in fields.pop('faults', [])]
    return Experiment(**fields, faults=tuple(faults))
