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

// Plan says what is played.
type Plan struct {
	// Bench is the program that plays a day: BENCH run SITE DAY --seed N --report FILE.
	Bench string
	// Versions are the checkouts that are played on the same days and seeds. The others
	// are compared with the first.
	Versions    []string
	Deployments []Deployment
	Seeds       []int
	// Jobs is the number of plays at once.
	Jobs int
	// ChargeCPU says that processor time is charged; plays then differ a little each time.
	ChargeCPU bool
	// Note is noted with each play.
	Note string
	// OnRun is told of each play. Default nil.
	OnRun func(version string, p BenchRun)
}

// Deployment is a deployment and the days of it that are played.
type Deployment struct {
	File string
	Days []string
}

// Name is the file's, without directories and extension.
func (s Deployment) Name() string {
	return strings.TrimSuffix(filepath.Base(s.File), filepath.Ext(s.File))
}

// ParseDeployment reads FILE:DAY,DAY. The error is a *DeploymentError.
func ParseDeployment(text string) (Deployment, error) {
	file, days, ok := strings.Cut(text, ":")
	s := Deployment{File: file, Days: strings.Split(days, ",")}
	if !ok || file == "" || slices.Contains(s.Days, "") {
		return Deployment{}, errors.WithStack(&DeploymentError{text})
	}
	return s, nil
}

// DeploymentError says that an argument does not name a deployment and days.
type DeploymentError struct{ Text string }

func (e *DeploymentError) Error() string { return fmt.Sprintf("%q is not FILE:DAY,DAY", e.Text) }

// ReportError says that a play left no report that can be read.
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

// task is one play to be made.
type task struct {
	version string
	file    string
	run     BenchRun
}

// Run makes all plays, and returns them by version. What belongs together is played one
// after the other.
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
	for _, s := range p.Deployments {
		for _, seed := range p.Seeds {
			for _, day := range s.Days {
				run := BenchRun{Deployment: s.Name(), Day: day, Seed: seed}
				for _, version := range p.Versions {
					out = append(out, task{version, s.File, run})
				}
			}
		}
	}
	return out
}

// report is the part of a play's report that is read.
type benchReport struct {
	Worth  *float64       `json:"G"`
	Fault  any            `json:"fault"`
	Broken map[string]any `json:"breaks"`
}

// play makes one play. The error is a *ReportError.
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
		err = t.run.read(data)
	}
	if err != nil {
		if runErr != nil {
			err = runErr
		}
		return t.run, errors.WithStack(&ReportError{t.run, string(output), err})
	}
	return t.run, nil
}

// errNoWorth says that a report has no figure.
var errNoScore = errors.New("report without a figure")

func (p *BenchRun) read(data []byte) error {
	var r benchReport
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.WithStack(err)
	}
	if r.Worth == nil {
		return errors.WithStack(errNoScore)
	}
	p.Score = *r.Worth
	if r.Fault != nil {
		p.InvalidReason = fmt.Sprint(r.Fault)
	}
	for rule := range r.Broken {
		p.BrokenRules = append(p.BrokenRules, rule)
	}
	slices.Sort(p.BrokenRules)
	return nil
}
