"""Fuzz the decoders, and check views after reordered responses."""

import functools
import json
import random
from collections.abc import Callable
from typing import Any, TypeAlias

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.members import Cluster, Daemon, Membership, ViewSynchronizer
from dragonflyramp.members._links_grpc import (
    _decode_message,
    _serialize,
    serialize_response,
)
from dragonflyramp.members._sync_messages import (
    decode_request,
    decode_response,
)
from dragonflyramp.members._view_updates import UpdateEncoder
from dragonflyramp.messages import Request
from dragonflyramp.platform import (
    ReplicaCodec,
    StoreDecoder,
    decode_settings,
    parse_api_key,
)
from dragonflyramp.platform._headers import without_tenant_headers
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.views import Change, ChangeBatch, Listing, Position, View

_ENTRIES_KIND = 'servers'
_ObjectsByName = dict[str, dict[str, int]]
_NAMES = ('a', 'b', 'c', 'd')
_DAEMON_COUNT = 3
_STEP_COUNT = 400
_REMOVAL_SHARE = 0.3

_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda nested: st.lists(nested) | st.dictionaries(st.text(), nested),
    max_leaves=12,
)
_fuzz_settings = settings(derandomize=True, max_examples=200, deadline=None)


@_fuzz_settings
@given(
    st.binary()
    | _json_values.map(lambda document: json.dumps(document).encode())
)
def test_decoders_reject_random_messages(body: bytes) -> None:
    """A malformed message must not end the task of a link."""
    assert _decode_message(body, decode_request) is None
    assert _decode_message(body, decode_response) is None


@_fuzz_settings
@given(
    st.dictionaries(st.sampled_from(('sender', 'told', 'wait')), _json_values)
)
def test_decoders_reject_wrong_field_types(fields: dict[str, Any]) -> None:
    """Fields of a wrong type must not end the task of a link."""
    assert _decode_message(_serialize(fields), decode_request) is None
    assert _decode_message(_serialize(fields), decode_response) is None


_ENTRY_FIELDS = (
    'service',
    'address',
    'zone',
    'state',
    'slots',
    'warmup_left_ms',
    'sequence',
    'born',
)


@_fuzz_settings
@given(st.dictionaries(st.sampled_from(_ENTRY_FIELDS), _json_values))
def test_random_entry_is_decoded_or_rejected(spec: dict[str, Any]) -> None:
    """A malformed entry must not end the watch of all entries."""
    entry = StoreDecoder().decode_entry({'meta': {'name': 'x'}, 'spec': spec})
    assert entry is None or isinstance(entry, ReplicaEntry)


@_fuzz_settings
@given(_json_values)
def test_random_settings_file_gets_error_message(document: object) -> None:
    """A malformed settings file must give an error message, not raise."""
    decoded = decode_settings(json.dumps(document))
    assert 'settings file' in decoded.failure()


_TENANT_FIELDS = ('name', 'api_keys', 'priority', 'rate_per_s', 'burst')
_tenant_values = (
    _json_values
    | st.lists(st.text(alphabet='k ~\x7f\n', max_size=3), max_size=3)
    | st.sampled_from(('north', 'south', 0, 1))
)


@_fuzz_settings
@given(
    _json_values
    | st.lists(
        st.dictionaries(st.sampled_from(_TENANT_FIELDS), _tenant_values),
        max_size=3,
    ),
    _json_values,
)
def test_random_tenants_are_decoded_or_rejected(
    tenants: Any, anonymous: Any
) -> None:
    """Malformed tenants must not end a watch, and valid keys must be found."""
    route = {
        'name': 'r',
        'host': 'h',
        'path_prefix': '/',
        'kind': 'idempotent',
        'anonymous': anonymous,
    }
    spec = {
        'version': 1,
        'routes': [route],
        'services': [],
        'tenants': tenants,
    }
    table = StoreDecoder().decode_table({'main': {'spec': spec}})
    if table is None or table.tenants is None:
        return
    for fields in tenants:
        for api_key in fields.get('api_keys') or ():
            tenant = table.tenants.find(api_key.strip())
            assert tenant is not None
            assert tenant.name == fields['name']


