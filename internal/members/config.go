package members

import peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"

// ConfigPasser exchanges entries of the configuration stream with peers, so that all processes stay
// current while at least one of them can read the log.
type ConfigPasser interface {
	// Since returns the entries to pass to a process that has folded the stream up to an offset.
	Since(offset int64) []*peerv1.ConfigEntry
	// Offer takes the entries that a process has passed on.
	Offer(sender *peerv1.Process, entries []*peerv1.ConfigEntry)
}

// noConfig is a ConfigPasser that exchanges nothing.
type noConfig struct{}

// Since implements ConfigPasser.
func (noConfig) Since(int64) []*peerv1.ConfigEntry { return nil }

// Offer implements ConfigPasser.
func (noConfig) Offer(*peerv1.Process, []*peerv1.ConfigEntry) {}

// PassConfig sets the ConfigPasser. Call it before Run and before the first Exchange.
func (m *Members) PassConfig(c ConfigPasser) { m.config = c }
