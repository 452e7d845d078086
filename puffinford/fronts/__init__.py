"""Protocol front ends. Each has a client side, a server side and a codec.

Any client side works with any server side, because they are connected only by the exchange.
"""
