"""Define the entries of replicas in the platform's store."""

import enum

import attrs


class ReplicaState(enum.Enum):
    """State of a replica, as published in its entry."""

    ready = 'ready'
    #: Finishes the requests that it has; is sent no new ones.
    draining = 'draining'


@attrs.frozen(kw_only=True)
class ReplicaEntry:
    """Entry of a replica in the store."""

    replica_id: str
    service: str
    address: str
    failure_domain: str
    state: ReplicaState
    #: Number of requests that the replica runs concurrently.
    slots: int = 1
    #: Remaining warm-up time, during which the replica is slow and easily
    #: overloaded; 0 if it is warm.
    cold_remaining_ms: float = 0
    #: Wall-clock start time of the process, which distinguishes a restarted
    #: replica with the same id.
    start_time_ms: int = 0
    #: Version of the software that the replica runs; empty if unknown.
    software_version: str = ''
