// Package settings reads the static settings of one daemon: its host and zone, its
// listeners and how it connects to the platform. The configuration that operators
// change at run time is in package config.
package settings
