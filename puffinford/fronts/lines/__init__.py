"""Front for the platform's line protocol: one TCP connection per request."""
