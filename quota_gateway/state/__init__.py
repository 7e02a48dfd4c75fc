"""What the decisions keep of requests, attempts, endpoints and limiters: records and their bookkeeping."""
