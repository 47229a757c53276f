package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"balsambarrow/internal/standin"
)

const (
	// calmHosts and calmUpstreams are the numbers of entry hosts and upstreams, which are
	// assigned to the zones of standin.Zones in turn.
	calmHosts     = 4
	calmUpstreams = 6
	// calmServiceTime is the time that an upstream takes for a request.
	calmServiceTime = 15 * time.Millisecond
	// calmGracePeriod is the maximum duration of a planned stop, and calmStartTimeout the
	// maximum time until all hosts serve.
	calmGracePeriod  = 3 * time.Second
	calmStartTimeout = 20 * time.Second
	calmKey          = "calm"
	// calmMaxFailedFraction is the fraction of requests that may be rejected or fail.
	calmMaxFailedFraction = 0.01
)

// calmRun runs entry hosts as processes against stand-ins of the users' platform, without
// faults.
type calmRun struct {
	daemon          string
	dir             string
	store           *standin.KVStore
	storeAddress    string
	upstreams       []*standin.PlatformUpstream
	registrations   []func(sequence int)
	processes       []*exec.Cmd
	callerAddresses []string

	mu             sync.Mutex
	statusCounts   map[string]int
	wrongResponses int
}

var errCalmFailed = errors.New("balsamlab: calm: a check failed; see the report")

func calmCommand() *cobra.Command {
	calm := &calmRun{store: standin.NewKVStore(), statusCounts: map[string]int{}}
	var duration time.Duration
	var perSecond int
	cmd := &cobra.Command{
		Use:   "calm",
		Short: "Run entry hosts as processes against stand-ins of the users' platform, without faults",
		Long: "Starts a store, upstreams and entry hosts on loopback, the hosts as separate processes.\n" +
			"Sends reads and postings, stops the hosts, and reports what callers and upstreams saw.\n" +
			"Exits non-zero if a response was wrong, a posting ran twice, a key reached an upstream,\n" +
			"more than one request in a hundred failed, or a host did not stop cleanly.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if calm.dir, err = os.MkdirTemp("", "calm"); err != nil {
				return errors.Wrap(err, "calm")
			}
			defer func() { _ = os.RemoveAll(calm.dir) }()
			return calm.run(cmd.Context(), duration, perSecond)
		},
	}
	cmd.Flags().StringVar(&calm.daemon, "daemon", ".bin/balsambarrowd", "path of the daemon's executable")
	cmd.Flags().DurationVar(&duration, "duration", 5*time.Second, "how long to send requests")
	cmd.Flags().IntVar(&perSecond, "rate", 100, "requests per second")
	return cmd
}

func (c *calmRun) run(ctx context.Context, duration time.Duration, perSecond int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.killHosts()
	if err := c.startAll(); err != nil {
		return err
	}
	go c.runHeartbeats(ctx)
	if err := c.awaitReady(); err != nil {
		return err
	}
	c.send(duration, perSecond)
	clean := c.stopHosts()
	return c.printReport(clean)
}

// startAll starts the store, the upstreams and the hosts.
func (c *calmRun) startAll() error {
	var err error
	if c.storeAddress, err = serve("127.0.0.1:0", c.store); err != nil {
		return err
	}
	c.store.Put("op/config", standin.PlatformConfig{Version: 1, Keys: []string{calmKey}}.Encode())
	zones := []string{"a1", "a2", "b1"}
	for i := range calmUpstreams {
		w := &standin.PlatformUpstream{ID: fmt.Sprint("i-", i), ServiceTime: calmServiceTime}
		address, err := serve("127.0.0.1:0", w)
		if err != nil {
			return err
		}
		zone := zones[i%len(zones)]
		c.upstreams = append(c.upstreams, w)
		c.registrations = append(c.registrations, func(sequence int) {
			c.store.Put("servers/"+w.ID, w.RegistryEntry(standin.Service, address, zone, "ready", sequence))
		})
	}
	c.writeRegistrations(1)
	for i := range calmHosts {
		if err := c.startHost(fmt.Sprint("host-", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (c *calmRun) writeRegistrations(sequence int) {
	for _, register := range c.registrations {
		register(sequence)
	}
}

func (c *calmRun) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.writeRegistrations(sequence)
		}
	}
}

// startedLine matches the log line with a host's address for callers.
var startedLine = regexp.MustCompile(`msg=started .*callers=(\S+)`)

// startHost starts one host and waits until it listens.
func (c *calmRun) startHost(name, zone string) error {
	file := filepath.Join(c.dir, name+".jsonc")
	settings := standin.EntryHostSettings{
		Name: name, Zone: zone, CallerAddress: "127.0.0.1:0", DirectoryAddress: "127.0.0.1:0", StoreAddress: c.storeAddress, GracePeriod: calmGracePeriod, RevocationDelay: 5 * time.Second,
	}.Encode()
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	cmd := exec.Command(c.daemon, "entry", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, name)
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	c.processes = append(c.processes, cmd)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		match := startedLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		c.callerAddresses = append(c.callerAddresses, match[1])
		// The rest of the log is discarded, so that the process never blocks on a full pipe.
		go func() { _, _ = io.Copy(io.Discard, out) }()
		return nil
	}
	return errors.Errorf("%s exited before it listened", name)
}

