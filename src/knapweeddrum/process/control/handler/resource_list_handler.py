"""Handler that lists the resources of a kind."""

from __future__ import annotations

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.problems import not_ready
from knapweeddrum.process.control.resource_document import ResourceDocument
from knapweeddrum.process.control.resource_kind_parameter import resource_kind_parameter
from knapweeddrum.process.control.resource_list_document import ResourceListDocument


class ResourceListHandler(Handler):
    """Lists the resources whose name starts with the parameter ``prefix``."""

    def __init__(self, follower: ConfigFollower) -> None:
        self._follower = follower

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the list."""
        kind = resource_kind_parameter(path_params[0])
        prefix = req.parameter("prefix")
        copy = self._follower.copy
        if not copy.ready:
            raise not_ready("no configuration has been read yet")
        found = tuple(
            ResourceDocument.from_record(record)
            for record in copy.resources()
            if record.resource_kind == kind and record.name.startswith(prefix)
        )
        return json_response(200, ResourceListDocument(copy.offset, found))
