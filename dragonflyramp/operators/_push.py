"""Push a text: check it, write its parts, update the root."""

import attrs
from returns.result import Failure

from dragonflyramp.models import Hold
from dragonflyramp.operators._commits import Update, commit
from dragonflyramp.operators._drafts import Draft, Proposal, text_diff
from dragonflyramp.operators._holds import (
    dark_problems,
    new_holds,
    unknown_problems,
)
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    refused,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._replicas import list_fleet
from dragonflyramp.operators._statements import with_lines
from dragonflyramp.operators._stored import TextStore
from dragonflyramp.operators._text import parse_text
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ReplicaList


@attrs.frozen
class Pusher:
    """Push proposals to the stored text."""

    texts: TextStore
    replicas: ReplicaList

    async def push(self, proposal: Proposal) -> PushOutcome:
        """Push a text that was edited from the stored one."""
        parsed = parse_text(proposal.text)
        if isinstance(parsed, Failure):
            return Refused(problems=parsed.failure())
        stored = await self.texts.read_root()
        if isinstance(stored, Failure):
            return refused(stored.failure(), 'the stored root cannot be read')
        draft = Draft(proposal, parsed.unwrap(), stored.unwrap())
        outcome = await self._push_draft(draft)
        if isinstance(outcome, Refused):
            return await self._with_diff(draft, outcome)
        return outcome

    async def _push_draft(self, draft: Draft) -> PushOutcome:
        root = draft.stored.root
        if root and root.parts == draft.refs:
            return Accepted(root=root, is_changed=False)
        problems = draft.problems() or await self._replica_problems(draft)
        if problems:
            return Refused(problems=problems)
        parts = draft.added_parts()
        for part in parts.values():
            written = await self.texts.write_part(part)
            if isinstance(written, Failure):
                return refused(written.failure(), 'a part cannot be written')
        update = Update(draft.next_root(), draft.stored.version)
        outcome = await commit(self.texts, update)
        if isinstance(outcome, Accepted):
            return attrs.evolve(outcome, parts=parts)
        return outcome

    async def _replica_problems(self, draft: Draft) -> tuple[Problem, ...]:
        """Check the holds that the proposal adds or changes.

        A hold that is in force already stays so whatever the VM list says,
        because it must not stand in the way of an unrelated change.
        """
        configuration = draft.configuration
        accepted = draft.stored.root.holds if draft.stored.root else ()
        names = new_holds(accepted, configuration.holds)
        if not names:
            return ()
        fleet = await list_fleet(self.replicas, configuration)
        if isinstance(fleet, Failure):
            holds = [configuration.holds[name] for name in sorted(names)]
            return _unchecked_problems(fleet.failure(), holds)
        listed = fleet.unwrap()
        problems = (
            *unknown_problems(configuration, listed.known, names),
            *dark_problems(configuration, listed.live, names),
        )
        return with_lines(draft.proposal.text.decode(), problems)

    async def _with_diff(self, draft: Draft, outcome: Refused) -> Refused:
        if not outcome.has_code(ResultCode.stale_base):
            return outcome
        stored = await self.texts.read_text()
        if isinstance(stored, Failure):
            return outcome
        diff = text_diff(stored.unwrap().text, draft.proposal.text)
        return attrs.evolve(outcome, diff=diff)


def _unchecked_problems(
    code: ResultCode, holds: list[Hold]
) -> tuple[Problem, ...]:
    return tuple(
        Problem(
            code=code,
            key=f'holds.{hold.name}',
            sentence=(
                'the replicas cannot be listed, so it is unknown whether a'
                ' shard stays without any; confirm_dark = true accepts this'
            ),
        )
        for hold in holds
        if not hold.confirm_dark
    )
