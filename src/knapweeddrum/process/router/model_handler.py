"""Handler of chat-completion requests."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from anyio.streams.memory import MemoryObjectReceiveStream

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.message.resource.route import Route
from knapweeddrum.process.router.answer_feed import FeedItem
from knapweeddrum.process.router.authenticated_request import AuthenticatedRequest
from knapweeddrum.process.router.body_reader import Receive
from knapweeddrum.process.router.chat_body import ChatBody, decode_chat_body
from knapweeddrum.process.router.chat_encoder import ChatEncoder
from knapweeddrum.process.router.chat_usage import ChatUsage
from knapweeddrum.process.router.disconnect_watch import while_connected
from knapweeddrum.process.router.exceptions import RefusedError, refused
from knapweeddrum.process.router.model_job import ModelJob
from knapweeddrum.process.router.model_run import ModelRun
from knapweeddrum.process.router.prefix_digests import prefix_digests
from knapweeddrum.process.router.repeatability import is_repeatable
from knapweeddrum.process.router.request_digest import request_digest
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.process.router.response_writer import (
    JSON_CONTENT_TYPE,
    ResponseWriter,
)
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.run_directory import RunDirectory
from knapweeddrum.process.router.run_ending import RunEnding
from knapweeddrum.telemetry.counters import ANSWERED
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.identifiers import (
    BudgetName,
    ClaimKey,
    OrganisationName,
    RequestKey,
    RouteName,
)
from knapweeddrum.value.refusal_reason import RefusalReason

CHAT_PATH = "/v1/chat/completions"


class ModelHandler:
    """Checks a chat-completion request, runs it and writes the answer."""

    def __init__(
        self, context: RouterContext, table: ResourceTable, runs: RunDirectory
    ) -> None:
        self._context = context
        self._table = table
        self._runs = runs

    async def handle(
        self, req: AuthenticatedRequest, receive: Receive, writer: ResponseWriter
    ) -> None:
        """Answer one request; raises RefusedError or CallerGoneError."""
        chat = decode_chat_body(req.body)
        run = self._runs.get_or_start(self._job(req, chat))
        created = int(self._context.wall_clock())
        encoder = ChatEncoder(req.request_id, chat.model, created)
        with _listen_to(run) as items:
            async with while_connected(receive):
                if chat.stream:
                    await self._send_stream(items, encoder, writer)
                else:
                    await self._send_completion(items, encoder, writer)

    def _job(self, req: AuthenticatedRequest, chat: ChatBody) -> ModelJob:
        """Return the validated request; raises RefusedError."""
        organisation = req.organisation
        route = self._route(chat.model)
        budget = self._budget(organisation, req.headers.budget)
        repeatable = is_repeatable(
            self._table.rules.values(), chat.model, route, req.method, CHAT_PATH
        )
        claim_key = ""
        if not repeatable and req.headers.idempotency_key:
            claim_key = f"{organisation}/{chat.model}/{req.headers.idempotency_key}"
        seconds = req.headers.deadline
        if seconds is None:
            seconds = self._context.settings.router.default_deadline_seconds
        return ModelJob(
            request_key=RequestKey(f"{organisation}/{req.request_id}"),
            organisation=organisation,
            weight=max(1, self._table.organisations[organisation].weight),
            budget=budget,
            route_name=RouteName(chat.model),
            route=route,
            body=req.body,
            fingerprint=request_digest(chat.model, budget, claim_key, req.body),
            prompt_digest=chat.content_digest(),
            prefixes=prefix_digests(chat.messages),
            output_limit=chat.output_limit(route.output_limit),
            prompt_bound=chat.prompt_bound(req.body),
            priority=req.headers.priority,
            deadline=self._context.clock() + seconds,
            repeatable=repeatable,
            claim_key=ClaimKey(claim_key),
            id_from_caller=not req.id_is_generated,
        )

    def _route(self, name: str) -> Route:
        route = self._table.routes.get(name)
        if route is None or route.kind is not EndpointKind.MODEL_ENGINE:
            raise refused(RefusalReason.UNKNOWN_ROUTE, f"no model {name!r}")
        return route

    def _budget(self, organisation: OrganisationName, name: str) -> BudgetName:
        full_name = f"{organisation}/{name}"
        if full_name not in self._table.budgets:
            raise refused(RefusalReason.BAD_REQUEST, f"no budget {name!r}")
        return BudgetName(full_name)

    async def _send_stream(
        self,
        items: MemoryObjectReceiveStream[FeedItem],
        encoder: ChatEncoder,
        writer: ResponseWriter,
    ) -> None:
        """Stream the parts to the caller; the response starts with the first one."""
        async for item in items:
            if isinstance(item, AnswerPart):
                if item.text or not writer.started:
                    await self._write_part(item, encoder, writer)
                continue
            _raise_refusal(item)
            if not writer.started:
                await writer.start_events()
            events = encoder.closing_events(item.finish_reason, _usage(item))
            await writer.end_events(events)
            self._context.metrics.count(ANSWERED)
            return

    async def _write_part(
        self, part: AnswerPart, encoder: ChatEncoder, writer: ResponseWriter
    ) -> None:
        first = not writer.started
        if first:
            await writer.start_events()
        await writer.send_events(encoder.text_event(part.text, first))

    async def _send_completion(
        self,
        items: MemoryObjectReceiveStream[FeedItem],
        encoder: ChatEncoder,
        writer: ResponseWriter,
    ) -> None:
        """Send the answer as one response once it is complete."""
        texts: list[str] = []
        async for item in items:
            if isinstance(item, AnswerPart):
                texts.append(item.text)
                continue
            _raise_refusal(item)
            body = encoder.completion("".join(texts), item.finish_reason, _usage(item))
            await writer.send_response(200, JSON_CONTENT_TYPE, body)
            self._context.metrics.count(ANSWERED)
            return


@contextlib.contextmanager
def _listen_to(run: ModelRun) -> Iterator[MemoryObjectReceiveStream[FeedItem]]:
    """Listen to a run; on exit, notify it unless a newer listener replaced this one."""
    items = run.feed.attach()
    try:
        yield items
    finally:
        if run.feed.detach(items):
            run.on_caller_left()


def _raise_refusal(ending: RunEnding) -> None:
    """Raise RefusedError unless the answer is complete."""
    if ending.refusal is not None:
        raise RefusedError(ending.refusal)


def _usage(ending: RunEnding) -> ChatUsage:
    return ChatUsage(
        prompt_tokens=ending.prompt_tokens,
        completion_tokens=ending.output_tokens,
        total_tokens=ending.prompt_tokens + ending.output_tokens,
    )
