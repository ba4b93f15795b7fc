// Package dev runs a whole deployment in one process on loopback: the stand-ins of the platform and
// the nodes of the product.
package dev

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Deployment is the shape of one user's installation.
type Deployment struct {
	Name        string
	DataCentres []string
	// InterDCLatency is the one-way latency between data centres, ClientLatency that to clients.
	InterDCLatency time.Duration
	ClientLatency  time.Duration
	Service        string
	Targets        int
	Slots          int
	Conns          int
	Workers        int
	PerRack        int
	Worker         resource.Vector
	Entries        int
}

// Deployments returns the shapes of the current users' installations by name.
func Deployments() map[string]Deployment {
	base := Deployment{
		ClientLatency: 3 * time.Millisecond, Targets: 11, Slots: 8, Conns: 64, Workers: 11, PerRack: 3,
		Worker: resource.Vector{MilliCPU: 16000, MemoryMB: 62500}, Entries: 3,
	}
	klang, hanoi := base, base
	klang.Name, klang.Service, klang.InterDCLatency = "klang", "enrolment", 1400*time.Microsecond
	klang.DataCentres = []string{"shah-alam", "cyberjaya", "petaling"}
	hanoi.Name, hanoi.Service, hanoi.InterDCLatency = "hanoi", "visit-booking", 900*time.Microsecond
	hanoi.DataCentres = []string{"hoan-kiem", "ba-dinh", "long-bien", "cau-giay"}
	return map[string]Deployment{"klang": klang, "hanoi": hanoi}
}
