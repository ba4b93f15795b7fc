package directory

import (
	"maps"
	"testing"

	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestOddAddresses guards against calls to what is no address: other writers may leave any text, also one that would be looked
// up by name, or a port out of range.
func TestOddAddresses(t *testing.T) {
	mem := memstore.New()
	for key, value := range map[string]string{
		"a": "10.0.0.1:8161", "b": "[::1]:80", "c": "10.0.0.1:99999", "d": "10.0.0.1:0", "e": "10.0.0.1", "f": "name:80", "g": "{}", "h": "\xff:1",
		"i": "10.0.0.1:http", "j": ":80", "k": "10.0.0.1:99999999999999999999",
	} {
		if _, err := mem.Append(t.Context(), store.TopicNodes, store.AnyOffset, []store.Record{{Key: key, Value: []byte(value)}}); err != nil {
			t.Fatal(err)
		}
	}
	nodes, err := Nodes(t.Context(), mem)
	if want := map[string]string{"a": "10.0.0.1:8161", "b": "[::1]:80"}; err != nil || !maps.Equal(nodes, want) {
		t.Errorf("nodes %v, %v, want %v", nodes, err, want)
	}
}
