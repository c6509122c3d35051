"""Stand-ins, scenario language, test-data builders and benches."""
