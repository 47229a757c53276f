package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/wire"
)

// Load describes an open-loop load: requests are sent at their scheduled times, whether or
// not earlier ones have completed.
type Load struct {
	// EntryAddress is the address for callers of any daemon.
	EntryAddress string
	// Config is the configuration with the customers, their rates and the services.
	Config *config.Config
	// APIKey returns a customer's API key.
	APIKey func(customer string) string
	// RateFraction is the fraction of each customer's rate that is sent.
	RateFraction float64
	// CustomerRateFractions overrides RateFraction for single customers.
	CustomerRateFractions map[string]float64
	// ChooseEntry returns the entry host of each request; since is the time since the start
	// of the load. By default one of entries is chosen at random.
	ChooseEntry func(customer string, entries []lookup.Entry, since time.Duration, rng *rand.Rand) lookup.Entry
	// PostServices are the services that are called with POST.
	PostServices map[string]bool
	// BulkResponseBytes is the response size that is requested from bulk services.
	BulkResponseBytes int
	Duration          time.Duration
	Seed              uint64
}

// Report summarizes the responses that the callers received.
type Report struct {
	mu sync.Mutex
	// Outcomes counts responses by outcome or problem type.
	Outcomes map[string]int
	// WrongResponses counts responses that were incomplete or belonged to another request.
	WrongResponses int
	// RateRejections counts rejections because of a customer's rate. WrongfulRejections
	// counts those that a single token bucket for the full fleet would have admitted.
	RateRejections, WrongfulRejections int
	Sent                               int
	// PerSecond counts requests and wrongful rejections by the second of the load in which
	// they were sent.
	PerSecond        []SecondCounts
	startedAt        time.Time
	perCustomer      map[string]*customerCounts
	latency          *hdrhistogram.Histogram
	referenceBuckets map[string]*quota.Bucket
}

// SecondCounts counts the requests that were sent in one second of a load.
type SecondCounts struct{ Sent, WrongfulRejections int }

type customerCounts struct{ sent, ran int }

const maxLatencyMicros = 60_000_000

// Run sends the load and returns a report of the responses.
func Run(ctx context.Context, l Load) (*Report, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	entries, err := fetchEntries(ctx, client, l.EntryAddress)
	if err != nil {
		return nil, err
	}
	report := newReport(l.Config)
	var tasks sync.WaitGroup
	for i, customer := range slices.Sorted(maps.Keys(l.Config.Customers)) {
		c := &customerLoad{
			Load: l, client: client, entries: entries, customer: customer, report: report,
			rng: rand.New(rand.NewPCG(l.Seed, uint64(i))),
		}
		tasks.Go(func() { c.run(ctx, &tasks) })
	}
	tasks.Wait()
	return report, nil
}

func fetchEntries(ctx context.Context, client *http.Client, address string) ([]lookup.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "standin: fetch entry hosts")
	}
	defer func() { _ = resp.Body.Close() }()
	var response lookup.Response
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return nil, errors.Wrap(err, "standin: decode entry hosts")
	}
	if len(response.Entries) == 0 {
		return nil, errNoEntries
	}
	return response.Entries, nil
}

var errNoEntries = errors.New("standin: no entry host is ready")

func newReport(c *config.Config) *Report {
	r := &Report{
		startedAt: time.Now(),
		Outcomes:  map[string]int{}, perCustomer: map[string]*customerCounts{},
		latency: hdrhistogram.New(1, maxLatencyMicros, 3), referenceBuckets: map[string]*quota.Bucket{},
	}
	for name, cu := range c.Customers {
		r.perCustomer[name] = &customerCounts{}
		r.referenceBuckets[name] = quota.NewBucket(cu.Rate, cu.Burst, cu.Burst, time.Now())
	}
	return r
}

// customerLoad sends the load of one customer.
type customerLoad struct {
	Load
	client   *http.Client
	entries  []lookup.Entry
	customer string
	report   *Report
	rng      *rand.Rand
}

func (c *customerLoad) run(ctx context.Context, tasks *sync.WaitGroup) {
	fraction, overridden := c.CustomerRateFractions[c.customer]
	if !overridden {
		fraction = c.RateFraction
	}
	rate := c.Config.Customers[c.customer].Rate * fraction
	end := time.Now().Add(c.Duration)
	next := time.Now()
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(next))
		planned := c.planRequest(n)
		tasks.Go(func() { c.send(ctx, planned) })
		next = next.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
	}
}

func (c *customerLoad) chooseEntry() lookup.Entry {
	if c.ChooseEntry != nil {
		return c.ChooseEntry(c.customer, c.entries, time.Since(c.report.startedAt), c.rng)
	}
	return c.entries[c.rng.IntN(len(c.entries))]
}

