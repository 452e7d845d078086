"""The platform's line protocol."""
