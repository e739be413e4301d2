"""Simulation of a fleet's keepers and routers in virtual time, without sockets."""

from __future__ import annotations
