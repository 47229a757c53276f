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
	// calmHosts and calmUpstreams stand in the zones of standin.Zones, in turn.
	calmHosts     = 4
	calmUpstreams = 6
	// calmWork is how long an upstream takes.
	calmServiceTime = 15 * time.Millisecond
	// calmGrace bounds a planned stop, and calmStart the wait for all hosts.
	calmGracePeriod  = 3 * time.Second
	calmStartTimeout = 20 * time.Second
	calmKey          = "calm"
	// calmRefused is the part of the requests that may be refused or fail.
	calmMaxFailedFraction = 0.01
)

// calmDay is entry hosts as processes on a stand-in of the users' platform.
type calmRun struct {
	daemon string
	dir    string
	store  *standin.KVStore
	// address is the store's.
	storeAddress    string
	upstreams       []*standin.PlatformUpstream
	registrations   []func(sequence int)
	processes       []*exec.Cmd
	callerAddresses []string

	mu             sync.Mutex
	statusCounts   map[string]int
	wrongResponses int
}

var errCalmFailed = errors.New("balsamlab: the calm day was not as it should be")

func calmCommand() *cobra.Command {
	calm := &calmRun{store: standin.NewKVStore(), statusCounts: map[string]int{}}
	var duration time.Duration
	var perSecond int
	cmd := &cobra.Command{
		Use:   "calm",
		Short: "Play a calm day: entry hosts as processes on a stand-in of the users' platform",
		Long: "Plays a calm day: starts a store, upstreams and entry hosts, which are processes, on\n" +
			"loopback, sends reads and postings for a while, stops the hosts, and says what callers\n" +
			"and upstreams saw. Exits non-zero if an answer was wrong, a posting ran twice, a key\n" +
			"reached an upstream, over one request in a hundred was refused, or a stop was not clean.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if calm.dir, err = os.MkdirTemp("", "calm"); err != nil {
				return errors.Wrap(err, "calm day")
			}
			defer func() { _ = os.RemoveAll(calm.dir) }()
			return calm.run(cmd.Context(), duration, perSecond)
		},
	}
	cmd.Flags().StringVar(&calm.daemon, "daemon", ".bin/balsambarrowd", "the daemon's program")
	cmd.Flags().DurationVar(&duration, "duration", 5*time.Second, "how long to send")
	cmd.Flags().IntVar(&perSecond, "rate", 100, "requests per second")
	return cmd
}

func (d *calmRun) run(ctx context.Context, duration time.Duration, perSecond int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.killHosts()
	if err := d.startAll(); err != nil {
		return err
	}
	go d.runHeartbeats(ctx)
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.send(duration, perSecond)
	clean := d.stopHosts()
	return d.printReport(clean)
}

// open starts the store, the upstreams and the hosts.
func (d *calmRun) startAll() error {
	var err error
	if d.storeAddress, err = serve("127.0.0.1:0", d.store); err != nil {
		return err
	}
	d.store.Put("op/config", standin.PlatformConfig{Version: 1, Keys: []string{calmKey}}.Encode())
	zones := []string{"a1", "a2", "b1"}
	for i := range calmUpstreams {
		w := &standin.PlatformUpstream{ID: fmt.Sprint("i-", i), ServiceTime: calmServiceTime}
		address, err := serve("127.0.0.1:0", w)
		if err != nil {
			return err
		}
		zone := zones[i%len(zones)]
		d.upstreams = append(d.upstreams, w)
		d.registrations = append(d.registrations, func(sequence int) {
			d.store.Put("servers/"+w.ID, w.RegistryEntry(standin.Service, address, zone, "ready", sequence))
		})
	}
	d.writeRegistrations(1)
	for i := range calmHosts {
		if err := d.startHost(fmt.Sprint("host-", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (d *calmRun) writeRegistrations(sequence int) {
	for _, register := range d.registrations {
		register(sequence)
	}
}

func (d *calmRun) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.writeRegistrations(sequence)
		}
	}
}

// listening finds the callers' address in a host's log.
var startedLine = regexp.MustCompile(`msg=started .*callers=(\S+)`)

// start starts one host and waits until it listens.
func (d *calmRun) startHost(name, zone string) error {
	file := filepath.Join(d.dir, name+".jsonc")
	settings := standin.EntryHostSettings{
		Name: name, Zone: zone, CallerAddress: "127.0.0.1:0", DirectoryAddress: "127.0.0.1:0", StoreAddress: d.storeAddress, GracePeriod: calmGracePeriod, RevocationDelay: 5 * time.Second,
	}.Encode()
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	cmd := exec.Command(d.daemon, "entry", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, name)
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	d.processes = append(d.processes, cmd)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		match := startedLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		d.callerAddresses = append(d.callerAddresses, match[1])
		// The rest of the log is of no use, but somebody has to read it.
		go func() { _, _ = io.Copy(io.Discard, out) }()
		return nil
	}
	return errors.Errorf("%s ended before it listened", name)
}

