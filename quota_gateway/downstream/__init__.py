"""The clients' side: connections, requests and their responses."""
