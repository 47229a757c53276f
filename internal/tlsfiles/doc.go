// Package tlsfiles authenticates daemons to each other by TLS. Certificate,
// key and authority come from files, and are read again when these change.
//
// Whoever holds a certificate of the authority is a daemon of the fleet: the
// name in it is not compared, since hosts come and go and are known by IP
// number. The authority must therefore sign nothing else.
package tlsfiles
