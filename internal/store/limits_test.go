package store_test

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestCalls checks that records are split into appends in order, each of which a store with these limits takes, unless one
// record is too large by itself, and that such a record keeps no other from being stored.
func TestCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := store.Limits{Key: 8, Record: rapid.IntRange(0, 60).Draw(t, "record"), Call: rapid.IntRange(0, 200).Draw(t, "call")}
		mem := memstore.New()
		mem.SetLimits(l)
		var records []store.Record
		for range rapid.IntRange(0, 20).Draw(t, "records") {
			records = append(records, store.Record{Key: "k", Value: []byte(strings.Repeat("x", rapid.IntRange(0, 80).Draw(t, "value")))})
		}
		calls := l.Calls(records)
		if !slices.EqualFunc(slices.Concat(calls...), records, func(a, b store.Record) bool { return string(a.Value) == string(b.Value) }) {
			t.Fatalf("%v became %v", records, calls)
		}
		for _, call := range calls {
			_, err := mem.Append(t.Context(), "t", store.AnyOffset, call)
			if tooLarge := l.Check(call[0]) != nil; tooLarge && len(call) > 1 || !tooLarge && err != nil || tooLarge && !errors.Is(err, store.ErrRejected) {
				t.Fatalf("append of %v: %v", call, err)
			}
		}
	})
}
