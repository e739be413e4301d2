"""nose2 plugin that records the names of the tests that ran and that failed."""

from __future__ import annotations

import time

from nose2.events import Plugin

from tools.outcomes import Outcomes


class OutcomePlugin(Plugin):
    alwaysOn = True  # noqa: N815
    configSection = "outcomes"  # noqa: N815
    outcomes = Outcomes()
    _started_at = 0.0

    def startTest(self, event):  # noqa: N802
        self._started_at = time.monotonic()

    def testOutcome(self, event):  # noqa: N802
        """Record an outcome; a failed subtest counts as a failure of its test."""
        name = event.test.id().partition("\n")[0]
        self.outcomes.ran.append(name)
        self.outcomes.seconds[name] = time.monotonic() - self._started_at
        if event.outcome in {"failed", "error"} and not event.expected:
            self.outcomes.broken.append(name)
