"""Stand-ins for model engines and plain services, for the demo, the tests and the bench."""

__all__: list[str] = []
