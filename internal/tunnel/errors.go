package tunnel

import "fmt"

// NoPeerError means that the links of this host are down and that no peer can connect to an
// upstream in its place. It says nothing about the upstream.
type NoPeerError struct{ Address string }

func (e *NoPeerError) Error() string {
	return "tunnel: links are down, and no peer connects to " + e.Address
}

// RefusedError is the response of a peer that does not open a tunnel.
type RefusedError struct {
	Peer    string
	Address string
	// Status is the HTTP status of the response.
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("tunnel: peer %s does not connect to %s: status %d", e.Peer, e.Address, e.Status)
}
