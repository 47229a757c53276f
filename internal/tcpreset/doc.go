// Package tcpreset selects how TCP connections end, and detects how a peer has ended them. A connection that ends with a reset
// discards the bytes that the peer has not received, also if the process is killed. With the
// usual orderly close, a network partition may deliver them after it has healed. A stream that its peer has ended is whole;
// one that ends because the connection has failed is not.
package tcpreset
