"""Encode the counts of answers of rollouts in messages between daemons."""

from typing import Any

import attrs

from dragonflyramp.members._suspicion_fields import require_count
from dragonflyramp.rollouts import (
    MAX_ANSWER_KEYS,
    MAX_TEXT_LENGTH,
    NO_ROLLOUT_REPORT,
    AnswerCounts,
    AnswerKey,
    RolloutReport,
)
from dragonflyramp.views import Fields

_REPORT_KEY = 'rollout'
_KEY_LENGTH = 4
_COUNTS_LENGTH = 3


def encode_rollout_report(report: RolloutReport) -> Fields:
    """Encode a report as fields of a request; without counts as none."""
    if not report.process_id:
        return {}
    return {
        _REPORT_KEY: {
            'process': report.process_id,
            'answers': [
                (*attrs.astuple(key), *attrs.astuple(counts))
                for key, counts in report.answers.items()
            ],
            'drained': dict(report.drained_orders),
        }
    }


def decode_rollout_report(fields: Fields) -> RolloutReport:
    """Decode the report in the fields of a request, if there is one.

    Raise KeyError, TypeError, ValueError or AttributeError if it is malformed.
    """
    # Daemons without rollouts, or of an earlier version, send none.
    encoded = fields.get(_REPORT_KEY)
    if encoded is None:
        return NO_ROLLOUT_REPORT
    rows = encoded['answers']
    drained = encoded['drained']
    if max(len(rows), len(drained)) > MAX_ANSWER_KEYS:
        raise ValueError('too many counts of answers')
    return RolloutReport(
        process_id=_require_text(encoded['process']),
        answers=dict(map(_decode_row, rows)),
        drained_orders={
            _require_text(service): _require_text(order_key)
            for service, order_key in drained.items()
        },
    )


def _decode_row(row: Any) -> tuple[AnswerKey, AnswerCounts]:
    key, counts = row[:_KEY_LENGTH], row[_KEY_LENGTH:]
    if len(counts) != _COUNTS_LENGTH:
        raise ValueError(row)
    return (
        AnswerKey(*map(_require_text, key)),
        AnswerCounts(*map(require_count, counts)),
    )


def _require_text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError(field)
    if len(field) > MAX_TEXT_LENGTH or not field.isprintable():
        raise ValueError(field)
    return field
