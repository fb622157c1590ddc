"""Keep the facts of the adopted configuration."""

import attrs

from dragonflyramp.members._hooks import AdoptedConfiguration
from dragonflyramp.members._writer_views import ConfigurationFacts, facts_of
from dragonflyramp.models import Configuration


@attrs.define
class CachedFacts:
    """Extract the facts once for each configuration."""

    _configuration: AdoptedConfiguration
    _extracted_from: Configuration | None = None
    _facts: ConfigurationFacts = ConfigurationFacts()

    def facts(self) -> ConfigurationFacts:
        """Return the facts of the adopted configuration."""
        current = self._configuration.current
        if current is not self._extracted_from:
            self._extracted_from = current
            self._facts = facts_of(current)
        return self._facts
