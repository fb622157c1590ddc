"""Reach callers: plan, gather, answer or refuse.

_fronts   one query from route to answer, and its log line
_queries  what callers ask and are answered
_gathers  one task for each shard of a search
_patience when a search answers without all shards
_merging  the parts of a search made one
_splits   services that share requests by weight
_stories  the log line of a request
_claims   a request with an idempotency key runs at most once
_http     the product's own interface
"""

from dragonflyramp.callers._claims import Claims
from dragonflyramp.callers._fronts import Front
from dragonflyramp.callers._http import OwnInterface, OwnServer
from dragonflyramp.callers._merging import Merger, RecordMerger
from dragonflyramp.callers._patience import (
    DeadlinePatience,
    Patience,
    Progress,
    TargetPatience,
)
from dragonflyramp.callers._queries import (
    Answer,
    Gathered,
    Query,
    Refusal,
    Relayed,
)

__all__ = (
    'Answer',
    'Claims',
    'DeadlinePatience',
    'Front',
    'Gathered',
    'Merger',
    'OwnInterface',
    'OwnServer',
    'Patience',
    'Progress',
    'Query',
    'RecordMerger',
    'Refusal',
    'Relayed',
    'TargetPatience',
)