func (c *calmRun) awaitReady() error {
	end := time.Now().Add(calmStartTimeout)
	for _, host := range c.callerAddresses {
		for c.sendRequest(host, "ready-"+host, false) != http.StatusOK {
			if time.Now().After(end) {
				return errors.Errorf("%s did not start to serve", host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// send sends requests at a fixed rate, whether or not earlier ones have completed.
func (c *calmRun) send(duration time.Duration, perSecond int) {
	rng := rand.New(rand.NewPCG(1, 1))
	var inFlight sync.WaitGroup
	n := int(duration.Seconds() * float64(perSecond))
	for i := range n {
		host := c.callerAddresses[rng.IntN(len(c.callerAddresses))]
		inFlight.Go(func() {
			status := c.sendRequest(host, fmt.Sprint("c-", i), i%4 == 0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.statusCounts[fmt.Sprint(status)]++
		})
		time.Sleep(duration / time.Duration(n))
	}
	inFlight.Wait()
}

// sendRequest sends one request and returns the status of the response, or 0 if there was
// none.
func (c *calmRun) sendRequest(host, id string, post bool) int {
	method, path := http.MethodGet, standin.ReadPath
	if post {
		method, path = http.MethodPost, standin.PostPath
	}
	target := url.URL{Scheme: "http", Host: host, Path: path + id}
	r, err := http.NewRequest(method, target.String(), strings.NewReader(""))
	if err != nil {
		return 0
	}
	r.Host = standin.CallerHost
	r.Header = http.Header{
		"X-Request-Id": {id}, "X-Deadline-Ms": {"2000"}, "Authorization": {"Bearer " + calmKey}, "X-Affinity-Key": {id[len(id)-1:]},
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), " ran "+id) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wrongResponses++
	}
	return resp.StatusCode
}

// stopHosts stops all hosts as planned, with SIGTERM, and reports whether all exited with
// code 0.
func (c *calmRun) stopHosts() bool {
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	clean := true
	for _, p := range c.processes {
		clean = p.Wait() == nil && clean
	}
	c.processes = nil
	return clean
}

// killHosts kills the hosts that still run after a failure.
func (c *calmRun) killHosts() {
	for _, p := range c.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// calmReport is the report of a run.
type calmReport struct {
	// Statuses counts responses by status; "0" counts requests without a response.
	Statuses          map[string]int `json:"statuses"`
	WrongResponses    int            `json:"wrong"`
	DuplicatePostings int            `json:"doubled"`
	KeysSeen          int            `json:"keys_seen"`
	CleanStops        bool           `json:"clean_stops"`
	StoreCalls        map[string]int `json:"store_calls"`
}

func (c *calmRun) printReport(clean bool) error {
	r := calmReport{Statuses: c.statusCounts, WrongResponses: c.wrongResponses, CleanStops: clean, StoreCalls: c.store.Calls()}
	runs := map[string]int{}
	for _, w := range c.upstreams {
		for _, run := range w.Runs() {
			if run.Key != "" {
				r.KeysSeen++
			}
			if runs[run.ID]++; run.Method == http.MethodPost && runs[run.ID] == 2 {
				r.DuplicatePostings++
			}
		}
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	fmt.Println(string(text))
	total := 0
	for _, n := range c.statusCounts {
		total += n
	}
	tooManyFailed := float64(total-c.statusCounts["200"]) > calmMaxFailedFraction*float64(total)
	if r.WrongResponses+r.DuplicatePostings+r.KeysSeen > 0 || tooManyFailed || !clean {
		return errCalmFailed
	}
	return nil
}