@_fuzz_settings
@given(
    st.lists(
        st.tuples(
            st.sampled_from(('Authorization', 'TENANT', 'tenant', 'X')),
            st.text(st.characters(max_codepoint=255), max_size=12).map(
                'Bearer {}'.format
            )
            | st.text(st.characters(max_codepoint=255)),
        )
    ),
    st.text().filter(str.isprintable),
)
def test_random_headers_pass_no_key(
    headers: list[tuple[str, str]], name: str
) -> None:
    """No header of a caller may end a request or name its tenant."""
    assert parse_api_key(tuple(headers)) == parse_api_key(tuple(headers)).strip(
        ' \t'
    )
    passed = tuple(without_tenant_headers(tuple(headers)))
    request = Request(
        request_id='q',
        method='GET',
        path_and_query='/',
        headers=tuple(headers),
        headers_without_tenant=passed,
    )
    assert {passed_name for passed_name, _ in passed} <= {'X'}
    encoded = ReplicaCodec().encode(request, 'r', 1, name)
    assert encoded.count(f'Tenant: {name}'.encode()) >= bool(name)


def _synchronizer(name: str) -> ViewSynchronizer:
    return ViewSynchronizer(
        Cluster(Membership(Daemon(name, f'{name}:1', 'z'))),
        {_ENTRIES_KIND: View(_ENTRIES_KIND)},
        lambda kind, names: None,
        SlowReplicaDetector(),
    )


#: Recipient of an answer, and what applies the answer to it.
_Answer: TypeAlias = tuple[ViewSynchronizer, Callable[[], object]]


class _Model:  # noqa: WPS230 - the state of the whole model
    """Model a store, and daemons whose responses arrive late and out of order.

    Each view must equal the store at the view's position, and its position
    must never decrease. A restore gives out revisions again, in a new era.
    """

    def __init__(self) -> None:
        """Start with an empty store and empty views."""
        self.era = 0
        self.revision = 1
        self.objects_by_name: _ObjectsByName = {}
        self.history: dict[Position, _ObjectsByName] = {Position(0, 1): {}}
        #: Counts the changes, so that no two objects are equal by chance.
        self.change_count = 0
        self.changes: list[tuple[int, Change]] = []
        self.synchronizers = [
            _synchronizer(f'd{index}') for index in range(_DAEMON_COUNT)
        ]
        #: The highest position of each view so far.
        self.encoders = [UpdateEncoder() for _ in self.synchronizers]
        self.highest_positions = [Position() for _ in self.synchronizers]
        self.in_flight: list[_Answer] = []

    @property
    def position(self) -> Position:
        """Return the position of the store."""
        return Position(self.era, self.revision)

    def change(self, name: str, *, is_removal: bool) -> None:
        """Change or remove one object in the store."""
        self.revision += 1
        self.change_count += 1
        fields = None if is_removal else {'at': self.change_count}
        if fields is None:
            self.objects_by_name.pop(name, None)
        else:
            self.objects_by_name[name] = fields
        self.changes.append((self.revision, Change(name, fields)))
        self.history[self.position] = dict(self.objects_by_name)

    def change_another_kind(self) -> None:
        """Increment the store's revision without a change of this kind."""
        self.revision += 1
        self.history[self.position] = dict(self.objects_by_name)

    def restore(self, revisions_back: int) -> None:
        """Restore the store from an older copy of this era."""
        revision = max(1, self.revision - revisions_back)
        while Position(self.era, revision) not in self.history:
            revision += 1
        self.objects_by_name = dict(self.history[Position(self.era, revision)])
        self.changes = [
            (changed_revision, change)
            for changed_revision, change in self.changes
            if changed_revision <= revision
        ]
        self.era += 1
        self.revision = revision
        self.history[self.position] = dict(self.objects_by_name)

    def list_objects(self, index: int) -> None:
        """Send a listing to a daemon, which gets it when it is delivered."""
        synchronizer = self.synchronizers[index]
        view = synchronizer.views[_ENTRIES_KIND]
        listing = Listing(self.revision, self.objects_by_name, self.era)
        self.in_flight.append(
            (synchronizer, functools.partial(view.replace, listing, 1))
        )

    def list_stale(self, index: int, revisions_back: int) -> None:
        """Fill an empty view with a listing of an older revision."""
        view = self.synchronizers[index].views[_ENTRIES_KIND]
        if not view.revision:
            position = Position(
                self.era, max(1, self.revision - revisions_back)
            )
            objects_by_name = self.history.get(position)
            if objects_by_name is not None:
                view.replace(
                    Listing(position.revision, objects_by_name, self.era), 1
                )

    def watch(self, index: int) -> None:
        """Send a daemon the changes after the revision of its view.

        The store does not know the era in which the daemon got the revision.
        """
        synchronizer = self.synchronizers[index]
        view = synchronizer.views[_ENTRIES_KIND]
        if 0 < view.revision <= self.revision:
            known_revision = view.revision
            missing_changes = [
                change
                for revision, change in self.changes
                if revision > known_revision
            ]
            batch = ChangeBatch(self.revision, tuple(missing_changes), self.era)
            self.in_flight.append(
                (synchronizer, functools.partial(view.apply, batch, 1))
            )

    def exchange(self, requester: int, responder: int) -> None:
        """Send a request; its response stays in flight until delivered."""
        request = self.synchronizers[requester].build_request(now_seconds=1)
        response = self.synchronizers[responder].build_response(request, 1)
        decoded = _decode_message(
            serialize_response(response, self.encoders[responder]),
            decode_response,
        )
        assert decoded is not None
        synchronizer = self.synchronizers[requester]
        self.in_flight.append(
            (
                synchronizer,
                functools.partial(synchronizer.apply_response, decoded, 1),
            )
        )

    def deliver(self, position: int) -> None:
        """Deliver one of the responses in flight."""
        if not self.in_flight:
            return
        index = position % len(self.in_flight)
        _, apply_answer = self.in_flight.pop(index)
        apply_answer()

    def restart(self, index: int) -> None:
        """Restart a daemon with an empty view, and drop responses to it."""
        previous_synchronizer = self.synchronizers[index]
        self.in_flight = [
            (synchronizer, apply_answer)
            for synchronizer, apply_answer in self.in_flight
            if synchronizer is not previous_synchronizer
        ]
        self.synchronizers[index] = _synchronizer(f'd{index}')
        self.encoders[index] = UpdateEncoder()
        self.highest_positions[index] = Position()

    def check_views(self) -> None:
        """Compare each view with the store at the view's position."""
        for index, synchronizer in enumerate(self.synchronizers):
            view = synchronizer.views[_ENTRIES_KIND]
            assert view.position >= self.highest_positions[index]
            self.highest_positions[index] = view.position
            if view.revision:
                assert view.objects_by_name == self.history[view.position]

    def converge(self) -> None:
        """Let one daemon list, and the others ask it; deliver all answers."""
        self.list_objects(0)
        while self.in_flight:
            self.deliver(0)
        for requester in range(1, _DAEMON_COUNT):
            self.exchange(requester, 0)
            self.deliver(0)


