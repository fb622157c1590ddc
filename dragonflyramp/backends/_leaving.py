"""Decide whether a backend server is leaving."""

import enum
from typing import Protocol

import attrs


class LeavingSignal(enum.Enum):
    """Name what tells that a backend server leaves."""

    drain_sign = 'drain_sign'
    refused_connection = 'refused_connection'
    vm_list = 'vm_list'


@attrs.define
class LeavingState:
    """Follow whether one replica is leaving, and why.

    `instance_id` is the instance that leaves; empty when it is not known.
    """

    held: bool = False
    signal: LeavingSignal | None = None
    instance_id: str = ''


class LeavingPolicy(Protocol):
    """Decide how long a signal keeps new work away from a replica."""

    def note_signal(
        self, state: LeavingState, signal: LeavingSignal, instance_id: str
    ) -> None:
        """Learn that the instance leaves."""

    def note_instance(self, state: LeavingState, instance_id: str) -> None:
        """Learn that the instance runs and gives no drain sign."""

    def is_leaving(self, state: LeavingState) -> bool:
        """Tell whether the replica gets no new work."""


@attrs.frozen
class LeavingUntilRestart:
    """Keep a leaving replica out until another instance appears.

    An operator's hold is independent of the instance and ends with the hold.
    """

    def note_signal(
        self, state: LeavingState, signal: LeavingSignal, instance_id: str
    ) -> None:
        """Keep the first signal of an instance."""
        if state.signal is None or instance_id != state.instance_id:
            state.signal = signal
            state.instance_id = instance_id

    def note_instance(self, state: LeavingState, instance_id: str) -> None:
        """End the state for an instance that the signal was not about."""
        if state.signal is None or instance_id in {'', state.instance_id}:
            return
        refused = state.signal is LeavingSignal.refused_connection
        if not state.instance_id and not refused:
            # The signal was about this server before its instance was known.
            state.instance_id = instance_id
            return
        state.signal = None
        state.instance_id = ''

    def is_leaving(self, state: LeavingState) -> bool:
        """Tell whether a hold or a signal stands."""
        return state.held or state.signal is not None


@attrs.frozen
class LeavingUntilReply:
    """Forget a signal as soon as the server answers again."""

    def note_signal(
        self, state: LeavingState, signal: LeavingSignal, instance_id: str
    ) -> None:
        """Keep the latest signal."""
        state.signal = signal

    def note_instance(self, state: LeavingState, instance_id: str) -> None:
        """Forget the signal."""
        state.signal = None

    def is_leaving(self, state: LeavingState) -> bool:
        """Tell whether a hold or a signal stands."""
        return state.held or state.signal is not None
