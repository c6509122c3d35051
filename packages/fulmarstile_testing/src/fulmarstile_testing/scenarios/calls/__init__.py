"""Path of calls in virtual time: callers, daemons as proxies, and guards of upstreams."""
