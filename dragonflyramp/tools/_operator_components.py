"""Create the pusher and the operator of an operators' command."""

import contextlib
import datetime
import random
import uuid
from collections.abc import AsyncIterator

from dragonflyramp import operators
from dragonflyramp.platform import PlatformObjectStore, StoreClient, open_store
from dragonflyramp.tools._operator_flags import OperatorSettings


def open_platform(
    settings: OperatorSettings,
) -> contextlib.AbstractAsyncContextManager[StoreClient]:
    """Open a client of the platform's store."""
    return open_store(settings.platform, settings.timeout_seconds)


@contextlib.asynccontextmanager
async def open_pusher(
    settings: OperatorSettings,
) -> AsyncIterator[operators.Pusher]:
    """Open a pusher to the platform's store for the length of the context."""
    retries = operators.RetryPolicy(rng=random.Random())
    async with open_platform(settings) as client:
        object_store = PlatformObjectStore(client)
        text_store = operators.TextStore(store=object_store, retries=retries)
        yield operators.Pusher(text_store, object_store)


def create_operator(
    settings: OperatorSettings, now: datetime.datetime
) -> operators.Operator:
    """Create the operator of a command; `now` is the current time in UTC."""
    at = now.isoformat(timespec='seconds').replace('+00:00', 'Z')
    return operators.Operator(
        author=settings.author,
        at=at,
        new_write_id=lambda: uuid.uuid4().hex,
    )
