"""Check whether a request may run at all."""

from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.callers._admission import Admission
from dragonflyramp.callers._requests import SearchRequest, SubmitRequest
from dragonflyramp.members import ConfigurationSource
from dragonflyramp.models import Service
from dragonflyramp.results import ResultCode


@attrs.frozen(eq=False)
class RequestChecks:
    """Check requests against the configuration and the daemon's state."""

    source: ConfigurationSource
    clock: Callable[[], float]

    def check(
        self, request: SearchRequest | SubmitRequest, admission: Admission
    ) -> Result[Service, ResultCode]:
        """Return the requested service, or why the request is refused."""
        now_seconds = self.clock()
        code = admission.refusal(now_seconds) or self.unready(now_seconds)
        if code:
            return Failure(code)
        configuration = self.source.current
        service = configuration and configuration.services.get(request.service)
        if not service:
            return Failure(ResultCode.unknown_service)
        if request.deadline_ms < 1:
            return Failure(ResultCode.bad_deadline)
        return Success(service)

    def check_submit(
        self, request: SubmitRequest, admission: Admission
    ) -> Result[Service, ResultCode]:
        """Check a submit, which also needs a key and a single shard."""
        checked = self.check(request, admission)
        if checked.map(_is_shard).value_or(True) is False:
            return Failure(ResultCode.not_a_shard)
        if not request.idempotency_key:
            return Failure(ResultCode.missing_idempotency_key)
        return checked

    def unready(self, now_seconds: float) -> ResultCode | None:
        """Return why the daemon runs no requests now, or None."""
        if self.source.current is None:
            return ResultCode.no_configuration
        if self.source.is_isolated(now_seconds):
            return ResultCode.isolated
        return None


def _is_shard(service: Service) -> bool:
    return not service.depends_on
