"""Start-up without discovery, compared with another source tree, and the cost of the store."""
