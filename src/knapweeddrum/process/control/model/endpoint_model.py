"""Model of the resource ``endpoint``."""

from __future__ import annotations

import pydantic

from knapweeddrum.message.resource.endpoint import Endpoint
from knapweeddrum.process.control.model.endpoint_address import EndpointAddress
from knapweeddrum.process.control.model.resource_model import ResourceModel
from knapweeddrum.value.endpoint_kind import EndpointKind


class EndpointModel(ResourceModel):
    """A model engine or plain service that runs ``slots`` requests at a time.

    A ``leaving`` endpoint gets no new requests.
    """

    kind: EndpointKind
    address: EndpointAddress
    data_centre: str = pydantic.Field(min_length=1, max_length=128)
    slots: int = pydantic.Field(default=16, ge=1, le=100_000)
    leaving: bool = False

    def to_message(self) -> Endpoint:
        """Return the specification as the other processes read it."""
        return Endpoint(
            kind=self.kind,
            address=self.address,
            data_centre=self.data_centre,
            slots=self.slots,
            leaving=self.leaving,
        )
