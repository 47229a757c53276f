package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/standin"
)

// daemonProcess is a balsambarrowd that runs as a separate process.
type daemonProcess struct {
	cmd                            *exec.Cmd
	callerAddress, operatorAddress string
	exited                         chan error
}

var listeningLine = regexp.MustCompile(`msg=listening .*callers=(\S+) operators=(\S+)`)

func startProcess(t *testing.T, platformURL string) *daemonProcess {
	g := NewWithT(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "balsambarrowd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	file := filepath.Join(dir, "settings.json")
	text := fmt.Sprintf(`{"host":"vt-1","zone":"vt-a","platform":{"url":%q},"tls":{"plain":true}}`, platformURL)
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())

	p := &daemonProcess{cmd: exec.Command(binary, file), exited: make(chan error, 1)}
	logs, err := p.cmd.StderrPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.cmd.Start()).To(Succeed())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	lines := bufio.NewScanner(logs)
	for p.callerAddress == "" && lines.Scan() {
		if m := listeningLine.FindStringSubmatch(lines.Text()); m != nil {
			p.callerAddress, p.operatorAddress = m[1], m[2]
		}
	}
	go func() {
		_, _ = io.Copy(io.Discard, logs)
		p.exited <- p.cmd.Wait()
	}()
	return p
}

// Guards against a second SIGTERM that interrupts a running request. An operator may send
// SIGTERM again while a drain waits for a slow request. The caller must get the full
// response, and the process must end with exit code 0.
func TestSecondSIGTERMKeepsRunningRequests(t *testing.T) {
	g := NewWithT(t)
	platform := httptest.NewServer(standin.NewKVStore())
	defer platform.Close()
	worker := httptest.NewServer(standin.NewUpstream(standin.UpstreamOptions{Slots: 4, ServiceTime: 16 * time.Second}))
	defer worker.Close()
	p := startProcess(t, platform.URL)
	c := &config.Config{
		Regions:  map[string]config.Region{"vermont": {}},
		Zones:    map[string]config.Zone{"vt-a": {Region: "vermont"}},
		Services: map[string]config.Service{"lookup": {TimeoutMs: 60_000}},
		Customers: map[string]config.Customer{"farm": {Rate: 100, Burst: 100,
			Keys: map[string]config.Key{"k": {SHA256: config.DigestOf("secret").String()}}}},
		Upstreams: map[string]config.Upstream{"w": {Service: "lookup", Zone: "vt-a", Address: strings.TrimPrefix(worker.URL, "http://"), Slots: 4}},
	}
	text, err := json.Marshal(c)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = ctl.NewClient(p.operatorAddress).Patch(0, text)
	g.Expect(err).NotTo(HaveOccurred())

	responseSizes := make(chan int, 1)
	go func() { responseSizes <- requestUntilServed("http://" + p.callerAddress + "/svc/lookup/x?size=5000") }()
	time.Sleep(3 * time.Second) // the upstream runs the request for at least 8 s
	g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	time.Sleep(time.Second)
	g.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	g.Eventually(responseSizes, time.Minute).Should(Receive(Equal(5000)))
	g.Eventually(p.exited, time.Minute).Should(Receive(BeNil()))
}

// requestUntilServed repeats a request until an upstream responds, because the daemon may
// not be ready yet. It returns the size of the response body, or -1 if the request failed
// or the body was truncated.
func requestUntilServed(url string) int {
	for {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return -1
		}
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return -1
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return -1
		}
		if resp.StatusCode == http.StatusOK {
			return len(body)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
