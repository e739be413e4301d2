"""Handler that reads one resource."""

from __future__ import annotations

from knapweeddrum.process.control.api_request import ApiRequest
from knapweeddrum.process.control.api_response import ApiResponse, json_response
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.handler.handler import Handler
from knapweeddrum.process.control.problems import not_found, not_ready
from knapweeddrum.process.control.resource_document import ResourceDocument
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.process.control.resource_kind_parameter import resource_kind_parameter


class ResourceGetHandler(Handler):
    """Reads a resource from the copy of the configuration."""

    def __init__(self, follower: ConfigFollower) -> None:
        self._follower = follower

    async def handle(
        self, req: ApiRequest, path_params: tuple[str, ...]
    ) -> ApiResponse:
        """Return the resource."""
        kind = resource_kind_parameter(path_params[0])
        copy = self._follower.copy
        if not copy.ready:
            raise not_ready("no configuration has been read yet")
        record = copy.get(ResourceId(kind, path_params[1]))
        if record is None:
            raise not_found(f"{kind} {path_params[1]} does not exist")
        return json_response(200, ResourceDocument.from_record(record))
