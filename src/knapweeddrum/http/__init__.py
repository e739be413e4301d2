"""HTTP client and server connections.

Client errors tell requests that were not sent from those that got no reply.
"""

from __future__ import annotations
