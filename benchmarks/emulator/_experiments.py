"""Read the file that describes an experiment."""

import pathlib
import tomllib
from typing import Any

import attrs
from attrs import validators

_POSITIVE = validators.gt(0)
_SHARE = (validators.ge(0), validators.le(1))
#: What strikes a share of the replicas: they take `factor` times as long,
#: answer nothing, or refuse.
FAULT_KINDS = ('slow', 'silent', 'full')


@attrs.frozen(kw_only=True)
class Fault:
    """Hold one fault of a share of the replicas."""

    kind: str = attrs.field(validator=validators.in_(FAULT_KINDS))
    at_seconds: float = attrs.field(validator=validators.ge(0))
    for_seconds: float = attrs.field(validator=_POSITIVE)
    share: float = attrs.field(validator=_SHARE)
    factor: float = attrs.field(default=1, validator=_POSITIVE)


@attrs.frozen(kw_only=True)
class Experiment:
    """Hold the installation, the load and the faults."""

    name: str
    seed: int
    seconds: float = attrs.field(validator=_POSITIVE)
    fronts: int = attrs.field(validator=_POSITIVE)
    failure_domains: int = attrs.field(validator=_POSITIVE)
    shards: int = attrs.field(validator=_POSITIVE)
    replicas: int = attrs.field(validator=_POSITIVE)
    slots: int = attrs.field(validator=_POSITIVE)
    #: Requests that wait at a replica beyond its slots.
    queue: int = attrs.field(validator=validators.ge(0))
    #: Connections that a replica accepts from all fronts.
    connections: int = attrs.field(validator=_POSITIVE)
    searches_per_second: float = attrs.field(validator=_POSITIVE)
    work_ms: float = attrs.field(validator=_POSITIVE)
    #: Standard deviation of the logarithm of the work.
    work_spread: float = attrs.field(default=0.35, validator=validators.ge(0))
    pause_ms: float = attrs.field(default=0, validator=validators.ge(0))
    pause_every_seconds: float = attrs.field(default=4, validator=_POSITIVE)
    cross_domain_ms: float = attrs.field(default=3, validator=validators.ge(0))
    connect_ms: float = attrs.field(default=6, validator=validators.ge(0))
    target_ms: float = attrs.field(validator=_POSITIVE)
    timeout_ms: float = attrs.field(validator=_POSITIVE)
    min_share: float = attrs.field(default=0.9, validator=_SHARE)
    budget_ratio: float = attrs.field(default=0.2, validator=_SHARE)
    budget_slack: float = attrs.field(default=50, validator=validators.ge(0))
    faults: tuple[Fault, ...] = ()


def read_experiment(path: pathlib.Path) -> Experiment:
    """Read and check a file; raise TypeError or ValueError."""
    return decode_experiment(tomllib.loads(path.read_text()))


def decode_experiment(fields: dict[str, Any]) -> Experiment:
    """Check what a file holds; raise TypeError or ValueError."""
    faults = [Fault(**fault) for fault in fields.pop('faults', [])]
    return Experiment(**fields, faults=tuple(faults))
