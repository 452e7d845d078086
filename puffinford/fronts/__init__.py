"""The fronts: each has a client side, a server side and a codec. Any client side works with any
server side, for they meet only in the exchange."""
