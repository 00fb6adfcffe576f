"""What a node knows: holdings, servers, fleet and configuration."""
