"""Moving standing connections towards balance: which, when, and at what rate."""
