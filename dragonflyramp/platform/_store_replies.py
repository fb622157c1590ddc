"""Read the JSON of the store's replies, in which single objects may be odd."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from dragonflyramp.object_limits import has_few_values
from dragonflyramp.platform._collectors import ElementCollector
from dragonflyramp.platform._reply_elements import (
    Element,
    ElementSplitter,
    decode_element,
    find_meta,
)
from dragonflyramp.stored_objects import (
    LeftOutReason,
    create_left_out,
    report_unusable,
)
from dragonflyramp.views import Fields

#: A reply up to this size, and with few values, is decoded as a whole, which is
#: faster. Pages have about 1 MB.
_MAX_WHOLE_BYTES = 2_097_152
_MAX_WHOLE_VALUES = 150_000
#: Objects have up to `value_bytes` (1 MiB) in the store; as JSON, a character
#: of two bytes may take six.
_MAX_OBJECT_TEXT_BYTES = 4_194_304
#: What is split without giving way to other tasks.
_SPLIT_BYTES = 32_768


async def collect_elements(
    pieces: AsyncIterator[bytes], collector: ElementCollector
) -> Fields | None:
    """Collect the elements of a reply; return its other fields.

    Return None if it is no JSON object. Besides what the collector keeps, this
    takes the memory of about one element.
    """
    text = bytearray()
    async for piece in pieces:
        text += piece
        if len(text) > _MAX_WHOLE_BYTES:
            break
    else:
        fields = _collect_whole(bytes(text), collector)
        if fields is not None:
            return fields
    return await _collect_split(bytes(text), pieces, collector)


def _collect_whole(text: bytes, collector: ElementCollector) -> Fields | None:
    if not has_few_values(text, _MAX_WHOLE_VALUES):
        return None
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    listed = fields.pop(collector.list_key, None)
    if isinstance(listed, list):
        collector.has_list = True
        for element in listed:
            collector.add(element)
    return fields


async def _collect_split(
    text: bytes, pieces: AsyncIterator[bytes], collector: ElementCollector
) -> Fields | None:
    splitter = ElementSplitter()
    with contextlib.suppress(ValueError, RecursionError):
        await _collect_piece(splitter, text, collector)
        text = b''
        async for piece in pieces:
            await _collect_piece(splitter, piece, collector)
        fields = splitter.finish()
        if isinstance(fields, dict):
            listed = fields.pop(collector.list_key, None)
            collector.has_list = isinstance(listed, list)
            return fields
    return None


async def _collect_piece(
    splitter: ElementSplitter, piece: bytes, collector: ElementCollector
) -> None:
    for begins_at in range(0, len(piece), _SPLIT_BYTES):
        ends_at = begins_at + _SPLIT_BYTES
        for element in splitter.feed(piece[begins_at:ends_at]):
            _collect_element(element, collector)
        await asyncio.sleep(0)


def _collect_element(element: Element, collector: ElementCollector) -> None:
    if element.is_cut or not has_few_values(element.text):
        collector.add_unreadable(element.text, LeftOutReason.too_large)
        return
    try:
        decoded = decode_element(element.text)
    except (ValueError, RecursionError):
        collector.add_unreadable(element.text, LeftOutReason.unreadable)
    else:
        collector.add(decoded)


async def read_stored_object(
    kind: str, name: str, pieces: AsyncIterator[bytes]
) -> Fields | None:
    """Read the reply with a single object; None if it is no JSON object.

    Of an object that cannot be held, only `meta` is kept. The reply may be
    empty.
    """
    collected = bytearray()
    async for piece in pieces:
        collected += piece
        if len(collected) > _MAX_OBJECT_TEXT_BYTES:
            break
    text = bytes(collected)
    if len(text) > _MAX_OBJECT_TEXT_BYTES or not has_few_values(text):
        return _leave_out(kind, name, text, LeftOutReason.too_large)
    try:
        fields = decode_element(text) if text else {}
    except (ValueError, RecursionError):
        return _leave_out(kind, name, text, LeftOutReason.unreadable)
    return fields if isinstance(fields, dict) else None


def _leave_out(
    kind: str, name: str, text: bytes, reason: LeftOutReason
) -> Fields | None:
    meta = find_meta(text, ())
    if not meta:
        return None
    report_unusable(kind, name, reason)
    return create_left_out(name, reason, meta)
