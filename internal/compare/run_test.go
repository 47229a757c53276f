package compare_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/compare"
)

// writeBench writes a shell script with the given body and returns its path.
func writeBench(t *testing.T, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bench")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+body), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func newPlan(t *testing.T, body string) compare.Plan {
	t.Helper()
	before, after := filepath.Join(t.TempDir(), "before"), filepath.Join(t.TempDir(), "after")
	for _, dir := range []string{before, after} {
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return compare.Plan{
		Bench: writeBench(t, body), Versions: []string{before, after}, Jobs: 2, Seeds: []int{1, 2, 3},
		Deployments: []compare.Deployment{{File: "x/one.toml", Days: []string{"calm"}}},
	}
}

// The benchmark program of this test reports the seed as the score, and one more in the
// checkout "after".
func TestRunsAllVersionsOnTheSameSeeds(t *testing.T) {
	g := NewWithT(t)
	p := newPlan(t, `extra=0; case "$PWD" in */after) extra=1;; esac
echo "{\"G\": $(($5 + extra)), \"fault\": null, \"breaks\": {\"LOST\": 2}}" > "$7"
`)
	runs, err := p.Run(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	before, after := runs[p.Versions[0]], runs[p.Versions[1]]
	s := compare.Summarize(before, after)
	g.Expect(s[0]).To(Equal(compare.Summary{Deployment: "one", Day: "calm", Pairs: 3, Before: 2, After: 3, Difference: 1, Improved: 3}))
	g.Expect(after[0].BrokenRules).To(Equal([]string{"LOST"}))
}

// Guards against a failed run that is counted as a run with score 0.
func TestRunWithoutReportFails(t *testing.T) {
	for name, body := range map[string]string{
		"the program fails": "echo no such day; exit 2\n", "no score": `echo '{}' > "$7"` + "\n", "no JSON": `echo text > "$7"` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := newPlan(t, body).Run(context.Background())
			var reportErr *compare.ReportError
			g.Expect(errors.As(err, &reportErr)).To(BeTrue())
			g.Expect(reportErr.Run.Day).To(Equal("calm"))
		})
	}
}

func TestParseDeploymentRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "file.toml", "file.toml:", ":day", "file.toml:day,"} {
		_, err := compare.ParseDeployment(text)
		var deploymentErr *compare.DeploymentError
		NewWithT(t).Expect(errors.As(err, &deploymentErr)).To(BeTrue(), text)
	}
}
