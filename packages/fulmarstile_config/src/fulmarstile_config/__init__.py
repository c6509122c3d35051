"""Document model, publications, fold, snapshots and the routing table."""
