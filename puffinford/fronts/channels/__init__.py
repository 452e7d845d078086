"""Front for SSH connection-protocol channels without cryptography (docs/channels.md)."""
