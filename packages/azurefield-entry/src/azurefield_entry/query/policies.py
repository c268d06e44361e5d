"""Selects the routing and hedging policies; no other module does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurefield.hedging import BudgetedHedging
from azurefield.routing import OwnObservationRouter

if TYPE_CHECKING:
    from random import Random

    from azurefield.model import ServiceConfig


def make_router(random: Random) -> OwnObservationRouter:
    """Create the router of one service."""
    return OwnObservationRouter(random=random)


def make_hedge_policy(config: ServiceConfig) -> BudgetedHedging:
    """Create the hedging policy of one service."""
    return BudgetedHedging(budget=config.hedge_budget)
