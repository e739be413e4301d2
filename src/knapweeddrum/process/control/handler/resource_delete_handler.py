"""Handler that deletes resources."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse
from knapweeddrum.process.control.change_headers import (
    author,
    change_id,
    change_id_header,
)
from knapweeddrum.process.control.change_submitter import ChangeSubmitter
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.integer_parameter import integer_parameter
from knapweeddrum.process.control.model.exceptions import InvalidDocumentError
from knapweeddrum.process.control.problems import invalid
from knapweeddrum.process.control.resource_checks import ResourceChecks
from knapweeddrum.process.control.resource_document import ResourceDocument
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.process.control.resource_kind_parameter import resource_kind_parameter


class ResourceDeleteHandler(Handler):
    """Deletes a resource if it is at the version in the parameter ``version``."""

    def __init__(self, checks: ResourceChecks, submitter: ChangeSubmitter) -> None:
        self._checks = checks
        self._submitter = submitter

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the deleted resource once a keeper has read back the change."""
        resource_id = ResourceId(
            resource_kind_parameter(path_params[0]), path_params[1]
        )
        identifier = change_id(req)
        base_version = integer_parameter("version", req.parameter("version"), 1)
        try:
            self._checks.check_unused(resource_id)
        except InvalidDocumentError as exc:
            raise invalid(exc) from exc
        request = ChangeRequest(
            change_id=identifier,
            resource_kind=resource_id.kind,
            name=resource_id.name,
            base_version=base_version,
            author=author(req),
            deleted=True,
        )
        record = await self._submitter.submit(request)
        return ApiResponse(
            status=200,
            body=msgspec.json.encode(ResourceDocument.from_record(record)),
            headers=change_id_header(identifier),
        )
