// Package relay sends requests with their bodies from one daemon to another over
// HTTP: to the handler of an upstream, or to the instance that a posting id names.
package relay
