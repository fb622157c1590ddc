"""Create the admission policy of a front."""

import random

from dragonflyramp.admission import (
    AdmissionPolicy,
    AdmitAll,
    create_priority_admission,
)
from dragonflyramp.backends import BackendClient
from dragonflyramp.settings import AdmissionMode


def create_admission(
    mode: AdmissionMode, backend_client: BackendClient
) -> AdmissionPolicy:
    """Create a policy; it also decides the order of waits for connections."""
    is_by_priority = mode is AdmissionMode.priority
    backend_client.fleet.capacity_events.is_by_priority = is_by_priority
    if is_by_priority:
        return create_priority_admission(backend_client, random.Random())
    return AdmitAll()
