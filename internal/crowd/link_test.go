package crowd

import (
	"bytes"
	"testing"
)

// TestCrowdOfLinks checks guards, one of which owns the cell, with peers that open links and send the beginning of a long
// message.
func TestCrowdOfLinks(t *testing.T) {
	const messageBytes = 4<<20 - 1
	upgrade := []byte("GET /v1/link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: crocus-link\r\n\r\n")
	d := deploy(t, true)
	for _, g := range d.guards {
		gather(t, g.inner, crowdSize, misuse{raw: append(bytes.Clone(upgrade), bytes.Repeat([]byte(" "), messageBytes)...)})
	}
	d.submitOrdinary(t)
	d.check(t)
}
