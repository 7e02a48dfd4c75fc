"""Joins the decisions to the sockets."""
