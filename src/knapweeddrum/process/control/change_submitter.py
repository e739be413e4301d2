"""Sending configuration changes to a keeper."""

from __future__ import annotations

from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.change_verdict import ChangeVerdict
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.exceptions import KeeperReplyLostError, ProblemError
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.problem import Problem
from knapweeddrum.process.control.problems import (
    DEFAULT_RETRY_AFTER_SECONDS,
    outcome_unknown,
    unavailable,
)
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason


class ChangeSubmitter:
    """Sends changes to a keeper and raises a problem unless they are accepted."""

    def __init__(self, keeper: KeeperClient, follower: ConfigFollower) -> None:
        self._keeper = keeper
        self._follower = follower

    async def submit(self, request: ChangeRequest) -> ResourceRecord:
        """Return the changed resource once a keeper has read it back from the log.

        Before that, waits until the local copy has the change, so that the caller can
        read it here; returns without that when ``ConfigFollower.catch_up`` times out.
        Raises ProblemError and KeeperUnavailableError.
        """
        try:
            reply = await self._keeper.change(request)
        except KeeperReplyLostError as exc:
            raise outcome_unknown(_repeat_hint(request)) from exc
        if reply.verdict is ChangeVerdict.CONFLICT:
            raise _conflict(request, reply)
        if reply.verdict is ChangeVerdict.UNAVAILABLE:
            pause = reply.retry_after or DEFAULT_RETRY_AFTER_SECONDS
            raise unavailable("the log is unavailable; nothing was changed", pause)
        if reply.verdict is ChangeVerdict.UNKNOWN:
            pause = reply.retry_after or DEFAULT_RETRY_AFTER_SECONDS
            raise outcome_unknown(_repeat_hint(request), pause)
        await self._follower.catch_up(reply.offset)
        return ResourceRecord(
            resource_kind=request.resource_kind,
            name=request.name,
            version=reply.version,
            offset=reply.offset,
            body=request.body,
            deleted=request.deleted,
        )


def _repeat_hint(request: ChangeRequest) -> str:
    return (
        "the change may have been applied; repeat it with the change id "
        f"{request.change_id} to learn the verdict"
    )


def _conflict(request: ChangeRequest, reply: ChangeReply) -> ProblemError:
    detail = (
        f"{request.resource_kind} {request.name} is at version {reply.version}, "
        f"the change replaces version {request.base_version}"
    )
    return ProblemError(
        Problem(
            ControlRefusalReason.CONFLICT,
            detail,
            version=reply.version,
            offset=reply.offset,
        )
    )
