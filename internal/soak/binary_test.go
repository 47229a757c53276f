package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// binaryDir is the directory of the daemon's binary; "" until it is built.
var binaryDir string

// TestMain removes the daemon's binary after all tests. The process is an upstream instead if upstreamEnv is set.
func TestMain(m *testing.M) {
	if spec := os.Getenv(upstreamEnv); spec != "" {
		serveAsUpstream(spec)
	}
	code := m.Run()
	_ = os.RemoveAll(binaryDir)
	os.Exit(code)
}

// buildDaemon builds the daemon with the hooks of its tests, once.
var buildDaemon = sync.OnceValues(func() (out string, err error) {
	if binaryDir, err = os.MkdirTemp("", "balsambarrowd"); err != nil {
		return "", err
	}
	text, err := exec.Command("go", "test", "-c", "-o", filepath.Join(binaryDir, "balsambarrowd"), "balsambarrow/cmd/balsambarrowd").CombinedOutput()
	return string(text), err
})

// daemonBinary returns the path of the daemon's binary.
func daemonBinary(t *testing.T) string {
	if out, err := buildDaemon(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(binaryDir, "balsambarrowd")
}
