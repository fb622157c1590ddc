"""Decide the share of a version that is tested, and which replicas get it."""

import attrs

from dragonflyramp.rendezvous import rendezvous_hash
from dragonflyramp.rollouts._records import RolloutRecord

#: Good answers, and shares of the duration, for the second step and for that
#: in which one replica gets nearly the load of a completed rollout.
_SECOND_STEP_GOOD_COUNT = 3
_SECOND_STEP_SHARE = 0.15
_LOAD_STEP_GOOD_COUNT = 8
_LOAD_STEP_SHARE = 0.3
#: Requests of the target version per second that the first and the second step
#: aim at, as far as the cap allows it; with fewer, a fault would not show.
_FIRST_STEP_REQUESTS_PER_SECOND = 3
_SECOND_STEP_REQUESTS_PER_SECOND = 12
_LOAD_FACTOR = 0.8
_MAX_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Census:
    """Replicas of a service that can take requests."""

    #: Slots of each replica of the target version; warm ones, if there are any.
    target_slots: dict[str, int] = attrs.field(factory=dict)
    #: Slots of all other replicas together.
    other_slots: int = 0


@attrs.frozen(kw_only=True)
class ShareInputs:
    """What the share depends on."""

    census: Census
    bad_replica_ids: frozenset[str]
    #: Good answers of the target version.
    good_count: int
    #: Time since the order as a share of its duration.
    elapsed_share: float
    #: Requests of the service per second; 0 if it is not known yet.
    requests_per_second: float
    #: Cap of the share over the whole rollout.
    cap_share: float


def with_share(inputs: ShareInputs, record: RolloutRecord) -> RolloutRecord:
    """Return the record with the next share and the replicas that get it."""
    replica_ids = _select_replicas(inputs, record)
    share = _next_share(inputs, replica_ids) if replica_ids else 0
    # The share does not fall while the replicas stay: steps only go up.
    if replica_ids == record.replica_ids:
        share = max(share, record.share)
    return attrs.evolve(record, replica_ids=replica_ids, share=round(share, 4))


def _next_share(inputs: ShareInputs, replica_ids: tuple[str, ...]) -> float:
    cap_share = inputs.cap_share
    if inputs.elapsed_share < _SECOND_STEP_SHARE and (
        inputs.good_count < _SECOND_STEP_GOOD_COUNT
    ):
        aimed_share = _share_of(_FIRST_STEP_REQUESTS_PER_SECOND, inputs)
        return max(cap_share / 4, min(cap_share, aimed_share))
    # More than the cap: each front limits the sum.
    test_share = max(
        cap_share / 2, _share_of(_SECOND_STEP_REQUESTS_PER_SECOND, inputs)
    )
    if inputs.elapsed_share >= _LOAD_STEP_SHARE and (
        inputs.good_count >= _LOAD_STEP_GOOD_COUNT
    ):
        target_slots = inputs.census.target_slots
        tested_slots = sum(map(target_slots.__getitem__, replica_ids))
        load_share = _LOAD_FACTOR * tested_slots / sum(target_slots.values())
        test_share = max(test_share, cap_share, load_share)
    return min(_MAX_SHARE, test_share)


def _share_of(aimed_per_second: float, inputs: ShareInputs) -> float:
    """Return the share for a number of requests per second; 0 if unknown."""
    if not inputs.requests_per_second:
        return 0
    return aimed_per_second / inputs.requests_per_second


def _select_replicas(
    inputs: ShareInputs, record: RolloutRecord
) -> tuple[str, ...]:
    """Return the replica that is tested: one, so that it sees its full load."""
    usable = [
        replica_id
        for replica_id in inputs.census.target_slots
        if replica_id not in inputs.bad_replica_ids
    ]
    if any(replica_id in usable for replica_id in record.replica_ids):
        return record.replica_ids
    usable.sort(
        key=lambda replica_id: rendezvous_hash(record.order_key, replica_id)
    )
    return tuple(usable[:1])
