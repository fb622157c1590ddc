"""Decide when a refused caller should come back."""

import math
from collections.abc import Sequence

from dragonflyramp.backends import Fleet, resume_delay_seconds

#: Retry delay for the caller without a usable replica or a configuration:
#: replicas recover, or new ones are listed, within a few tenths of a second.
UNAVAILABLE_RETRY_AFTER_SECONDS = 0.25
#: Retry delay for the caller if no replica ran the request, usually because all
#: were full: a slot becomes free after about the duration of one request.
NOT_RUN_RETRY_AFTER_SECONDS = 0.1


def retry_after_seconds(
    fleet: Fleet,
    services: Sequence[str],
    required_count: int,
    default_seconds: float,
    now_seconds: float,
) -> float:
    """Return the seconds until enough services take requests again.

    All replicas of a service may have asked for a pause. Return the default if
    enough services take requests now, or if it is not known when they will.
    """
    delays_seconds = sorted(
        resume_delay_seconds(fleet, service, now_seconds)
        for service in services
    )
    delay_seconds = delays_seconds[required_count - 1]
    if 0 < delay_seconds < math.inf:
        return math.ceil(delay_seconds * 1000) / 1000
    return default_seconds
