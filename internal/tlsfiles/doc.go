// Package tlsfiles provides mutual TLS between daemons. The certificate, key and CA
// come from files, which are read again when they change.
//
// Every holder of a certificate signed by the CA counts as a daemon of the fleet. The
// name in the certificate is not checked, because hosts are added and removed and are
// addressed by IP. The CA must therefore sign nothing but daemons' certificates.
package tlsfiles
