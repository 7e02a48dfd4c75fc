"""Records of requests, attempts, endpoints and limiters, and their bookkeeping; no decisions."""
