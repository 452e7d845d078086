"""The list relay: it watches the server list upstream once, and serves the same protocol downstream."""
