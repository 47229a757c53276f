package freshness_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"balsambarrow/internal/freshness"
)

var now = time.Unix(1<<30, 0)

func TestAge(t *testing.T) {
	for name, c := range map[string]struct {
		confirmedAt time.Time
		want        uint64
	}{
		"never confirmed": {time.Time{}, 0},
		"just confirmed":  {now, 1},
		"rounded up":      {now.Add(-1500 * time.Microsecond), 2},
		"oldest":          {now.Add(-freshness.MaxAge + time.Nanosecond), uint64(freshness.MaxAge / time.Millisecond)},
		"too old":         {now.Add(-2 * freshness.MaxAge), uint64(freshness.MaxAge / time.Millisecond)},
		"in the future":   {now.Add(time.Second), 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(freshness.Age(now, c.confirmedAt, time.Millisecond)).To(Equal(c.want))
		})
	}
}

// Guards against an age that confirms a state as of a time after the request, whatever a peer states.
func TestStatedAgeConfirmsNothingAfterTheRequest(t *testing.T) {
	ages := []uint64{0, 1, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64, math.MaxInt64/1000 + 1, math.MaxInt64/1_000_000 + 1}
	for _, unit := range []time.Duration{time.Microsecond, time.Millisecond} {
		for _, age := range append(ages, uint64(freshness.MaxAge/unit), uint64(freshness.MaxAge/unit)+1) {
			t.Run(fmt.Sprint(unit, " ", age), func(t *testing.T) {
				g := NewWithT(t)
				at, err := freshness.ConfirmedAt(now, age, unit)
				if err == nil {
					g.Expect(at).To(BeTemporally("<", now))
					g.Expect(at).To(BeTemporally(">=", now.Add(-freshness.MaxAge)))
					return
				}
				var invalid *freshness.InvalidAgeError
				g.Expect(errors.Is(err, freshness.ErrNotConfirmed)).To(Equal(age == 0))
				g.Expect(errors.As(err, &invalid)).To(Equal(age != 0))
				g.Expect(at).To(BeZero())
			})
		}
	}
}

// Guards against a confirmation that gets a later time on its way from host to host.
func TestConfirmationIsNeverPassedOnWithALaterTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := now
		confirmedAt, err := now, error(nil)
		for range rapid.IntRange(1, 8).Draw(t, "hosts") {
			sentAt := at.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait")))
			answeredAt := sentAt.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "delay")))
			confirmedAt, err = freshness.ConfirmedAt(sentAt, freshness.Age(answeredAt, confirmedAt, time.Microsecond), time.Microsecond)
			if err != nil || confirmedAt.After(now) {
				t.Fatalf("confirmed as of %v, want at most %v: %v", confirmedAt, now, err)
			}
			at = answeredAt
		}
	})
}
