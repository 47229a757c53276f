// Package peer contains the messages that daemons exchange over drpc, their
// generated code, and the client and server connections. It only transports
// messages: the packages that send and receive them define their meaning.
package peer
