package members

import peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"

// ConfigPasser passes entries of the configuration stream on to peers and takes theirs, so that one
// process with a working log is enough for all.
type ConfigPasser interface {
	// Since returns the entries a process is to be passed that has folded up to an offset.
	Since(offset int64) []*peerv1.ConfigEntry
	// Offer takes what a process passed on.
	Offer(sender *peerv1.Process, entries []*peerv1.ConfigEntry)
}

// noConfig passes nothing.
type noConfig struct{}

// Since implements ConfigPasser.
func (noConfig) Since(int64) []*peerv1.ConfigEntry { return nil }

// Offer implements ConfigPasser.
func (noConfig) Offer(*peerv1.Process, []*peerv1.ConfigEntry) {}

// PassConfig sets who passes configuration. Call it before Run and before the first Exchange.
func (m *Members) PassConfig(c ConfigPasser) { m.config = c }
