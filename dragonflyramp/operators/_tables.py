"""Convert the tables of the operators' text to attrs classes."""

import functools
from collections.abc import Iterator
from typing import Any, TypeVar

import cattrs
from cattrs.gen import make_dict_structure_fn, override
from returns.result import Failure, Result, Success

from dragonflyramp.converters import strict_converter
from dragonflyramp.models import (
    FailureDomain,
    Hold,
    Service,
    StaticReplica,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._validators import (
    NumberRange,
    parse_hold_kind,
    parse_name_list,
    structure_tables,
    validate_ip_and_port,
    validate_name,
    validate_printable_string,
    validate_timestamp,
)
from dragonflyramp.results import ResultCode

_Table = TypeVar('_Table')

#: Inclusive bounds of a service's numbers, in the unit of their suffix.
_SERVICE_RANGES: tuple[tuple[str, float, float], ...] = (
    ('deadline_ms', 1, 60_000),
    ('coverage_target', 0, 1),
    ('answer_after_ms', 0, 60_000),
    ('hedge_budget', 0, 1),
    ('retry_budget', 0, 1),
    ('canary_shards', 0, 1000),
    ('slices', 1, 256),
    ('slots', 1, 1000),
    ('connections', 1, 10_000),
    ('connection_cost_ms', 0, 10_000),
    ('cold_requests_per_second', 0.01, 1000),
    ('queue_length', 1, 10_000),
)


def structure_table(
    section: str, name: str, table: object, target: type[_Table]
) -> Result[_Table, tuple[Problem, ...]]:
    """Convert one named table; fail with all its problems."""
    key = f'{section}.{name}'
    if not isinstance(table, dict):
        return Failure((_bad_value(key, 'must be a table'),))
    if 'name' in table:
        return Failure((_unknown_key(f'{key}.name'),))
    try:
        return Success(_CONVERTER.structure({**table, 'name': name}, target))
    except cattrs.BaseValidationError as error:
        return Failure(tuple(_problems_from_error(error, key)))


def structure_string(key: str, raw: object) -> Result[str, Problem]:
    """Validate a top-level value that is a printable string."""
    try:
        return Success(validate_printable_string(raw, str))
    except (TypeError, ValueError) as error:
        return Failure(_bad_value(key, str(error)))


def _problems_from_error(error: Exception, key: str) -> Iterator[Problem]:
    if isinstance(error, cattrs.BaseValidationError):
        for nested in error.exceptions:
            yield from _problems_from_error(nested, _nested_key(nested, key))
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for extra in sorted(error.extra_fields):
            yield _unknown_key(f'{key}.{extra}')
    elif isinstance(error, KeyError):
        yield Problem(
            code=ResultCode.missing_key, key=key, sentence='is required'
        )
    else:
        yield _bad_value(key, str(error))


def _nested_key(error: Exception, key: str) -> str:
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            # The key of this attribute is `id` in the text.
            name = 'id' if note.name == 'replica_id' else note.name
            return f'{key}.{name}'
        if isinstance(note, cattrs.IterableValidationNote):
            return f'{key}[{note.index}]'
    return key


def _bad_value(key: str, sentence: str) -> Problem:
    return Problem(code=ResultCode.bad_value, key=key, sentence=sentence)


def _unknown_key(key: str) -> Problem:
    return Problem(
        code=ResultCode.unknown_key, key=key, sentence='is not a known key'
    )


def _register_hooks(
    converter: cattrs.Converter, target: type, **hooks: Any
) -> None:
    overrides = {
        name: override(struct_hook=hook) for name, hook in hooks.items()
    }
    if target is StaticReplica:
        overrides['replica_id'] = override(
            struct_hook=validate_name, rename='id'
        )
    make_hook: Any = make_dict_structure_fn
    hook = make_hook(target, converter, **overrides)
    converter.register_structure_hook(target, hook)


def _create_converter() -> cattrs.Converter:
    converter = strict_converter(forbid_extra_keys=True)
    _register_hooks(
        converter,
        FailureDomain,
        name=validate_name,
        region=validate_printable_string,
    )
    _register_hooks(
        converter,
        StaticReplica,
        address=validate_ip_and_port,
        failure_domain=validate_name,
    )
    _register_hooks(
        converter,
        Hold,
        name=validate_name,
        kind=parse_hold_kind,
        by=validate_printable_string,
        at=validate_timestamp,
        reason=validate_printable_string,
    )
    _register_hooks(
        converter,
        Service,
        name=validate_name,
        depends_on=parse_name_list,
        replicas=functools.partial(structure_tables, converter),
        **{
            name: NumberRange(lower, upper)
            for name, lower, upper in _SERVICE_RANGES
        },
    )
    return converter


_CONVERTER = _create_converter()
