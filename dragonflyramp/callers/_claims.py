"""Run requests with an idempotency key at most once.

A claim is created in the store before the request is sent. Only the process
that created the claim sends the request. It deletes the claim if the request
is known not to have run. After a success it records the body of the reply as
the outcome in the claim. Otherwise the claim stays without an outcome, and the
request is never sent again.

After a restore of the store, no claim is created until the other fronts have
written theirs again.
"""

import contextlib
import hashlib
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger
from returns.result import Failure, Result, Success

from dragonflyramp.callers._answers import (
    Answer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
)
from dragonflyramp.callers._held_claims import (
    CLAIMS_KIND,
    DIGEST_KEY,
    OUTCOME_KEY,
    ClaimRewriter,
    HeldClaims,
)
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import KeyedStore
from dragonflyramp.views import Fields


@attrs.frozen(kw_only=True)
class KeyedRequest:
    """Non-idempotent request with its idempotency key."""

    service: str
    key: str
    body: bytes
    #: Tenant of the caller, '' without one.
    tenant_name: str = ''

    @property
    def claim_name(self) -> str:
        """Return the name of the claim, unique for tenant, service and key."""
        # The length keeps service 'a' with key 'bc' apart from service 'ab'
        # with key 'c'.
        qualified_key = f'{len(self.service)}:{self.service}{self.key}'
        if self.tenant_name:
            # A name without a tenant has a colon after its first number.
            qualified_key = (
                f'{len(self.tenant_name)}@{self.tenant_name}{qualified_key}'
            )
        return hashlib.sha256(qualified_key.encode()).hexdigest()

    @property
    def body_digest(self) -> str:
        """Return the SHA-256 that detects a key used with another body."""
        return hashlib.sha256(self.body).hexdigest()


@attrs.frozen
class KeyedResult:
    """Result of a keyed request; `outcome` is the body of the reply."""

    code: ResultCode
    outcome: str = ''


@attrs.frozen
class Claims:
    """Run keyed requests at most once, with claims in the platform's store."""

    _store: KeyedStore
    held: HeldClaims = attrs.field(factory=HeldClaims)

    @property
    def rewriter(self) -> ClaimRewriter:
        """Return what writes the claims again after a restore."""
        return ClaimRewriter(self._store, self.held)

    async def run(
        self, keyed_request: KeyedRequest, send: Callable[[], Awaitable[Answer]]
    ) -> KeyedResult:
        """Send the request unless its key is already claimed.

        Return its result, or that of the request that claimed the key. Codes
        other than `ok` and `outcome_replayed` are failures.
        """
        store_era = self.held.store_era
        era = store_era.number
        if store_era.rewrite_ends_in_seconds(self.held.clock()):
            counters.add('claims_refused', 'store_restored')
            return KeyedResult(ResultCode.claim_failed)
        spec = {DIGEST_KEY: keyed_request.body_digest}
        create_result = await self._store.create(
            CLAIMS_KIND, keyed_request.claim_name, spec
        )
        if isinstance(create_result, Success):
            if store_era.number != era:
                # Another front may have had the claim before the restore. As
                # after a lost reply, this one never gets an outcome.
                counters.add('claims_refused', 'store_restored')
                return KeyedResult(ResultCode.claim_failed)
            self.held.add(keyed_request.claim_name, spec)
            revision = create_result.unwrap()['meta']['rev']
            return await self._send_claimed(keyed_request, revision, send)
        if create_result.failure() is ResultCode.version_conflict:
            return await self._replay(keyed_request)
        # The store may still have created the claim, which then never gets an
        # outcome.
        return KeyedResult(ResultCode.claim_failed)

    async def _send_claimed(
        self,
        keyed_request: KeyedRequest,
        revision: int,
        send: Callable[[], Awaitable[Answer]],
    ) -> KeyedResult:
        name = keyed_request.claim_name
        spec = {DIGEST_KEY: keyed_request.body_digest}
        with contextlib.ExitStack() as cleanup:
            # The caller may leave meanwhile.
            cleanup.callback(self.held.finish, name, spec)
            answer = await send()
        if isinstance(answer, RelayedFailure):
            return KeyedResult(ResultCode.backend_error)
        if isinstance(answer, RelayedAnswer):
            try:
                outcome = answer.reply.body.decode()
            except UnicodeDecodeError:
                # JSON cannot hold it, and another text is not the outcome.
                return KeyedResult(ResultCode.bad_reply)
            spec = {**spec, OUTCOME_KEY: outcome}
            self.held.finish(name, spec)
            replace_result = await self._store.replace(
                CLAIMS_KIND, name, spec, revision
            )
            if self.held.may_be_lost(name):
                # The restore may also have removed what was replaced.
                replace_result = await self.rewriter.write(name, spec)
            _warn_if_update_failed(keyed_request, replace_result)
            return KeyedResult(ResultCode.ok, outcome)
        assert isinstance(answer, Refusal)
        if answer.may_have_run:
            return KeyedResult(ResultCode.outcome_unknown)
        self.held.release(name)
        delete_result = await self._store.delete(CLAIMS_KIND, name)
        _warn_if_update_failed(keyed_request, delete_result)
        return KeyedResult(answer.code)

    async def _replay(self, keyed_request: KeyedRequest) -> KeyedResult:
        read_result = await self._store.read(
            CLAIMS_KIND, keyed_request.claim_name
        )
        if isinstance(read_result, Failure):
            return KeyedResult(ResultCode.claim_failed)
        spec = read_result.unwrap().get('spec') or {}
        if spec.get(DIGEST_KEY) != keyed_request.body_digest:
            return KeyedResult(ResultCode.key_reused)
        outcome = spec.get(OUTCOME_KEY)
        if outcome is not None:
            return KeyedResult(ResultCode.outcome_replayed, outcome)
        return KeyedResult(ResultCode.already_claimed)


def _warn_if_update_failed(
    keyed_request: KeyedRequest, update: Result[Fields, ResultCode]
) -> None:
    if isinstance(update, Failure):
        logger.bind(
            claim=keyed_request.claim_name, code=update.failure().name
        ).warning(
            'failed to update the claim of a finished request; a repeat with '
            'its key may be refused as already claimed'
        )
