package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

var errUnexpectedStatus = errors.New("balsamlab: response status is not 200")

// overhead compares calls through a daemon with direct calls to an upstream.
type overhead struct {
	entry, upstream    string
	service, key       string
	stage              string
	pairCount, clients int
	throughputDuration time.Duration
	client             *http.Client
}

func overheadCommand() *cobra.Command {
	o := &overhead{}
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare calls through a daemon with direct calls to an upstream",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.clients}}
			return o.run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.entry, "entry", "", "address for callers of a daemon")
	f.StringVar(&o.upstream, "upstream", "", "address of an upstream")
	f.StringVar(&o.service, "service", "lookup", "service to call")
	f.StringVar(&o.stage, "stage", "pairs", "what to measure: pairs, requests or lookups")
	f.StringVar(&o.key, "key", "", "a customer's key")
	f.IntVar(&o.pairCount, "pairs", 3000, "number of pairs of calls")
	f.IntVar(&o.clients, "clients", 16, "concurrent callers for the throughput")
	f.DurationVar(&o.throughputDuration, "duration", 5*time.Second, "how long to measure the throughput")
	return cmd
}

var errInvalidStage = errors.New("balsamlab: --stage: want pairs, requests or lookups")

func (o *overhead) run(ctx context.Context) error {
	switch o.stage {
	case "pairs":
		return o.measurePairs(ctx)
	case "requests":
		return o.measureThroughput(ctx, o.entryURL())
	case "lookups":
		return o.measureThroughput(ctx, "http://"+o.entry+"/v1/entries")
	}
	return errInvalidStage
}

func (o *overhead) directURL() string { return "http://" + o.upstream + "/animal/7" }
func (o *overhead) entryURL() string  { return "http://" + o.entry + "/svc/" + o.service + "/animal/7" }

// measurePairs alternates direct calls and calls through the daemon, so that both are
// measured under the same load of the machine.
func (o *overhead) measurePairs(ctx context.Context) error {
	direct, through := newLatency(), newLatency()
	for i := range o.pairCount {
		firstURL, secondURL := o.directURL, o.entryURL
		firstLatency, secondLatency := direct, through
		if i%2 == 1 {
			firstURL, secondURL, firstLatency, secondLatency = secondURL, firstURL, secondLatency, firstLatency
		}
		if err := o.measureCall(ctx, firstURL(), firstLatency); err != nil {
			return err
		}
		if err := o.measureCall(ctx, secondURL(), secondLatency); err != nil {
			return err
		}
	}
	printLatency("direct", direct)
	printLatency("through a daemon", through)
	added := func(q float64) int64 { return through.ValueAtQuantile(q) - direct.ValueAtQuantile(q) }
	_, err := fmt.Fprintf(os.Stdout, "added              p50 %d us, p99 %d us\n", added(50), added(99))
	return err
}

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func printLatency(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-18s p50 %d us, p99 %d us, %d calls\n", name, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.TotalCount())
}

func (o *overhead) measureCall(ctx context.Context, url string, h *hdrhistogram.Histogram) error {
	start := time.Now()
	if err := o.call(ctx, url); err != nil {
		return err
	}
	return h.RecordValue(time.Since(start).Microseconds())
}

func (o *overhead) call(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := o.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errUnexpectedStatus, "status %d", resp.StatusCode)
	}
	return nil
}

// measureThroughput runs a closed loop of calls for throughputDuration: each client sends
// its next call when the previous one has completed.
func (o *overhead) measureThroughput(ctx context.Context, url string) error {
	var tasks sync.WaitGroup
	var ran, failed atomic.Int64
	end := time.Now().Add(o.throughputDuration)
	for range o.clients {
		tasks.Go(func() {
			for time.Now().Before(end) {
				if o.call(ctx, url) != nil {
					failed.Add(1)
					continue
				}
				ran.Add(1)
			}
		})
	}
	tasks.Wait()
	_, err := fmt.Printf("%-18s %.0f per second, %d answered, %d not\n", o.stage,
		float64(ran.Load())/o.throughputDuration.Seconds(), ran.Load(), failed.Load())
	return err
}

func metricCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "metric NAME",
		Short: "Print one metric of a daemon",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			value, err := readMetric(cmd.Context(), address, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Println(value)
			return err
		},
	}
	cmd.Flags().StringVar(&address, "operators", "", "address for operators of a daemon")
	return cmd
}

var errNoMetric = errors.New("balsamlab: no such metric")

func readMetric(ctx context.Context, address, name string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return "", errors.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "read metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value, nil
		}
	}
	return "", errors.Wrap(errNoMetric, name)
}
