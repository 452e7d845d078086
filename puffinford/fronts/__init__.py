"""The fronts: each has a submitter side, a server side and a codec. Any submitter side works with any
server side, for they meet only in the exchange."""
