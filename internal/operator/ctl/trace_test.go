package ctl_test

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/operator/ctl"
)

const traceFile = `{"Name":"handler","SpanContext":{"TraceID":"t1","SpanID":"b"},"Parent":{"SpanID":"a"},"StartTime":"2026-12-02T10:00:00.002Z","EndTime":"2026-12-02T10:00:00.009Z","Attributes":[{"Key":"service","Value":{"Type":"STRING","Value":"lookup"}}]}
{"Name":"entry","SpanContext":{"TraceID":"t1","SpanID":"a"},"Parent":{"SpanID":"caller"},"StartTime":"2026-12-02T10:00:00Z","EndTime":"2026-12-02T10:00:00.010Z"}
{"Name":"entry","SpanContext":{"TraceID":"t2","SpanID":"c"},"StartTime":"2026-12-02T10:00:00Z","EndTime":"2026-12-02T10:00:01Z"}
`

func TestTracePrintsSpansOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	file := t.TempDir() + "/spans"
	g.Expect(os.WriteFile(file, []byte(traceFile), 0o600)).To(Succeed())
	var out, errOut bytes.Buffer
	g.Expect(ctl.Run([]string{"trace", "t1", file}, &out, &errOut)).To(Equal(ctl.ExitOK), errOut.String())
	g.Expect(out.String()).To(Equal("entry  +0s  10ms    " + file + "\n  handler  +2ms  7ms  service=lookup  " + file + "\n"))

	g.Expect(ctl.Run([]string{"trace", "t3", file}, &out, &errOut)).To(Equal(ctl.ExitRefused))
	g.Expect(os.WriteFile(file, []byte("{broken"), 0o600)).To(Succeed())
	g.Expect(ctl.Run([]string{"trace", "t1", file}, &out, &errOut)).To(Equal(ctl.ExitRefused))
}
