"""The core: a clock, the values the two sides speak in, and the exchange where they meet. No wire."""
