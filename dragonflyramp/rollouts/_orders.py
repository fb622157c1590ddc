"""Define the orders of rollouts and their status."""

import enum

import attrs


class RolloutState(enum.Enum):
    """State of a rollout, as written to the status of its order."""

    running = 'running'
    completed = 'completed'
    rolled_back = 'rolled_back'


@attrs.frozen
class RolloutStatus:
    """Status of an order; it is of no use for another target version."""

    state: RolloutState
    target_version: str


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """Order to move the requests of a service to one software version."""

    service: str
    target_version: str
    duration_seconds: float
    #: Revision of the object; each write has to carry it.
    revision: int
    #: Revision at which the object was created.
    created_revision: int = 0
    #: Status in the object, if it has a valid one.
    status: RolloutStatus | None = None

    @property
    def key(self) -> str:
        """Return what distinguishes this order from others of the service."""
        return f'{self.created_revision}/{self.target_version}'

    @property
    def state(self) -> RolloutState | None:
        """Return the state that the status gives for this order, if any."""
        status = self.status
        if status is None or status.target_version != self.target_version:
            return None
        return status.state

    @property
    def is_open(self) -> bool:
        """Return whether the rollout has neither completed nor rolled back."""
        return self.state in {None, RolloutState.running}
