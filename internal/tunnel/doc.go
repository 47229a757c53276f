// Package tunnel connects an entry host to upstreams through another entry host while its own
// links to all of them are down.
//
// A Dialer finds out whether a failed connection is the trouble of one upstream or of this
// host: it dials a few upstreams of other zones, and lets peers dial those that it does not
// reach. Upstreams that only the peers reach show that the links of this host are down. From
// then on all connections are tunnels, until dials of its own succeed again.
//
// A tunnel is a TCP connection to a peer, which a Server there joins to a connection of its own
// to the upstream. It carries bytes, not requests: the host that received a request makes all
// decisions about it, and package h1 uses a tunnel like any other connection. Package relay, in
// contrast, sends requests to a daemon that decides about them itself.
package tunnel
