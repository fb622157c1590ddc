"""Test the encoding of scatter messages."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from dragonflyramp import messages
from dragonflyramp.members import _codec_grpc as codec
from dragonflyramp.members._streams import Cancel, Hello, KeepAlive, Parts
from dragonflyramp.members.members_pb2 import Part, RelayMessage, SubmitOutcome
from dragonflyramp.models import Snapshot
from dragonflyramp.results import ResultCode

_NAME = st.text(min_size=1, max_size=8)
_COUNT = st.integers(0, 2**32 - 1)
_SNAPSHOT = st.builds(
    Snapshot,
    snapshot_id=_NAME,
    generation=_COUNT,
    documents=_COUNT,
    total_documents=st.none() | _COUNT,
)
_ATTEMPT = st.builds(messages.ShardAttempt, shard=_NAME, attempt_id=_NAME)
_BODY = st.binary(max_size=20)
_FRONT_MESSAGES = (
    st.builds(Hello, front_id=_NAME)
    | st.builds(Cancel, query_id=_NAME)
    | st.builds(
        messages.Query,
        query_id=_NAME,
        attempts=st.lists(_ATTEMPT, min_size=1).map(tuple),
        remaining_ms=_COUNT,
        body=_BODY,
    )
    | st.builds(
        messages.Submit,
        submit_id=_NAME,
        idempotency_key=_NAME,
        remaining_ms=_COUNT,
        body=_BODY,
    )
)
_PART = st.builds(
    messages.Part,
    query_id=_NAME,
    attempt_id=_NAME,
    documents=_COUNT,
    code=st.sampled_from(ResultCode),
)
_RELAY_MESSAGES = (
    st.builds(KeepAlive)
    | _PART
    | st.builds(Parts, st.lists(_PART, min_size=1).map(tuple))
    | st.builds(messages.SubmitOutcome, submit_id=_NAME)
    | st.builds(
        messages.Report,
        relay_id=_NAME,
        slice_ids=st.lists(_NAME).map(tuple),
        shards=st.lists(
            st.builds(
                messages.ShardReport,
                shard=_NAME,
                snapshots=st.lists(_SNAPSHOT, max_size=3).map(tuple),
            ),
            max_size=3,
        ).map(tuple),
    )
)


@given(_FRONT_MESSAGES, _RELAY_MESSAGES)
@settings(derandomize=True, deadline=None)
def test_messages_survive_the_encoding(
    asked: messages.Query, answered: messages.Part
) -> None:
    """Guards against a field that is lost or mixed up on the way."""
    raw_asked = codec.encode_front(asked)
    assert codec.decode_front(raw_asked) == Success(asked)
    raw_answered = codec.encode_relay(answered)
    assert codec.decode_relay(raw_answered) == Success(answered)


@given(st.binary(max_size=60))
@settings(derandomize=True, deadline=None)
def test_any_bytes_give_a_result(raw: bytes) -> None:
    """Guards against bytes that raise in the task of a stream."""
    for decoded in (codec.decode_front(raw), codec.decode_relay(raw)):
        assert isinstance(decoded, Success | Failure)


def test_unknown_code_is_never_not_run() -> None:
    """Guards against "not run" for a code that only a newer daemon knows."""
    part = Part(query_id='q', attempt_id='a', code=9999)
    outcome = SubmitOutcome(submit_id='s', code=9999)
    for received in (RelayMessage(part=part), RelayMessage(outcome=outcome)):
        decoded = codec.decode_relay(received.SerializeToString()).unwrap()
        assert isinstance(decoded, messages.Part | messages.SubmitOutcome)
        assert decoded.code.meaning.run.name == 'unknown'
