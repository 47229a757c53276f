package compare

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// BenchRun is one play of one version.
type BenchRun struct {
	Deployment string
	Day        string
	Seed       int
	// Score is the figure that is compared.
	Score float64
	// BrokenRules are the rules that were broken, and Fault why the play does not count; "".
	BrokenRules   []string
	InvalidReason string
}

// key is what a pair has in common.
type pairKey struct {
	deployment, day string
	seed            int
}

func (p BenchRun) pairKey() pairKey { return pairKey{p.Deployment, p.Day, p.Seed} }

// Verdict on a difference.
type Verdict string

// Verdicts.
const (
	Better       Verdict = "better"
	Worse        Verdict = "worse"
	Inconclusive Verdict = "inside the spread"
	TooFewPairs  Verdict = "too few pairs"
)

const (
	// spreadFactor is the number of standard errors within which a mean difference says
	// nothing.
	significantErrors = 2.0
	// minPairs is the number of pairs from which the standard error is worth something.
	minPairs = 5
)

// Summary is what the pairs of one deployment, or of one of its days, say.
type Summary struct {
	Deployment, Day string
	Pairs           int
	// Before and After are the means of both versions.
	Before, After float64
	// Difference is the mean of the pairs' differences, and Error its standard error.
	Difference, StandardError float64
	// Improved and Down count the pairs in which the later version is better or worse.
	Improved, Regressed int
}

// Verdict says whether the difference is larger than its spread.
func (s Summary) Verdict() Verdict {
	switch {
	case s.Pairs < minPairs:
		return TooFewPairs
	case math.Abs(s.Difference) <= significantErrors*s.StandardError:
		return Inconclusive
	case s.Difference > 0:
		return Better
	}
	return Worse
}

// allDays stands for a day in the summary of a deployment.
const allDays = "all"

// Summarize pairs the plays of two versions, and returns a summary of each day and of each
// deployment. Plays without a partner are left out.
func Summarize(before, after []BenchRun) []Summary {
	beforeRuns := map[pairKey]BenchRun{}
	for _, p := range before {
		beforeRuns[p.pairKey()] = p
	}
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
