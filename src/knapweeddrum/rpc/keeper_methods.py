"""The methods that a keeper serves."""

from __future__ import annotations

from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_request import BudgetRequest
from knapweeddrum.message.call.change_reply import ChangeReply
from knapweeddrum.message.call.change_request import ChangeRequest
from knapweeddrum.message.call.claim_reply import ClaimReply
from knapweeddrum.message.call.claim_request import ClaimRequest
from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.config_request import ConfigRequest
from knapweeddrum.message.call.drain_reply import DrainReply
from knapweeddrum.message.call.drain_request import DrainRequest
from knapweeddrum.message.call.draw_reply import DrawReply
from knapweeddrum.message.call.draw_request import DrawRequest
from knapweeddrum.message.call.entry_reply import EntryReply
from knapweeddrum.message.call.entry_request import EntryRequest
from knapweeddrum.message.call.exchange_reply import ExchangeReply
from knapweeddrum.message.call.exchange_request import ExchangeRequest
from knapweeddrum.message.call.fetch_reply import FetchReply
from knapweeddrum.message.call.fetch_request import FetchRequest
from knapweeddrum.message.call.locate_reply import LocateReply
from knapweeddrum.message.call.locate_request import LocateRequest
from knapweeddrum.message.call.outcome_reply import OutcomeReply
from knapweeddrum.message.call.outcome_request import OutcomeRequest
from knapweeddrum.message.call.settle_reply import SettleReply
from knapweeddrum.message.call.settle_request import SettleRequest
from knapweeddrum.message.call.top_up_reply import TopUpReply
from knapweeddrum.message.call.top_up_request import TopUpRequest
from knapweeddrum.message.call.transfer_reply import TransferReply
from knapweeddrum.message.call.transfer_request import TransferRequest
from knapweeddrum.message.call.unlock_reply import UnlockReply
from knapweeddrum.message.call.unlock_request import UnlockRequest
from knapweeddrum.rpc.method import Method

_SERVICE = "/knapweed.Keeper"

DRAW = Method(f"{_SERVICE}/Draw", DrawRequest, DrawReply)
SETTLE = Method(f"{_SERVICE}/Settle", SettleRequest, SettleReply)
CLAIM = Method(f"{_SERVICE}/Claim", ClaimRequest, ClaimReply)
OUTCOME = Method(f"{_SERVICE}/Outcome", OutcomeRequest, OutcomeReply)
CONFIG = Method(f"{_SERVICE}/Config", ConfigRequest, ConfigReply)
CHANGE = Method(f"{_SERVICE}/Change", ChangeRequest, ChangeReply)
TOP_UP = Method(f"{_SERVICE}/TopUp", TopUpRequest, TopUpReply)
BUDGET = Method(f"{_SERVICE}/Budget", BudgetRequest, BudgetReply)
ENTRY = Method(f"{_SERVICE}/Entry", EntryRequest, EntryReply)
DRAIN = Method(f"{_SERVICE}/Drain", DrainRequest, DrainReply)
LOCATE = Method(f"{_SERVICE}/Locate", LocateRequest, LocateReply)
EXCHANGE = Method(f"{_SERVICE}/Exchange", ExchangeRequest, ExchangeReply)
FETCH = Method(f"{_SERVICE}/Fetch", FetchRequest, FetchReply)
UNLOCK = Method(f"{_SERVICE}/Open", UnlockRequest, UnlockReply)
TRANSFER = Method(f"{_SERVICE}/Transfer", TransferRequest, TransferReply)
