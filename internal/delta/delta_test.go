package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsambarrow/internal/delta"
)

const maxBytes = 1 << 20

// declaration returns a value like a configuration: many rows that differ in names.
func declaration(version, routes int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":"r%d","rows":[`, version)
	for i := range routes {
		fmt.Fprintf(&b, `["route-%08x","host%d.example","/p%x/","safe","2000ms",null],`, uint32(i)*2654435761, i%9, uint32(i)*40503)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// Guards against a change of one row of a large value whose patch is as large as the value.
func TestPatchOfSmallChangeIsSmall(t *testing.T) {
	g := NewWithT(t)
	base, next := declaration(7, 3000), declaration(8, 3001)
	p, err := delta.New(base, next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(p.Data)).To(BeNumerically("<", len(next)/100))
	g.Expect(p.Apply(base, maxBytes)).To(Equal(next))
}

func TestInvalidPatchesAreRejected(t *testing.T) {
	base, next := declaration(7, 100), declaration(8, 120)
	valid, err := delta.New(base, next)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	corrupt := func(change func(*delta.Patch)) delta.Patch {
		p := delta.Patch{Base: valid.Base, Result: valid.Result, Data: bytes.Clone(valid.Data)}
		change(&p)
		return p
	}
	for _, c := range []struct {
		name  string
		base  []byte
		patch delta.Patch
		want  error
	}{
		{"another base", declaration(6, 100), valid, delta.ErrBaseMismatch},
		{"no base", nil, valid, delta.ErrBaseMismatch},
		{"changed byte of the data", base, corrupt(func(p *delta.Patch) { p.Data[len(p.Data)/2] ^= 0x55 }), delta.ErrCorrupt},
		{"truncated data", base, corrupt(func(p *delta.Patch) { p.Data = p.Data[:len(p.Data)/2] }), delta.ErrCorrupt},
		{"no data", base, corrupt(func(p *delta.Patch) { p.Data = nil }), delta.ErrCorrupt},
		{"another result", base, corrupt(func(p *delta.Patch) { p.Result ^= 2 }), delta.ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := c.patch.Apply(c.base, maxBytes)
			g.Expect(err).To(MatchError(c.want))
		})
	}
}

// Guards against a patch that decompresses to more memory than a value may use.
func TestPatchResultSizeIsLimited(t *testing.T) {
	g := NewWithT(t)
	p, err := delta.New(nil, make([]byte, 8<<20))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Apply(nil, maxBytes)
	g.Expect(err).To(MatchError(delta.ErrCorrupt))
}

func TestPatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(r, "base")
		next := rapid.SliceOfN(rapid.Byte(), 0, 4000).Draw(r, "next")
		if rapid.Bool().Draw(r, "alike") {
			next = append(bytes.Clone(base), next...)
		}
		p, err := delta.New(base, next)
		if err != nil {
			r.Fatal(err)
		}
		got, err := p.Apply(base, maxBytes)
		if err != nil || !bytes.Equal(got, next) {
			r.Fatalf("%v: %d bytes, want %d", err, len(got), len(next))
		}
	})
}

func BenchmarkPatch(b *testing.B) {
	base, next := declaration(7, 3000), declaration(8, 3001)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := delta.New(base, next); err != nil {
			b.Fatal(err)
		}
	}
}
func BenchmarkApply(b *testing.B) {
	base, next := declaration(7, 3000), declaration(8, 3001)
	p, _ := delta.New(base, next)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Apply(base, maxBytes); err != nil {
			b.Fatal(err)
		}
	}
}
