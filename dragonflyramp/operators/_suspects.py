"""List and release requests that end the replicas that run them."""

from collections.abc import Mapping

from returns.result import Result

from dragonflyramp.members import SUSPECTS_KIND, decode_record
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import KeyedStore, WatchedStore
from dragonflyramp.suspects import SuspectRecord
from dragonflyramp.views import Listing


async def list_suspects(
    store: WatchedStore,
) -> Result[Mapping[str, SuspectRecord], ResultCode]:
    """Return the records of suspect requests by fingerprint.

    Fail with platform_down or bad_reply.
    """
    list_result = await store.list_objects(SUSPECTS_KIND)
    return list_result.map(_decode_records)


async def release_suspect(store: KeyedStore, fingerprint: str) -> ResultCode:
    """Remove a record; all daemons then treat the request as a new one.

    Return object_missing if there is none, or platform_down or bad_reply.
    """
    delete_result = await store.delete(SUSPECTS_KIND, fingerprint)
    code: ResultCode = delete_result.swap().value_or(ResultCode.ok)
    return code


def _decode_records(listing: Listing) -> Mapping[str, SuspectRecord]:
    decoded = {
        fingerprint: decode_record(fields)
        for fingerprint, fields in listing.objects_by_name.items()
    }
    return {
        fingerprint: stored.record
        for fingerprint, stored in decoded.items()
        if stored is not None
    }
