package slope

import (
	"math"

	"github.com/crocusspring/crocusspring/internal/node"
)

// Size is the size of an installation for which costs are projected.
type Size struct {
	Workers         float64
	WorkersPerCell  float64
	BatchTasks      float64
	StartsPerSecond float64
	Targets         float64
	Entries         float64
	ChangesPerDay   float64
	JobsPerDay      float64
	DataCentres     float64
	Regions         float64
	WorkersPerRack  float64
	RestartsPerDay  float64
	FailuresPerDay  float64
	// Peers is the number of other nodes with which a node is configured to exchange announcements.
	Peers float64
}

// TwoYears returns the size expected in two years, which the design has to support. Each target has a guard;
// the numbers of entries, workers per rack and peers are assumptions of this projection.
func TwoYears() Size {
	return Size{
		Workers: 1700, WorkersPerCell: 48, BatchTasks: 35000, StartsPerSecond: 87, Targets: 5800, Entries: 36,
		ChangesPerDay: 1600, JobsPerDay: 24000, DataCentres: 12, Regions: 3, WorkersPerRack: 20,
		RestartsPerDay: 290, FailuresPerDay: 19, Peers: 2,
	}
}

const secondsPerDay = 86400

// Cells returns the number of cells that hold all workers.
func (s Size) Cells() float64 { return math.Ceil(s.Workers / s.WorkersPerCell) }

// Members returns the number of targets and workers, each of which announces itself.
func (s Size) Members() float64 { return s.Targets + s.Workers }

// Nodes returns the number of entries and guards.
func (s Size) Nodes() float64 { return s.Targets + s.Entries }

// TasksPerCell returns the mean number of running batch tasks of a cell.
func (s Size) TasksPerCell() float64 { return s.BatchTasks / s.Cells() }

// TasksPerWorker returns the mean number of running batch tasks of a worker.
func (s Size) TasksPerWorker() float64 { return s.BatchTasks / s.Workers }

// StartsPerCell returns the mean number of task starts per second of a cell.
func (s Size) StartsPerCell() float64 { return s.StartsPerSecond / s.Cells() }

// ChangesPerSecond returns the number of configuration changes per second.
func (s Size) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }

// Part is one contribution to a projected quantity.
type Part struct {
	// Name describes the contribution and, where it helps, the code that causes it.
	Name string
	// Axis is the ID of the axis on which the metric was measured.
	Axis   string
	Metric Metric
	// X is the projected size on the axis.
	X float64
	// Multiplier is the factor by which the contribution is multiplied; 0 means 1.
	Multiplier float64
	// SlopeOnly leaves the intercept out, because another part includes it already.
	SlopeOnly bool
}

// Quantity is a resource that a role consumes, with its limit; a limit of 0 means none.
type Quantity struct {
	Role  string
	Name  string
	Unit  string
	Limit float64
	Parts []Part
}

// Projected is a part with its projected value and the size at which it alone reaches the limit.
type Projected struct {
	Part
	Value float64
	// MaxSize is the size on the part's axis at which the part alone reaches the limit; infinite when it never
	// does or there is no limit.
	MaxSize float64
}

// Project returns the projected parts of a quantity and the sum of their values.
func (q Quantity) Project(series map[string]Series) ([]Projected, float64) {
	var out []Projected
	sum := 0.0
	for _, p := range q.Parts {
		f := series[p.Axis].Fit(p.Metric)
		if f.Slope < 0 {
			// A falling line would extrapolate to negative costs, so the mean of the readings is used instead.
			f = Fit{Intercept: mean(series[p.Axis].Points(p.Metric))}
		}
		if p.SlopeOnly {
			f.Intercept = 0
		}
		multiplier := p.Multiplier
		if multiplier == 0 {
			multiplier = 1
		}
		v := Projected{Part: p, Value: math.Max(0, multiplier*f.At(p.X)), MaxSize: math.Inf(1)}
		if q.Limit > 0 && f.Slope > 0 {
			v.MaxSize = math.Max(0, (q.Limit/multiplier-f.Intercept)/f.Slope)
		}
		out = append(out, v)
		sum += v.Value
	}
	return out, sum
}

// Limits of what a node consumes for control (bytes per second, percent of a core, bytes), and of appends to the log.
const (
	limitBytes = 5000
	limitCPU   = 1.3
	limitHeap  = 64e6
	// limitAppends is in appends per second. The log accepts several hundred.
	limitAppends = 300
)

