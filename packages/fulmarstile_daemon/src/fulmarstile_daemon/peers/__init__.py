"""Links to the other daemons, over pynng."""

from fulmarstile_daemon.peers.links import PeerLinks, open_peer_links

__all__ = ["PeerLinks", "open_peer_links"]