func (d *calmRun) awaitReady() error {
	end := time.Now().Add(calmStartTimeout)
	for _, host := range d.callerAddresses {
		for d.sendRequest(host, "ready-"+host, false) != http.StatusOK {
			if time.Now().After(end) {
				return errors.Errorf("%s does not serve", host)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// send sends requests at their times, whether or not earlier ones were answered.
func (d *calmRun) send(duration time.Duration, perSecond int) {
	rng := rand.New(rand.NewPCG(1, 1))
	var inFlight sync.WaitGroup
	n := int(duration.Seconds() * float64(perSecond))
	for i := range n {
		host := d.callerAddresses[rng.IntN(len(d.callerAddresses))]
		inFlight.Go(func() {
			status := d.sendRequest(host, fmt.Sprint("c-", i), i%4 == 0)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.statusCounts[fmt.Sprint(status)]++
		})
		time.Sleep(duration / time.Duration(n))
	}
	inFlight.Wait()
}

// ask sends one request and returns the status of its answer, 0: there was none.
func (d *calmRun) sendRequest(host, id string, post bool) int {
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
		d.mu.Lock()
		defer d.mu.Unlock()
		d.wrongResponses++
	}
	return resp.StatusCode
}

// stop ends all hosts by a planned stop and tells whether all ended well.
func (d *calmRun) stopHosts() bool {
	for _, p := range d.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	clean := true
	for _, p := range d.processes {
		clean = p.Wait() == nil && clean
	}
	d.processes = nil
	return clean
}

// kill ends what is left after a failure.
func (d *calmRun) killHosts() {
	for _, p := range d.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// calmReport is what a calm day came to.
type calmReport struct {
	// Statuses counts answers; "0" stands for none.
	Statuses          map[string]int `json:"statuses"`
	WrongResponses    int            `json:"wrong"`
	DuplicatePostings int            `json:"doubled"`
	KeysSeen          int            `json:"keys_seen"`
	CleanStops        bool           `json:"clean_stops"`
	StoreCalls        map[string]int `json:"store_calls"`
}

func (d *calmRun) printReport(clean bool) error {
	r := calmReport{Statuses: d.statusCounts, WrongResponses: d.wrongResponses, CleanStops: clean, StoreCalls: d.store.Calls()}
	runs := map[string]int{}
	for _, w := range d.upstreams {
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
		return errors.Wrap(err, "report")
	}
	fmt.Println(string(text))
	total := 0
	for _, n := range d.statusCounts {
		total += n
	}
	tooManyFailed := float64(total-d.statusCounts["200"]) > calmMaxFailedFraction*float64(total)
	if r.WrongResponses+r.DuplicatePostings+r.KeysSeen > 0 || tooManyFailed || !clean {
		return errCalmFailed
	}
	return nil
}
