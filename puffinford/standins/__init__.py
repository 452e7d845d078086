"""Seeded, scripted stand-ins on loopback for what surrounds a balancer: discovery, servers and clients."""
