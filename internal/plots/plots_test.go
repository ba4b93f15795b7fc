package plots

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/crocusspring/crocusspring/internal/experiment"
)

// TestChartsShowTheValues draws both kinds of charts and checks that each is a complete PNG, and that the
// coloured area of a bar chart grows with the values.
func TestChartsShowTheValues(t *testing.T) {
	metric := func(q float64) string { return FileName("p") }
	coloredByValues := func(values ...float64) int {
		var s experiment.Set
		for i, v := range values {
			s.Add(string(rune('a'+i)), 1, "p", v)
		}
		path := filepath.Join(t.TempDir(), "x.png")
		if err := Bars(s, "p", path); err != nil {
			t.Fatal(err)
		}
		n := colored(t, path)
		if err := Tail(s, []float64{50, 99}, metric, path); err != nil {
			t.Fatal(err)
		}
		if colored(t, path) == 0 {
			t.Error("tail chart is empty")
		}
		return n
	}
	if low, high := coloredByValues(1, 10), coloredByValues(9, 10); low*3 > high*2 {
		t.Errorf("%d coloured pixels for bars of 1 and 10, %d for 9 and 10", low, high)
	}
}

// colored returns the number of pixels of a PNG that aren't grey.
func colored(t *testing.T, path string) int {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	img, err := png.Decode(f)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for y := range img.Bounds().Dy() {
		for x := range img.Bounds().Dx() {
			if r, g, b, _ := img.At(x, y).RGBA(); r != g || g != b {
				n++
			}
		}
	}
	return n
}

// TestFileName checks that the file name of a metric contains no spaces or special characters.
func TestFileName(t *testing.T) {
	if got, want := FileName("Jain's index of p99.9, ms"), "jains-index-of-p99.9-ms"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
