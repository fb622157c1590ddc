"""Push a text: check it, write its parts and update the root."""

import attrs
from returns.result import Failure

from dragonflyramp.models import Hold
from dragonflyramp.operators._commits import RootUpdate, commit_update
from dragonflyramp.operators._hold_checks import (
    added_or_changed_hold_names,
    dark_shard_problems,
    unknown_replica_problems,
)
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    refuse,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._proposals import (
    ParsedProposal,
    Proposal,
    text_diff,
)
from dragonflyramp.operators._replicas import read_inventory
from dragonflyramp.operators._statements import add_line_numbers
from dragonflyramp.operators._text_parsing import parse_text
from dragonflyramp.operators._text_stores import TextStore
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ReplicaLister


@attrs.frozen
class Pusher:
    """Check a proposed text and store it in place of the stored text."""

    text_store: TextStore
    replica_lister: ReplicaLister

    async def push(self, proposal: Proposal) -> PushOutcome:
        """Check a text that was edited from the stored one, and store it."""
        parse_result = parse_text(proposal.text)
        if isinstance(parse_result, Failure):
            return Refused(problems=parse_result.failure())
        read_result = await self.text_store.read_root()
        if isinstance(read_result, Failure):
            return refuse(
                read_result.failure(), 'the stored text cannot be read'
            )
        parsed_proposal = ParsedProposal(
            proposal,
            parse_result.unwrap(),
            read_result.unwrap(),
            self.text_store.store.current_era(),
        )
        outcome = await self._push_parsed(parsed_proposal)
        if isinstance(outcome, Refused):
            return await self._add_diff(parsed_proposal, outcome)
        return outcome

    async def _push_parsed(
        self, parsed_proposal: ParsedProposal
    ) -> PushOutcome:
        root = parsed_proposal.stored_root.root
        if root and parsed_proposal.is_stored:
            return Accepted(root=root, is_changed=False)
        problems = parsed_proposal.problems() or await self._hold_problems(
            parsed_proposal
        )
        if problems:
            return Refused(problems=problems)
        parts = parsed_proposal.new_parts()
        for part in parts.values():
            write_result = await self.text_store.write_part(part)
            if isinstance(write_result, Failure):
                return refuse(
                    write_result.failure(),
                    'a part of the text cannot be written; '
                    'the stored text is unchanged',
                )
        update = RootUpdate(
            parsed_proposal.next_root(),
            parsed_proposal.stored_root.version,
            parsed_proposal.era,
        )
        outcome = await commit_update(self.text_store, update)
        if isinstance(outcome, Accepted):
            return attrs.evolve(outcome, parts=parts)
        return outcome

    async def _hold_problems(
        self, parsed_proposal: ParsedProposal
    ) -> tuple[Problem, ...]:
        """Return the problems of holds that the proposal adds or changes.

        Stored holds are not checked against the listed replicas again, because
        they must not block an unrelated change.
        """
        configuration = parsed_proposal.configuration
        stored_holds = (
            parsed_proposal.stored_root.root.holds
            if parsed_proposal.stored_root.root
            else ()
        )
        names = added_or_changed_hold_names(stored_holds, configuration.holds)
        if not names:
            return ()
        inventory_result = await read_inventory(
            self.replica_lister, configuration
        )
        if isinstance(inventory_result, Failure):
            holds = [configuration.holds[name] for name in sorted(names)]
            return _unchecked_hold_problems(inventory_result.failure(), holds)
        inventory = inventory_result.unwrap()
        problems = (
            *unknown_replica_problems(configuration, inventory.replicas, names),
            *dark_shard_problems(configuration, inventory.ready, names),
        )
        return add_line_numbers(
            parsed_proposal.proposal.text.decode(), problems
        )

    async def _add_diff(
        self, parsed_proposal: ParsedProposal, outcome: Refused
    ) -> Refused:
        if not outcome.has_code(ResultCode.stale_base):
            return outcome
        read_result = await self.text_store.read_text()
        if isinstance(read_result, Failure):
            return outcome
        diff = text_diff(
            read_result.unwrap().text, parsed_proposal.proposal.text
        )
        return attrs.evolve(outcome, diff=diff)


def _unchecked_hold_problems(
    code: ResultCode, holds: list[Hold]
) -> tuple[Problem, ...]:
    return tuple(
        Problem(
            code=code,
            key=f'holds.{hold.name}',
            sentence=(
                'the replicas cannot be listed, so the hold may leave a '
                'shard without any; set confirm_dark = true in the hold '
                '(`zone out`: --confirm_dark) to accept this'
            ),
        )
        for hold in holds
        if not hold.confirm_dark
    )
