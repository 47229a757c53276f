package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/standin"
)

// hangVariable is an environment variable with which the test binary is a daemon that hangs while
// it starts.
const hangVariable = "BALSAMBARROW_TEST_HANG"

func hang(*entryhost.Daemon) { select {} }

// startEntry starts the test binary as an entry host, and waits until it listens,
// which it does after it has begun to handle signals.
func startEntry(t *testing.T, stdout *os.File, stderr *bytes.Buffer, env string) (process *os.Process, exited chan error) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	file, uplink := filepath.Join(t.TempDir(), "settings.json"), filepath.Join(t.TempDir(), "uplink")
	text := standin.EntryHostSettings{
		Name: "h1", Zone: "a1", CallerAddress: address, DirectoryAddress: "127.0.0.1:0", StoreAddress: "127.0.0.1:1",
		GracePeriod: 2 * time.Second, RevocationDelay: 5 * time.Second,
	}.Encode()
	g.Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	cmd := exec.Command(os.Args[0], "entry", file)
	cmd.Stdout, cmd.Stderr = stdout, stderr
	cmd.Env = append(os.Environ(), uplinkVariable+"="+uplink, env)
	g.Expect(cmd.Start()).To(Succeed())
	exited = make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, "10s", "5ms").Should(Succeed())
	return cmd.Process, exited
}

// Guards against a process that outlives its grace because it is told to stop while its start
// hangs.
func TestProcessExitsIfItsStartHangs(t *testing.T) {
	g := NewWithT(t)
	stderr := &bytes.Buffer{}
	process, exited := startEntry(t, nil, stderr, hangVariable+"=1")
	g.Expect(process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(exited, "20s").Should(Receive())
	g.Expect(stderr.String()).To(ContainSubstring(`msg="exit before the end of the grace" phase=start`))
}

// Guards against a process that outlives its grace because nobody reads its log.
func TestProcessExitsIfItsOutputIsNotRead(t *testing.T) {
	g := NewWithT(t)
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _, _ = r.Close(), w.Close() }()
	g.Expect(w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	_, err = w.Write(make([]byte, 1<<20))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the pipe is full")
	process, exited := startEntry(t, w, &bytes.Buffer{}, "")
	g.Expect(process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(exited, "20s").Should(Receive())
}

type fakeStop struct{}

func (fakeStop) StopState() (phase string, tasks []string) { return "requests", nil }
func (fakeStop) TimeToExit() time.Duration                 { return 9900 * time.Millisecond }

// Guards against requests that are cut in the middle of the grace because the signal came before the daemon
// was created.
func TestSignalBeforeTheDaemonLeavesTheWholeGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var exited atomic.Bool
		guard := newStopGuard(10 * time.Second)
		guard.out, guard.exit = io.Discard, func(int) { exited.Store(true) }
		guard.signaled()
		time.Sleep(time.Second)
		guard.created(fakeStop{})
		time.Sleep(8800 * time.Millisecond)
		synctest.Wait()
		g.Expect(exited.Load()).To(BeFalse())
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		g.Expect(exited.Load()).To(BeTrue())
	})
}

// Guards against a process that outlives its grace because its daemon is never created.
func TestSignalWithoutADaemonEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var exited atomic.Bool
		guard := newStopGuard(10 * time.Second)
		guard.out, guard.exit = io.Discard, func(int) { exited.Store(true) }
		guard.signaled()
		guard.signaled()
		time.Sleep(5100 * time.Millisecond)
		synctest.Wait()
		NewWithT(t).Expect(exited.Load()).To(BeTrue())
	})
}
