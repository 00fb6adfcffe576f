"""Command-line interface for operators: ``bluebellctl``."""
