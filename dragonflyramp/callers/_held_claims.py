"""Keep the claims of this front, and write them again after a restore."""

import asyncio
import time
from collections.abc import Callable, Mapping

import attrs
from loguru import logger
from returns.result import Failure, Result

from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import KeyedStore, StoreEra
from dragonflyramp.views import Fields

CLAIMS_KIND = 'dragonflyramp-claims'
DIGEST_KEY = 'digest'
OUTCOME_KEY = 'outcome'
#: A restored copy is some seconds old; the store's history is 20 s long. A
#: claim that was written earlier than this is in the copy.
_MAX_COPY_AGE_SECONDS = 20
#: Limits on the claims that are kept, and on the characters of their outcomes.
#: An outcome beyond the limit is not written again.
_MAX_HELD_CLAIMS = 4096
_MAX_OUTCOME_CHARS = 4_194_304
#: Delays between attempts to write a claim again.
_RETRY_DELAYS_SECONDS = (0.1, 0.2, 0.5, 1, 2)


@attrs.define(kw_only=True)
class _HeldClaim:
    spec: Fields
    written_at_seconds: float
    #: Era of the store in which the claim was created.
    era: int
    is_running: bool = True


@attrs.define(eq=False)
class HeldClaims:
    """Claims that this front got, while a restore may lose them."""

    store_era: StoreEra = attrs.field(factory=StoreEra)
    clock: Callable[[], float] = time.monotonic
    #: The oldest ones first.
    _claims: dict[str, _HeldClaim] = attrs.field(factory=dict)
    _outcome_chars: int = 0

    def add(self, name: str, spec: Fields) -> None:
        """Keep a claim that the store has acknowledged."""
        self._expire()
        self._claims[name] = _HeldClaim(
            spec=spec,
            written_at_seconds=self.clock(),
            era=self.store_era.number,
        )
        if len(self._claims) > _MAX_HELD_CLAIMS:
            self._drop(next(iter(self._claims)))

    def finish(self, name: str, spec: Fields) -> None:
        """Keep the claim of a request that has ended."""
        held = self._drop(name)
        if held is None:
            return
        outcome_chars = len(spec.get(OUTCOME_KEY, ''))
        if self._outcome_chars + outcome_chars > _MAX_OUTCOME_CHARS:
            spec = {DIGEST_KEY: spec[DIGEST_KEY]}
            outcome_chars = 0
        self._outcome_chars += outcome_chars
        self._claims[name] = _HeldClaim(
            spec=spec,
            written_at_seconds=self.clock(),
            era=held.era,
            is_running=False,
        )

    def may_be_lost(self, name: str) -> bool:
        """Return whether the store was restored since a claim was created."""
        held = self._claims.get(name)
        return held is not None and held.era != self.store_era.number

    def release(self, name: str) -> None:
        """Forget the claim of a request that has not run."""
        self._drop(name)

    def current_specs(self) -> Mapping[str, Fields]:
        """Return the claims to write again by name, the newest ones first."""
        self._expire()
        return {
            name: self._claims[name].spec for name in reversed(self._claims)
        }

    def _expire(self) -> None:
        """Forget claims that are in each copy that may be restored."""
        oldest_seconds = self.clock() - _MAX_COPY_AGE_SECONDS
        while self._claims:
            name, held = next(iter(self._claims.items()))
            if held.is_running or held.written_at_seconds > oldest_seconds:
                return
            self._drop(name)

    def _drop(self, name: str) -> _HeldClaim | None:
        held = self._claims.pop(name, None)
        if held is not None:
            self._outcome_chars -= len(held.spec.get(OUTCOME_KEY, ''))
        return held


@attrs.frozen
class ClaimRewriter:
    """Write the claims of this front again after a restore."""

    _store: KeyedStore
    held: HeldClaims

    async def run(self) -> None:
        """Write the claims again after each restore, until cancelled."""
        store_era = self.held.store_era
        written_era = store_era.number
        while True:
            await store_era.wait_for_later(written_era)
            written_era = store_era.number
            await self.write_all()

    async def write_all(self) -> None:
        """Write the claims again, the newest ones first."""
        for name in self.held.current_specs():
            await self._write_with_retries(name)

    async def write(
        self, name: str, spec: Fields
    ) -> Result[Fields, ResultCode]:
        """Create a claim that may be gone; add a missing outcome to it."""
        create_result = await self._store.create(CLAIMS_KIND, name, spec)
        is_present = create_result == Failure(ResultCode.version_conflict)
        if not is_present or OUTCOME_KEY not in spec:
            return create_result
        read_result = await self._store.read(CLAIMS_KIND, name)
        if isinstance(read_result, Failure):
            return read_result
        stored = read_result.unwrap()
        stored_spec = stored.get('spec') or {}
        if stored_spec == spec:
            return read_result
        if stored_spec != {DIGEST_KEY: spec[DIGEST_KEY]}:
            # Another front has the key.
            return create_result
        return await self._store.replace(
            CLAIMS_KIND, name, spec, stored['meta']['rev']
        )

    async def _write_with_retries(self, name: str) -> None:
        for delay_seconds in _RETRY_DELAYS_SECONDS:
            # The request may have ended meanwhile.
            spec = self.held.current_specs().get(name)
            if spec is None:
                return
            write_result = await self.write(name, spec)
            code = write_result.swap().value_or(ResultCode.ok)
            counters.add('claim_rewrites', code.name)
            if code not in {ResultCode.platform_down, ResultCode.bad_reply}:
                return
            await asyncio.sleep(delay_seconds)
        logger.bind(claim=name).warning(
            'a claim that a restored store has forgotten cannot be written; '
            'a repeat with its key may run again'
        )
