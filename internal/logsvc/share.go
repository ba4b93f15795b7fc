package logsvc

// DefaultAppends is the budget of all processes together, in appends a second.
const DefaultAppends = 300

// minShare is the rate a process may always use, in appends a second: enough to announce itself.
const minShare = 1.0

// Writers counts the processes that append to the log, as known to one process.
type Writers struct {
	// Entries is how many live entries there are; they append claims, jobs and records.
	Entries int
	// Cells is how many cells have an owner.
	Cells int
	// Entry is true when this process is an entry, Owned is how many cells it owns.
	Entry bool
	Owned int
}

// Share returns how many appends a second of a total this process may make. Half of the total is
// divided among the entries and half among the cells, whoever owns them, so that the shares of all
// processes which agree on the counts add up to the total, apart from the minShare of each. When counts
// are outdated, the service's own rate limit refuses appends, see Committer.
func (w Writers) Share(total float64) float64 {
	share := 0.0
	if w.Entry {
		share += total / 2 / float64(max(1, w.Entries))
	}
	if w.Owned > 0 {
		share += total / 2 * float64(w.Owned) / float64(max(w.Cells, w.Owned))
	}
	return max(share, minShare)
}
