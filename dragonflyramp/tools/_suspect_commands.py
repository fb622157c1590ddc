"""Run the commands on requests that end the replicas that run them."""

import datetime

from returns.result import Failure

from dragonflyramp import operators
from dragonflyramp.results import ResultCode
from dragonflyramp.suspects import SuspectRecord
from dragonflyramp.tools import _reports as reports
from dragonflyramp.tools._operator_components import open_platform
from dragonflyramp.tools._operator_flags import OperatorSettings


async def list_suspects(settings: OperatorSettings, _: str) -> reports.Report:
    """List the records of suspect requests, one a line."""
    async with open_platform(settings) as store:
        list_result = await operators.list_suspects(store)
    if isinstance(list_result, Failure):
        return reports.report_read_failure(list_result.failure())
    lines = [
        _describe(fingerprint, record)
        for fingerprint, record in sorted(list_result.unwrap().items())
    ]
    return reports.Report(
        output=reports.join_lines(lines or ('no suspect requests',))
    )


async def release_suspect(
    settings: OperatorSettings, fingerprint: str
) -> reports.Report:
    """Remove the record of a request."""
    async with open_platform(settings) as store:
        code = await operators.release_suspect(store, fingerprint)
    if code is ResultCode.ok:
        return reports.Report(output=f'released: {fingerprint}\n')
    return reports.report_read_failure(code)


def _describe(fingerprint: str, record: SuspectRecord) -> str:
    suspicion = record.suspicion
    changed_at = datetime.datetime.fromtimestamp(
        record.changed_ms // 1000, datetime.UTC
    )
    described = (
        f'service {suspicion.service}',
        f'rounds {suspicion.crash_rounds}',
        f'last request {suspicion.request_id}',
        f'software {record.software_version}',
        f'tried by {record.claimed_by}',
        f'late trials {record.late_trial_count}',
        f'changed {changed_at.isoformat()}',
    )
    description = ', '.join(described)
    return f'{fingerprint}: {description}'
