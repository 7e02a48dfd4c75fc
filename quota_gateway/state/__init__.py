"""State of requests, attempts, endpoints and limiters, without any policy."""
