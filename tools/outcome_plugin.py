"""nose2 plugin that records the names of the tests that ran and that failed."""

from __future__ import annotations

from nose2.events import Plugin


class OutcomePlugin(Plugin):
    alwaysOn = True  # noqa: N815
    configSection = "outcomes"  # noqa: N815
    ran: list[str] = []
    broken: list[str] = []

    def testOutcome(self, event):  # noqa: N802
        """Record an outcome; a failed subtest counts as a failure of its test."""
        name = event.test.id().partition("\n")[0]
        self.ran.append(name)
        if event.outcome in {"failed", "error"} and not event.expected:
            self.broken.append(name)
