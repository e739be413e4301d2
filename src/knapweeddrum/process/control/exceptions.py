"""Errors of the control process."""

from __future__ import annotations

from knapweeddrum.process.control.problem import Problem


class ControlError(Exception):
    """An error of the control process."""


class ProblemError(ControlError):
    """A refused request; ``problem`` is the response to send."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.reason}: {problem.detail}")
        self.problem = problem


class KeeperUnavailableError(ControlError):
    """No keeper could be reached or accepted the call; it was not carried out."""


class KeeperReplyLostError(ControlError):
    """The keeper's reply was lost; the call may have been carried out."""
