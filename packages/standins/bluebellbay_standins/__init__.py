"""Small fakes of the outside systems; never shipped in the binaries."""
