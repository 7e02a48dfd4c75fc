"""Connects the policy engine to the sockets and keeps track of the requests in progress."""
