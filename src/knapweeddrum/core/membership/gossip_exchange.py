"""Messages of the gossip exchange between two keepers."""

from __future__ import annotations

from knapweeddrum.core.membership.incarnation_index import MAX_WANTED
from knapweeddrum.core.membership.member_table import MemberTable
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.heartbeat import Heartbeat
from knapweeddrum.message.call.heartbeat_mark import HeartbeatMark

CATCH_UP_HEARTBEATS = 48
"""Extra whole heartbeats in a reply to a host that knows less than half the members."""


class GossipExchange:
    """Composes the messages of a member table and merges received ones into it.

    In each round a keeper sends ``request`` to the peers that the table chose, and each
    peer answers with ``reply``. Times are monotonic seconds.
    """

    def __init__(self, table: MemberTable) -> None:
        self._table = table

    def request(self, now: float) -> ExchangeRequest:
        """Return the message to a chosen peer."""
        return ExchangeRequest(
            self._table.outgoing_heartbeats(),
            self._table.outgoing_marks(now),
            known=len(self._table),
            wanted=self._table.take_wanted(),
        )

    def reply(self, req: ExchangeRequest, now: float) -> ExchangeReply:
        """Merge a peer's message and return the reply.

        A peer that knows less than half the members gets extra heartbeats; a peer whose
        incarnation was replaced gets the heartbeat of the newer one.
        """
        self._merge(req.heartbeats, req.marks, now)
        heartbeats = (
            *self._table.outgoing_heartbeats(),
            *self._newer_heartbeat_of_sender(req),
            *self._wanted_heartbeats(req),
            *self._catch_up_heartbeats(req),
        )
        return ExchangeReply(heartbeats, self._table.outgoing_marks(now))

    def merge_reply(self, reply: ExchangeReply, now: float) -> None:
        """Merge a peer's reply."""
        self._merge(reply.heartbeats, reply.marks, now)

    def _merge(
        self,
        heartbeats: tuple[Heartbeat, ...],
        marks: tuple[HeartbeatMark, ...],
        now: float,
    ) -> None:
        """Merge the sender's own heartbeat, then those that it relays.

        A relayed heartbeat doesn't tell its age, so it is used only if its
        incarnation is newer than the known one. Marks, which have an age, report the
        later heartbeats of a known incarnation.
        """
        self._table.merge(heartbeats[:1], now)
        relayed = [item for item in heartbeats[1:] if self._is_new(item)]
        self._table.merge(relayed, now)
        self._table.merge_marks(marks, now)

    def _is_new(self, heartbeat: Heartbeat) -> bool:
        known = self._table.heartbeat(heartbeat.host)
        return known is None or heartbeat.incarnation > known.incarnation

    def _newer_heartbeat_of_sender(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        """Return the heartbeat of a newer incarnation of the sender, if known."""
        if not req.heartbeats:
            return ()
        sender = req.heartbeats[0]
        known = self._table.heartbeat(sender.host)
        if known is None or known.incarnation <= sender.incarnation:
            return ()
        return (known,)

    def _wanted_heartbeats(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        found = [self._table.heartbeat_by_crc(crc) for crc in req.wanted[:MAX_WANTED]]
        return tuple(heartbeat for heartbeat in found if heartbeat is not None)

    def _catch_up_heartbeats(self, req: ExchangeRequest) -> tuple[Heartbeat, ...]:
        """Return extra heartbeats if the sender knows less than half the members."""
        if 2 * req.known >= len(self._table):
            return ()
        return self._table.sample(CATCH_UP_HEARTBEATS)