// Quantities returns the quantities that each role consumes at a size.
func Quantities(s Size) []Quantity {
	shared := []Part{
		{Name: "announcements to and from peers (members.Members)", Axis: "members", Metric: PeerBytes, X: s.Members(), Multiplier: s.Peers},
		{Name: "announcements taken directly, shared by all nodes", Axis: "members", Metric: AnnounceBytes, X: s.Members(), Multiplier: 1 / s.Nodes()},
		{Name: "configuration stream (configrun)", Axis: "config", Metric: OtherLogBytes, X: s.ChangesPerSecond()},
	}
	owner := append([]Part{
		{Name: "syncs with idle workers (cell.Core)", Axis: "workers", Metric: SyncBytes, X: s.WorkersPerCell},
		{Name: "inventories of running tasks", Axis: "tasks", Metric: SyncBytes, X: s.TasksPerCell(), SlopeOnly: true},
		{Name: "commands and ends of starts", Axis: "starts", Metric: SyncBytes, X: s.StartsPerCell(), SlopeOnly: true},
		{Name: "cell's stream, written and read back", Axis: "starts", Metric: OwnerLogBytes, X: s.StartsPerCell()},
	}, shared...)
	candidate := append([]Part{
		{Name: "stream of one cell it may take over", Axis: "starts", Metric: OtherLogBytes, X: s.StartsPerCell()},
	}, shared...)
	ended := s.JobsPerDay / s.Cells()
	return []Quantity{
		{Role: "entry or guard, no cell", Name: "bytes on the wire", Unit: "B/s", Limit: limitBytes, Parts: shared},
		{Role: "guard, candidate of one cell", Name: "bytes on the wire", Unit: "B/s", Limit: limitBytes, Parts: candidate},
		{Role: "guard that owns a cell", Name: "bytes on the wire", Unit: "B/s", Limit: limitBytes, Parts: owner},
		{Role: "entry or guard, no cell", Name: "processor time", Unit: "% of a core", Limit: limitCPU, Parts: []Part{
			{Name: "exchanges with peers", Axis: "members", Metric: OtherCPU, X: s.Members(), Multiplier: s.Peers},
		}},
		{Role: "guard that owns a cell", Name: "processor time", Unit: "% of a core", Limit: limitCPU, Parts: []Part{
			{Name: "steps of the decision core over running tasks", Axis: "cell-tasks", Metric: OwnerCPU, X: s.TasksPerCell()},
			{Name: "syncs on the wire", Axis: "syncs", Metric: OwnerCPU, X: syncsInLease * s.WorkersPerCell / node.Defaults().TaskLease.Seconds(), SlopeOnly: true},
			{Name: "starts", Axis: "starts", Metric: OwnerCPU, X: s.StartsPerCell(), SlopeOnly: true},
			{Name: "exchanges with peers", Axis: "members", Metric: OtherCPU, X: s.Members(), Multiplier: s.Peers},
		}},
		{Role: "entry or guard, no cell", Name: "memory", Unit: "B", Limit: limitHeap, Parts: []Part{
			{Name: "process with an idle node", Axis: "base", Metric: ResidentBytes, X: 1},
			{Name: "table of members", Axis: "table", Metric: HeapBytes, X: s.Members()},
			{Name: "configuration of 30 days", Axis: "config-records", Metric: HeapBytes, X: 30 * s.ChangesPerDay},
		}},
		{Role: "guard that owns a cell", Name: "memory", Unit: "B", Limit: limitHeap, Parts: []Part{
			{Name: "process with an idle node", Axis: "base", Metric: ResidentBytes, X: 1},
			{Name: "running tasks", Axis: "cell-tasks", Metric: HeapBytes, X: s.TasksPerCell()},
			{Name: "ended tasks of a day", Axis: "cell-done", Metric: HeapBytes, X: ended},
			{Name: "table of members", Axis: "table", Metric: HeapBytes, X: s.Members()},
			{Name: "configuration of 30 days", Axis: "config-records", Metric: HeapBytes, X: 30 * s.ChangesPerDay},
		}},
		{Role: "log service", Name: "appends", Unit: "/s", Limit: limitAppends, Parts: []Part{
			{Name: "jobs, assigns, ends and lease renewals of all cells", Axis: "starts", Metric: Appends, X: s.StartsPerCell(), Multiplier: s.Cells()},
			{Name: "configuration", Axis: "config", Metric: Appends, X: s.ChangesPerSecond()},
		}},
		{Role: "log service", Name: "reads", Unit: "/s", Parts: []Part{
			{Name: "long polls of the configuration stream by every node", Axis: "nodes", Metric: LogReads, X: s.Nodes()},
		}},
		{Role: "worker", Name: "syncs asked of it", Unit: "/s", Parts: []Part{
			{Name: "syncs of its owner", Axis: "workers", Metric: SyncMessages, X: 1, SlopeOnly: true},
		}},
		{Role: "operator's tool", Name: "log reads a change", Unit: "", Parts: []Part{
			{Name: "one proposal, one verdict over HTTP; every reader is woken once", Axis: "config", Metric: LogReads, X: 1, SlopeOnly: true},
		}},
	}
}
