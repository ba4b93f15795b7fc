package members

import peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"

// ConfigRelay exchanges entries of the configuration stream with peers, so that all processes stay
// current while at least one of them can read the log.
type ConfigRelay interface {
	// Since returns the entries to pass to a process that has folded the stream up to an offset.
	Since(offset int64) []*peerv1.ConfigEntry
	// Offer takes the entries that a process has passed on.
	Offer(sender *peerv1.Process, entries []*peerv1.ConfigEntry)
}

// noConfig is a ConfigRelay that exchanges nothing.
type noConfig struct{}

// Since implements ConfigRelay.
func (noConfig) Since(int64) []*peerv1.ConfigEntry { return nil }

// Offer implements ConfigRelay.
func (noConfig) Offer(*peerv1.Process, []*peerv1.ConfigEntry) {}

// SetConfigRelay sets the ConfigRelay. Call it before Run and before the first Exchange.
func (m *Members) SetConfigRelay(c ConfigRelay) { m.config = c }
