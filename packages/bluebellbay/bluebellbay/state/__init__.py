"""State of a node: holdings, servers, fleet, routes and configuration."""
