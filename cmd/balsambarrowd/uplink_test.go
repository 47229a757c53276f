package main

import (
	"context"
	"os"
	"testing"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/standin"
)

// uplinkVariable is the environment variable with the path of a file that names the fault of the
// network between this host and the upstreams. With it, the test binary is the daemon.
const uplinkVariable = "BALSAMBARROW_TEST_UPLINK"

func TestMain(m *testing.M) {
	path := os.Getenv(uplinkVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	uplink := &standin.Uplink{}
	go uplink.Follow(context.Background(), path)
	beforeStart = func(d *entryhost.Daemon) { d.DialUpstream = uplink.Dialer(d.DialUpstream) }
	if os.Getenv(hangVariable) != "" {
		beforeStart = hang
	}
	main()
}
