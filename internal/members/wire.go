package members

import (
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// encode returns the wire form of an announcement with the remaining time of its lease.
func encode(a announce.Announcement, remaining time.Duration) *peerv1.Announcement {
	return &peerv1.Announcement{
		Role: string(a.Role), Name: a.Name, Address: a.Address, DataCentre: a.DataCentre, Rack: a.Rack,
		Service: a.Service, Slots: int32(a.Slots), Connections: int32(a.Connections), Guard: a.Guard,
		MilliCpu: a.Capacity.MilliCPU, MemoryMb: a.Capacity.MemoryMB, Accelerators: a.Capacity.Accelerators,
		Incarnation: a.Incarnation, Seq: a.Seq, Leaving: a.Leaving, LeaseMs: max(1, remaining.Milliseconds()),
	}
}

// decode returns the announcement from its wire form.
func decode(p *peerv1.Announcement) announce.Announcement {
	return announce.Announcement{
		Role: announce.Role(p.Role), Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Rack: p.Rack,
		Service: p.Service, Slots: int(p.Slots), Connections: int(p.Connections), Guard: p.Guard,
		Capacity:    resource.Vector{MilliCPU: p.MilliCpu, MemoryMB: p.MemoryMb, Accelerators: p.Accelerators},
		Incarnation: p.Incarnation, Seq: p.Seq, Leaving: p.Leaving, LeaseMS: p.LeaseMs,
	}
}

// encodeRenewal returns the wire form of a renewed lease with its remaining time.
func encodeRenewal(a announce.Announcement, remaining time.Duration) *peerv1.Renewal {
	return &peerv1.Renewal{
		Role: string(a.Role), Name: a.Name, Incarnation: a.Incarnation, Seq: a.Seq, LeaseMs: max(1, remaining.Milliseconds()),
	}
}