// plannedRequest is one request of a load; sentSecond counts from the start of the load.
type plannedRequest struct {
	sentSecond int
	entry      lookup.Entry
	service    string
	name       string
	size       int
	post       bool
}

func (c *customerLoad) planRequest(n int) plannedRequest {
	services := slices.Sorted(maps.Keys(c.Config.Services))
	service := services[c.rng.IntN(len(services))]
	p := plannedRequest{
		entry: c.chooseEntry(), service: service, sentSecond: int(time.Since(c.report.startedAt) / time.Second),
		name: fmt.Sprintf("%s-%d", c.customer, n), size: 512, post: c.PostServices[service],
	}
	if c.Config.Services[service].Class == config.ClassBulk {
		p.size = c.BulkResponseBytes
	}
	return p
}

func (c *customerLoad) send(ctx context.Context, p plannedRequest) {
	admitted, _ := c.report.takeReferenceToken(c.customer)
	req := c.request(ctx, p)
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.report.recordResult(c.customer, "no-answer", p, time.Since(start), false)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	latency := time.Since(start)
	outcome := wire.Outcome(resp.Header.Get(wire.HeaderOutcome))
	if outcome == wire.OutcomeRan {
		c.report.recordResult(c.customer, string(outcome), p, latency, err != nil || !isCompleteResponse(resp, p, body))
		return
	}
	var problem wire.Problem
	wrong := json.Unmarshal(body, &problem) != nil
	c.report.recordResult(c.customer, problem.Type, p, latency, wrong)
	if problem.Type == wire.TypeOverRate {
		c.report.recordRateRejection(p, admitted)
	}
}

func (c *customerLoad) request(ctx context.Context, p plannedRequest) *http.Request {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if p.post {
		method, body = http.MethodPost, bytes.NewReader([]byte(`{"weight":412}`))
	}
	url := fmt.Sprintf("http://%s/svc/%s/%s?%s=%d", p.entry.Address, p.service, p.name, QuerySize, p.size)
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.APIKey(c.customer))
	if p.post {
		req.Header.Set(HeaderPosting, p.name)
		req.Header.Set(wire.HeaderIdempotencyKey, p.entry.PostingPrefix+"."+p.name)
	}
	return req
}

// isCompleteResponse reports whether body is the complete response to the request.
// Responses other than 200 are not checked.
func isCompleteResponse(resp *http.Response, p plannedRequest, body []byte) bool {
	if resp.StatusCode != http.StatusOK {
		return true
	}
	sum := sha256.Sum256(body)
	declaredSum := resp.Header.Get(HeaderBodySum)
	return len(body) == p.size && (declaredSum == "" || declaredSum == hex.EncodeToString(sum[:])) &&
		bytes.Equal(body, responseBody("/"+p.name, p.size))
}

func (r *Report) takeReferenceToken(customer string) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.referenceBuckets[customer].Take(1, time.Now())
}

func (r *Report) recordRateRejection(p plannedRequest, wrongful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RateRejections++
	if wrongful {
		r.WrongfulRejections++
		r.countsInSecond(p).WrongfulRejections++
	}
}

func (r *Report) recordResult(customer, outcome string, p plannedRequest, latency time.Duration, wrong bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	r.countsInSecond(p).Sent++
	r.Outcomes[outcome]++
	r.perCustomer[customer].sent++
	if wrong {
		r.WrongResponses++
	}
	if outcome == string(wire.OutcomeRan) {
		r.perCustomer[customer].ran++
		_ = r.latency.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
}

func (r *Report) countsInSecond(p plannedRequest) *SecondCounts {
	for len(r.PerSecond) <= p.sentSecond {
		r.PerSecond = append(r.PerSecond, SecondCounts{})
	}
	return &r.PerSecond[p.sentSecond]
}

// Quantile returns a quantile of the latency of requests that ran; q is in percent.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// WorstServed returns the customer with the lowest fraction of requests that ran, and that
// fraction.
func (r *Report) WorstServed() (string, float64) {
	worst, fraction := "", 2.0
	for _, name := range slices.Sorted(maps.Keys(r.perCustomer)) {
		s := r.perCustomer[name]
		if s.sent > 0 && float64(s.ran)/float64(s.sent) < fraction {
			worst, fraction = name, float64(s.ran)/float64(s.sent)
		}
	}
	return worst, fraction
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("requests sent        %d", r.Sent)
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		line("  %-18s %d", outcome, r.Outcomes[outcome])
	}
	line("latency p50, p99     %v, %v", r.Quantile(50), r.Quantile(99))
	name, fraction := r.WorstServed()
	line("worst-served         %s: %.1f%% of its requests ran", name, 100*fraction)
	line("wrongful refusals    %d of %d refusals for rate", r.WrongfulRejections, r.RateRejections)
	line("wrong answers        %d", r.WrongResponses)
}
