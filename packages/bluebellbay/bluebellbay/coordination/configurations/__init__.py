"""Changes, validation and replication of the operators' configuration."""
