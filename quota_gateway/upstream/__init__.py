"""The backends' side: attempts, connections and their pool."""
