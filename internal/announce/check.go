package announce

import (
	"net/netip"
	"strconv"

	"github.com/crocusspring/crocusspring/internal/finding"
)

// Check returns everything that is invalid in an announcement.
func (a Announcement) Check() error {
	var l finding.List
	if a.Role != RoleTarget && a.Role != RoleWorker {
		l.Add("/role", string(a.Role), "must be target or worker")
	}
	if a.Name == "" {
		l.Add("/name", "", "must not be empty")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		l.Add("/address", a.Address, "must be an IP address with port")
	}
	if _, err := netip.ParseAddrPort(a.Guard); a.Guard != "" && err != nil {
		l.Add("/guard", a.Guard, "must be an IP address with port")
	}
	if a.LeaseMS <= 0 {
		l.Add("/lease_ms", strconv.FormatInt(a.LeaseMS, 10), "must be more than 0")
	}
	if a.Role == RoleTarget && (a.Service == "" || a.Slots <= 0 || a.Connections <= 0) {
		l.Add("/service, /slots, /connections", "", "must be given by a target")
	}
	if a.Role == RoleWorker && (a.Capacity.MilliCPU <= 0 || a.Capacity.Negative()) {
		l.Add("/capacity", a.Capacity.String(), "must be more than nothing for a worker")
	}
	return l.Err()
}
