"""Fleet membership, and shares of the backend servers' connections."""
