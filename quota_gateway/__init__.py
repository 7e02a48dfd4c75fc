"""HTTP gateway that enforces customers' quotas for a shared API."""
