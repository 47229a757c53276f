package compare

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// BenchRun is the result of one benchmark run of one version.
type BenchRun struct {
	Deployment string
	Day        string
	Seed       int
	// Score is the value that is compared; higher is better.
	Score float64
	// BrokenRules are the benchmark rules that the run violated.
	BrokenRules []string
	// InvalidReason is the reason why the run does not count; empty if it counts.
	InvalidReason string
}

// pairKey identifies the two runs of a pair.
type pairKey struct {
	deployment, day string
	seed            int
}

func (r BenchRun) pairKey() pairKey { return pairKey{r.Deployment, r.Day, r.Seed} }

func (k pairKey) compare(other pairKey) int {
	return cmp.Or(cmp.Compare(k.deployment, other.deployment), cmp.Compare(k.day, other.day), cmp.Compare(k.seed, other.seed))
}

// Verdict is the conclusion from a difference.
type Verdict string

// Verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "inside the spread"
	TooFewPairs  Verdict = "too few pairs"
)

const (
	// significanceFactor is the number of standard errors that a mean difference must
	// exceed to be conclusive.
	significanceFactor = 2.0
	// minPairs is the minimum number of pairs for a usable standard error.
	minPairs = 5
)

// Summary is the comparison over all pairs of one deployment, or of one of its days.
type Summary struct {
	Deployment, Day string
	Pairs           int
	// Before and After are the mean scores of the two versions.
	Before, After float64
	// Difference is the mean difference of the pairs, and StandardError its standard error.
	Difference, StandardError float64
	// Improved and Regressed count the pairs in which the second version scored higher or
	// lower.
	Improved, Regressed int
}

// Verdict reports whether the difference is significant, and its direction.
func (s Summary) Verdict() Verdict {
	switch {
	case s.Pairs < minPairs:
		return TooFewPairs
	case math.Abs(s.Difference) <= significanceFactor*s.StandardError:
		return Inconclusive
	case s.Difference > 0:
		return Better
	}
	return Worse
}

// allDays is the Day of a summary over all days of a deployment.
const allDays = "all"

// Summarize pairs the runs of two versions, and returns a summary of each day and of each
// deployment. Runs without a counterpart are ignored.
func Summarize(before, after []BenchRun) []Summary {
	beforeRuns := map[pairKey]BenchRun{}
	for _, p := range before {
		beforeRuns[p.pairKey()] = p
	}
	// Runs are in the order in which they ended, and sums of floating-point numbers depend on the order.
	after = slices.Clone(after)
	slices.SortFunc(after, func(a, b BenchRun) int { return a.pairKey().compare(b.pairKey()) })
	groups := map[pairKey][][2]float64{}
	for _, p := range after {
		b, ok := beforeRuns[p.pairKey()]
		if !ok {
			continue
		}
		pair := [2]float64{b.Score, p.Score}
		for _, k := range []pairKey{{deployment: p.Deployment, day: p.Day}, {deployment: p.Deployment, day: allDays}} {
			groups[k] = append(groups[k], pair)
		}
	}
	var out []Summary
	for k, pairs := range groups {
		out = append(out, summarize(k, pairs))
	}
	slices.SortFunc(out, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(boolInt(a.Day == allDays), boolInt(b.Day == allDays)), cmp.Compare(a.Day, b.Day))
	})
	return out
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func summarize(k pairKey, pairs [][2]float64) Summary {
	s := Summary{Deployment: k.deployment, Day: k.day, Pairs: len(pairs)}
	n := float64(len(pairs))
	for _, p := range pairs {
		s.Before += p[0] / n
		s.After += p[1] / n
		switch {
		case p[1] > p[0]:
			s.Improved++
		case p[1] < p[0]:
			s.Regressed++
		}
	}
	s.Difference = s.After - s.Before
	if len(pairs) < 2 {
		return s
	}
	variance := 0.0
	for _, p := range pairs {
		d := p[1] - p[0] - s.Difference
		variance += d * d / (n - 1)
	}
	s.StandardError = math.Sqrt(variance / n)
	return s
}

// Print writes summaries as a table.
func Print(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "deployment\tday\tpairs\tbefore\tafter\tdifference\tstandard error\tup\tdown\tverdict")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%d\t%d\t%s\n",
			s.Deployment, s.Day, s.Pairs, s.Before, s.After, s.Difference, s.StandardError, s.Improved, s.Regressed, s.Verdict())
	}
	return t.Flush()
}
