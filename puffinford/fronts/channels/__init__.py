"""SSH-style multiplexed channels without the cryptography (docs/channels.md)."""
