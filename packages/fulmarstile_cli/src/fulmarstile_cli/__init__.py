"""The fulmarstile operators' command."""
