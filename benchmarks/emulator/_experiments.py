"""Read and validate experiment files."""

import pathlib
import tomllib
from typing import Any

import attrs

#: Effects of a fault on a replica: work takes `factor` times as long (slow), a
#: request is answered only after its timeout (silent), or requests are refused
#: with status 503 (full).
FAULT_KINDS = ('slow', 'silent', 'full')


def _check_positive(_: object, field: Any, number: Any) -> None:
    if number <= 0:
        raise ValueError(f'{field.name} must be greater than 0, not {number}')


def _check_not_negative(_: object, field: Any, number: Any) -> None:
    if number < 0:
        raise ValueError(f'{field.name} must be 0 or greater, not {number}')


def _check_all_positive(_: object, field: Any, numbers: Any) -> None:
    if not numbers:
        raise ValueError(f'{field.name} must not be empty')
    for number in numbers:
        _check_positive(_, field, number)


def _check_share(_: object, field: Any, number: Any) -> None:
    if number < 0 or number > 1:
        raise ValueError(f'{field.name} must be between 0 and 1, not {number}')


@attrs.frozen(kw_only=True)
class Fault:
    """Fault that affects a share of all replicas for a limited time."""

    kind: str = attrs.field(validator=attrs.validators.in_(FAULT_KINDS))
    #: Virtual time at which the fault starts.
    at_seconds: float = attrs.field(validator=_check_not_negative)
    #: Duration of the fault.
    for_seconds: float = attrs.field(validator=_check_positive)
    #: Share of all replicas that are affected, from 0 to 1.
    share: float = attrs.field(validator=_check_share)
    #: Work time during a slow fault as a multiple of the usual one.
    factor: float = attrs.field(default=1, validator=_check_positive)


@attrs.frozen(kw_only=True)
class Experiment:
    """Deployment, load and faults; the fields are the keys of the file."""

    name: str
    seed: int
    #: Virtual time for which searches are sent.
    seconds: float = attrs.field(validator=_check_positive)
    fronts: int = attrs.field(validator=_check_positive)
    failure_domains: int = attrs.field(validator=_check_positive)
    shards: int = attrs.field(validator=_check_positive)
    #: Replicas per shard.
    replicas: int = attrs.field(validator=_check_positive)
    #: Requests that a replica runs at the same time.
    slots: int = attrs.field(validator=_check_positive)
    #: Requests that may wait at a replica for a slot.
    queue: int = attrs.field(validator=_check_not_negative)
    #: Limit on the connections of all fronts to a replica.
    connections: int = attrs.field(validator=_check_positive)
    searches_per_second: float = attrs.field(validator=_check_positive)
    #: Median time for which a request occupies a slot.
    work_ms: float = attrs.field(validator=_check_positive)
    #: Standard deviation of the natural logarithm of the work time.
    work_spread: float = attrs.field(
        default=0.35, validator=_check_not_negative
    )
    #: Duration of the periodic pauses of every replica.
    pause_ms: float = attrs.field(default=0, validator=_check_not_negative)
    #: Time from the start of a pause to the start of the next one.
    pause_every_seconds: float = attrs.field(
        default=4, validator=_check_positive
    )
    #: Work times of the replicas of a shard as multiples of `work_ms`, in turn.
    speeds: tuple[float, ...] = attrs.field(
        default=(1,), converter=tuple, validator=_check_all_positive
    )
    #: Other work on the machine of a replica makes its own take this many times
    #: as long, for `busy_ms` of each `busy_every_seconds`.
    busy_factor: float = attrs.field(default=1, validator=_check_positive)
    busy_ms: float = attrs.field(default=0, validator=_check_not_negative)
    busy_every_seconds: float = attrs.field(
        default=1, validator=_check_positive
    )
    #: Whether replicas report how long work takes now.
    reports_work_time: bool = False
    #: Round-trip time between two failure domains.
    cross_domain_ms: float = attrs.field(
        default=3, validator=_check_not_negative
    )
    #: Time for which the setup of a connection occupies a slot.
    connect_ms: float = attrs.field(default=6, validator=_check_not_negative)
    #: Latency target of a search.
    target_ms: float = attrs.field(validator=_check_positive)
    #: Time from the arrival of a search to its deadline.
    timeout_ms: float = attrs.field(validator=_check_positive)
    #: Share of the shards that an answer requires, from 0 to 1.
    min_share: float = attrs.field(default=0.9, validator=_check_share)
    #: Retries and hedges allowed per request.
    budget_ratio: float = attrs.field(default=0.2, validator=_check_share)
    #: Retries and hedges that all fronts may send to a shard per budget window
    #: in addition to the ratio.
    budget_slack: float = attrs.field(default=50, validator=_check_not_negative)
    faults: tuple[Fault, ...] = ()


def read_experiment(path: pathlib.Path) -> Experiment:
    """Read an experiment file.

    Raise TypeError for an unknown or missing key or a value of the wrong type,
    ValueError for a value out of range or invalid TOML syntax, and OSError if
    the file cannot be read.
    """
    return decode_experiment(tomllib.loads(path.read_text()))


def decode_experiment(fields: dict[str, Any]) -> Experiment:
    """Return the experiment that the contents of a file describe.

    Raise TypeError for an unknown or missing key or a value of the wrong type,
    and ValueError for a value out of range.
    """
    faults = [Fault(**fault) for fault in fields.pop('faults', [])]
    return Experiment(**fields, faults=tuple(faults))