def _make_random_step(
    model: _Model, rng: random.Random, restore_weight: int
) -> None:
    """Make a random step; answers are about as often sent as delivered."""
    index = rng.randrange(_DAEMON_COUNT)
    steps: dict[Callable[[], None], int] = {
        lambda: model.change(
            rng.choice(_NAMES), is_removal=rng.random() < _REMOVAL_SHARE
        ): 4,
        model.change_another_kind: 2,
        lambda: model.list_objects(index): 1,
        lambda: model.list_stale(index, rng.randrange(5)): 1,
        lambda: model.watch(index): 3,
        lambda: model.exchange(index, rng.randrange(_DAEMON_COUNT)): 6,
        lambda: model.deliver(rng.randrange(50)): 10,
        lambda: model.restore(rng.randrange(8)): restore_weight,
        lambda: model.restart(index): 1,
    }
    chosen_steps = rng.choices(tuple(steps), weights=tuple(steps.values()))
    chosen_steps[0]()


@pytest.mark.parametrize('restore_weight', [0, 1])
@pytest.mark.parametrize('seed', range(20))
def test_views_match_store_history(seed: int, restore_weight: int) -> None:
    """Late and reordered responses must not corrupt a view or undo changes.

    Nor may answers from before a restore, or revisions that are given out
    again.
    """
    rng = random.Random(seed)
    model = _Model()
    for _ in range(_STEP_COUNT):
        _make_random_step(model, rng, restore_weight)
        model.check_views()
    model.converge()
    for synchronizer in model.synchronizers:
        view = synchronizer.views[_ENTRIES_KIND]
        assert view.position == model.position
        assert view.objects_by_name == model.objects_by_name
        assert synchronizer.store_era.number <= model.era
