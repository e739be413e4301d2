"""Messages of the membership exchange between two nodes."""

from __future__ import annotations

from knapweeddrum.core.membership.incarnation_index import MAX_WANTED
from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark

HEARTBEATS_PER_WELCOME = 48
"""Whole heartbeats in a reply to a host that knows far fewer members."""


class GossipExchange:
    """Composes and takes the messages for a member table.

    Each round a node sends ``request`` to the peers that the table chose, and the
    peers answer with ``reply``. Times are monotonic seconds.
    """

    def __init__(self, table: MemberTable) -> None:
        self._table = table

    def request(self, now: float) -> ExchangeRequest:
        """Return the message to a peer that was chosen."""
        return ExchangeRequest(
            self._table.outgoing(),
            self._table.outgoing_marks(now),
            known=len(self._table),
            wanted=self._table.take_wanted(),
        )

    def reply(self, req: ExchangeRequest, now: float) -> ExchangeReply:
        """Take a peer's message and return the reply.

        A peer that knows far fewer members gets more; one that was replaced gets the
        heartbeat of the newer incarnation.
        """
        self._take(req.heartbeats, req.marks, now)
        heartbeats = (
            *self._table.outgoing(),
            *self._newer_of_sender(req),
            *self._wanted_by(req),
            *self._welcome(req),
        )
        return ExchangeReply(heartbeats, self._table.outgoing_marks(now))

    def take_reply(self, reply: ExchangeReply, now: float) -> None:
        """Take a peer's reply."""
        self._take(reply.heartbeats, reply.marks, now)

    def _take(
        self,
        heartbeats: tuple[Heartbeat, ...],
        marks: tuple[HeartbeatMark, ...],
        now: float,
    ) -> None:
        """Take the sender's own heartbeat, then what it relays.

        A relayed heartbeat has no age: it only counts when its incarnation is new.
        """
        self._table.merge(heartbeats[:1], now)
        relayed = [item for item in heartbeats[1:] if self._is_new(item)]
        self._table.merge(relayed, now)
        self._table.merge_marks(marks, now)

    def _is_new(self, heartbeat: Heartbeat) -> bool:
        known = self._table.heartbeat(heartbeat.host)
        return known is None or heartbeat.incarnation > known.incarnation

    def _newer_of_sender(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        """Return the heartbeat that replaces the sender's, if there is one."""
        if not req.heartbeats:
            return ()
        sender = req.heartbeats[0]
        known = self._table.heartbeat(sender.host)
        if known is None or known.incarnation <= sender.incarnation:
            return ()
        return (known,)

    def _wanted_by(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        found = [self._table.heartbeat_of(crc) for crc in req.wanted[:MAX_WANTED]]
        return tuple(heartbeat for heartbeat in found if heartbeat is not None)

    def _welcome(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        """Return many heartbeats for a sender that knows less than half."""
        if 2 * req.known >= len(self._table):
            return ()
        return self._table.sample(HEARTBEATS_PER_WELCOME)
