"""Test pushes of the operators' text before and after a restore."""

import pathlib
import random
from collections.abc import Callable

import attrs
from returns.result import Result

from dragonflyramp import operators
from dragonflyramp.operators._roots import ROOT_NAME
from dragonflyramp.platform import PlatformObjectStore, StoreClient
from dragonflyramp.results import ResultCode
from tests.standins.stores import StoreServer

_TEXT = (
    pathlib.Path(__file__).parent.parent / 'examples/forrozeira.toml'
).read_bytes()


def _do_nothing() -> None:
    """Do nothing, as a write without a restore."""


@attrs.frozen
class _InterruptedObjectStore(PlatformObjectStore):
    """Call a function before a write of the root."""

    before_root_write: Callable[[], None] = _do_nothing

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write an object."""
        if name == ROOT_NAME:
            self.before_root_write()
        return await super().write(name, body, version)


async def _push(
    client: StoreClient,
    text: bytes,
    base: int,
    before_root_write: Callable[[], None] = _do_nothing,
) -> operators.PushOutcome:
    object_store = _InterruptedObjectStore(client, before_root_write)
    text_store = operators.TextStore(
        store=object_store, retries=operators.RetryPolicy(rng=random.Random(1))
    )
    operator = operators.Operator(
        author='ana',
        at='2026-12-04T10:00:00Z',
        new_write_id=lambda: str(random.random()),
    )
    return await operators.push(
        operators.Pusher(text_store, object_store),
        operator,
        operators.PushRequest(text=text, base=base),
    )


async def test_forgotten_number_is_not_given_out_again(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """Two texts must not get one number, nor a text build on a lost one.

    Fronts that have served the lost number would ignore the second text.
    """
    store = store_server.store
    store.era = 0
    await _push(store_client, _TEXT, 0)
    copy_revision = store.revision
    lost = await _push(store_client, b'%b# lost\n' % _TEXT, 1)
    assert isinstance(lost, operators.Accepted)
    store.restore_copy(copy_revision)
    stale = await _push(store_client, b'%b# x\n' % _TEXT, 2)
    assert isinstance(stale, operators.Refused)
    # The parts of an unchanged text may be lost, so they are written again.
    accepted = await _push(store_client, _TEXT, 1)
    assert isinstance(accepted, operators.Accepted)
    assert (accepted.is_changed, accepted.root.number) == (True, 1_000_001)
    repeated = await _push(store_client, _TEXT, 1_000_001)
    assert repeated == operators.Accepted(root=accepted.root, is_changed=False)


async def test_push_across_restore_is_not_accepted(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A root whose parts a restore has removed must not count as stored.

    A repeated push must write them.
    """
    store = store_server.store
    store.era = 0
    await _push(store_client, _TEXT, 0)
    copy_revision = store.revision
    edited = b'%b# edited\n' % _TEXT
    outcome = await _push(
        store_client, edited, 1, lambda: store.restore_copy(copy_revision)
    )
    assert isinstance(outcome, operators.Unknown)
    repeated = await _push(store_client, edited, 2)
    assert isinstance(repeated, operators.Accepted)
    text_store = operators.TextStore(
        store=PlatformObjectStore(store_client),
        retries=operators.RetryPolicy(rng=random.Random(1)),
    )
    stored = (await text_store.read_text()).unwrap()
    assert (stored.text, stored.stored_root.number) == (edited, 1_000_001)
