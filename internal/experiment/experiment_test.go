package experiment

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCSVRoundTrip checks that any set survives a round trip through CSV. Its values have few enough digits
// to be written exactly.
func TestCSVRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		for range rapid.IntRange(1, 20).Draw(t, "values") {
			s.Add(rapid.SampledFrom([]string{"a", "b, c", `d "e"`}).Draw(t, "variant"), rapid.Uint64().Draw(t, "seed"),
				rapid.SampledFrom([]string{"p99, ms", "evictions"}).Draw(t, "metric"), float64(rapid.IntRange(-999, 999).Draw(t, "value"))/8)
		}
		var b bytes.Buffer
		if err := s.WriteCSV(&b); err != nil {
			t.Fatal(err)
		}
		got, err := ReadCSV(&b)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(s, got); d != "" {
			t.Fatal(d)
		}
	})
}

// TestSpread checks the median of an odd and an even number of runs.
func TestSpread(t *testing.T) {
	var s Set
	for i, v := range []float64{5, 1, 9} {
		s.Add("odd", uint64(i), "m", v)
		s.Add("even", uint64(i), "m", v)
	}
	s.Add("even", 3, "m", 7)
	if got, want := s.Spread("odd", "m"), (Spread{1, 5, 9, 3}); got != want {
		t.Errorf("odd: %v, want %v", got, want)
	}
	if got, want := s.Spread("even", "m"), (Spread{1, 6, 9, 4}); got != want {
		t.Errorf("even: %v, want %v", got, want)
	}
}
