"""Push texts as operators do."""

import os
import random

from dragonflyramp import operators
from dragonflyramp.platform import ObjectStore, VmList


async def push_text(
    store: ObjectStore, vms: VmList, text: bytes, base: int
) -> None:
    """Push a text over a base number; it must be accepted."""
    retries = operators.Retries(rng=random.Random(0))
    outcome = await operators.push(
        operators.Pusher(
            operators.TextStore(store=store, retries=retries), vms
        ),
        operators.Operator(
            author='benchmark',
            now=lambda: '2026-01-01T00:00:00Z',
            new_write_id=lambda: os.urandom(8).hex(),
        ),
        operators.PushRequest(text=text, base=base),
    )
    if not isinstance(outcome, operators.Accepted):
        raise RuntimeError(str(outcome))
