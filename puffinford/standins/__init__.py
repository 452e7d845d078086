"""Stand-ins for what is outside: discovery, servers and clients, on loopback, seeded and scripted."""
