"""Operation of a running balancer: the admin API, cordons, and the handover to a new version."""
