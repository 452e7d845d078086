"""The protocol-independent core: request handling, attempts, forwarding and the clock."""
