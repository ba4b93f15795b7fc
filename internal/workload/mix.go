// Package workload plays the callers of a deployment: it draws an open-loop schedule of requests and
// jobs from a seed, sends it through the entries as a balancer would, and writes what the callers saw
// to a history.
package workload

import "time"

// Request is one class of latency-critical requests.
type Request struct {
	Class string
	// Weight is the class's share of all requests.
	Weight float64
	Budget time.Duration
	// Idempotent requests may be run again; the others carry a key and run at most once.
	Idempotent bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
}

// Job is one class of batch jobs.
type Job struct {
	Class string
	// Weight is the class's share of all jobs.
	Weight   float64
	MilliCPU int64
	MemoryMB int64
	// MinRun and MaxRun bound the run time; both 0 for a watcher that runs until it is cancelled.
	MinRun, MaxRun time.Duration
}

// Mix is what the callers of one deployment ask for.
type Mix struct {
	Deployment string
	Service    string
	Workspaces []string
	Requests   []Request
	Jobs       []Job
	// RequestsPerSecond and JobsPerSecond are the mean rates of arrival.
	RequestsPerSecond float64
	JobsPerSecond     float64
}

// Mixes returns the mixes of today's deployments by name.
func Mixes() map[string]Mix {
	return map[string]Mix{"klang": klang(), "hanoi": hanoi()}
}

// klang is the evening-class enrolment platform of four tuition centres.
func klang() Mix {
	return Mix{
		Deployment: "klang", Service: "enrolment",
		Workspaces: []string{"centre-a", "centre-b", "centre-c", "centre-d"},
		Requests: []Request{
			{Class: "seat-check", Weight: 0.85, Budget: 250 * time.Millisecond, Idempotent: true, BodyBytes: 120},
			{Class: "paid-enrolment", Weight: 0.15, Budget: time.Second, BodyBytes: 600},
		},
		Jobs: []Job{
			{Class: "timetable-rebuild", Weight: 0.9, MilliCPU: 2000, MemoryMB: 4000, MinRun: 300 * time.Millisecond, MaxRun: 2 * time.Second},
			{Class: "waitlist-watcher", Weight: 0.1, MilliCPU: 100, MemoryMB: 100},
		},
		RequestsPerSecond: 150, JobsPerSecond: 8,
	}
}

// hanoi is the visit booking of a city's schools.
func hanoi() Mix {
	return Mix{
		Deployment: "hanoi", Service: "visit-booking",
		Workspaces: []string{"teachers", "museum-desks"},
		Requests: []Request{
			{Class: "seat-hold", Weight: 0.8, Budget: 200 * time.Millisecond, Idempotent: true, BodyBytes: 120},
			{Class: "booking", Weight: 0.2, Budget: time.Second, BodyBytes: 600},
		},
		Jobs: []Job{
			{Class: "itinerary-build", Weight: 0.9, MilliCPU: 3000, MemoryMB: 8000, MinRun: 500 * time.Millisecond, MaxRun: 3 * time.Second},
			{Class: "roster-watch", Weight: 0.1, MilliCPU: 100, MemoryMB: 200},
		},
		RequestsPerSecond: 150, JobsPerSecond: 6,
	}
}
