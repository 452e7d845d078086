"""Server list relay: watches the list service once and serves the same protocol to many balancers."""
