package compare

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Plan describes the benchmark runs of a comparison.
type Plan struct {
	// Bench is the benchmark program: BENCH run FILE DAY --seed N --report FILE.
	Bench string
	// Versions are the checkouts that run on the same days and seeds. The first one is the
	// baseline of the others.
	Versions    []string
	Deployments []Deployment
	Seeds       []int
	// Jobs is the number of concurrent runs.
	Jobs int
	// ChargeCPU makes the benchmark charge processor time, which makes scores vary slightly
	// between runs with the same seed.
	ChargeCPU bool
	// Note is recorded with each run.
	Note string
	// OnRun, if set, is called after each run, by one goroutine at a time.
	OnRun func(version string, r BenchRun)
}

// Deployment is a deployment file and the days to run on it.
type Deployment struct {
	File string
	Days []string
}

// Name returns the file name without directory and extension.
func (d Deployment) Name() string {
	return strings.TrimSuffix(filepath.Base(d.File), filepath.Ext(d.File))
}

// ParseDeployment parses FILE:DAY,DAY. The error is a *DeploymentError.
func ParseDeployment(text string) (Deployment, error) {
	file, days, ok := strings.Cut(text, ":")
	d := Deployment{File: file, Days: strings.Split(days, ",")}
	if !ok || file == "" || slices.Contains(d.Days, "") {
		return Deployment{}, errors.WithStack(&DeploymentError{text})
	}
	return d, nil
}

// DeploymentError reports an argument that does not name a deployment and its days.
type DeploymentError struct{ Text string }

func (e *DeploymentError) Error() string { return fmt.Sprintf("%q is not FILE:DAY,DAY", e.Text) }

// ReportError reports a run that did not write a valid report.
type ReportError struct {
	Run    BenchRun
	Output string
	Cause  error
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("%s %s, seed %d: %v\n%s", e.Run.Deployment, e.Run.Day, e.Run.Seed, e.Cause, e.Output)
}

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Cause }

// task is one run to be done.
type task struct {
	version string
	file    string
	run     BenchRun
}

// Run executes all benchmark runs and returns the results by version. The runs of a pair
// are queued one after the other. The first failed run cancels the rest.
func (p Plan) Run(ctx context.Context) (runs map[string][]BenchRun, err error) {
	runs = map[string][]BenchRun{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan task)
	go func() {
		defer close(queue)
		for _, t := range p.tasks() {
			select {
			case queue <- t:
			case <-ctx.Done():
				return
			}
		}
	}()
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range max(p.Jobs, 1) {
		workers.Go(func() {
			for t := range queue {
				result, runErr := p.runBench(ctx, t)
				mu.Lock()
				switch {
				case runErr == nil:
					runs[t.version] = append(runs[t.version], result)
					if p.OnRun != nil {
						p.OnRun(t.version, result)
					}
				case err == nil:
					err = runErr
					cancel()
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return runs, err
}

func (p Plan) tasks() []task {
	var out []task
	for _, d := range p.Deployments {
		for _, seed := range p.Seeds {
			for _, day := range d.Days {
				run := BenchRun{Deployment: d.Name(), Day: day, Seed: seed}
				for _, version := range p.Versions {
					out = append(out, task{version, d.File, run})
				}
			}
		}
	}
	return out
}

// benchReport is the part of the benchmark's report that is used.
type benchReport struct {
	Score         *float64       `json:"G"`
	InvalidReason any            `json:"fault"`
	BrokenRules   map[string]any `json:"breaks"`
}

// runBench executes one benchmark run. The error is a *ReportError if the report is missing
// or invalid.
func (p Plan) runBench(ctx context.Context, t task) (BenchRun, error) {
	file, err := os.CreateTemp("", "play-*.json")
	if err != nil {
		return t.run, errors.WithStack(err)
	}
	_ = file.Close()
	defer func() { _ = os.Remove(file.Name()) }()
	args := []string{"run", t.file, t.run.Day, "--seed", strconv.Itoa(t.run.Seed), "--report", file.Name(),
		"--why", filepath.Base(t.version) + ": " + p.Note}
	if !p.ChargeCPU {
		args = append(args, "--no-cpu")
	}
	cmd := exec.CommandContext(ctx, p.Bench, args...)
	cmd.Dir = t.version
	output, runErr := cmd.CombinedOutput()
	data, err := os.ReadFile(file.Name())
	if err == nil {
		err = t.run.parseReport(data)
	}
	if err != nil {
		if runErr != nil {
			err = runErr
		}
		return t.run, errors.WithStack(&ReportError{t.run, string(output), err})
	}
	return t.run, nil
}

// errNoScore reports a report without a score.
var errNoScore = errors.New("compare: report has no score")

func (r *BenchRun) parseReport(data []byte) error {
	var report benchReport
	if err := json.Unmarshal(data, &report); err != nil {
		return errors.WithStack(err)
	}
	if report.Score == nil {
		return errors.WithStack(errNoScore)
	}
	r.Score = *report.Score
	if report.InvalidReason != nil {
		r.InvalidReason = fmt.Sprint(report.InvalidReason)
	}
	for rule := range report.BrokenRules {
		r.BrokenRules = append(r.BrokenRules, rule)
	}
	slices.Sort(r.BrokenRules)
	return nil
}
