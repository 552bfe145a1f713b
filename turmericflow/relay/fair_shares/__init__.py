"""Fair shares between customers of the places at engines."""

from __future__ import annotations

from turmericflow.relay.fair_shares._order import Standing
from turmericflow.relay.fair_shares._table import FairShares, ServiceShares
from turmericflow.relay.fair_shares._usage import Usage, customer_key

__all__ = ("FairShares", "ServiceShares", "Standing", "Usage", "customer_key")
