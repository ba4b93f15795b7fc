package slope

import (
	"fmt"
	"strings"
)

// failureScenario is a row of the table of failures: what a failure affects, and what the repair costs.
type failureScenario struct {
	name     string
	affected string
	cost     string
}

// writeFailures writes the table of failures.
func writeFailures(b *strings.Builder, series map[string]Series, s Size) {
	fmt.Fprintf(b, "\n## Days of failure\n\n| failure | what it touches | what it costs the nodes that repair it |\n|---|---|---|\n")
	for _, f := range failureScenarios(series, s) {
		fmt.Fprintf(b, "| %s | %s | %s |\n", f.name, f.affected, f.cost)
	}
}

// failureScenarios computes the effect and the cost of each failure from the measured slopes.
func failureScenarios(series map[string]Series, s Size) []failureScenario {
	perStart := series["starts"].Fit(OwnerLogBytes).Slope + series["starts"].Fit(SyncBytes).Slope
	appends := series["starts"].Fit(Appends).Slope
	configBytes := series["config-records"].Fit(ReplayBytes).Slope
	endedBytes := series["cell-done"].Fit(ReplayBytes).Slope
	fold := mean(series["cell-done"].Points(FoldMicros))
	// restarts describes the cost of starting a number of tasks again, spread evenly over some owners.
	restarts := func(tasks, owners float64) string {
		each := tasks / owners
		return fmt.Sprintf("%s tasks again at each of %s owners: %s appends, %s KB; at 5 KB/s it alone takes %s s",
			round(each), round(owners), round(each*appends), round(each*perStart/1e3), round(each*perStart/limitBytes))
	}
	perDC := s.Workers / s.DataCentres
	perRegion := s.Workers / s.Regions
	rackTasks := s.WorkersPerRack * s.TasksPerWorker()
	jobsPerCell := s.JobsPerDay / s.Cells()
	ownerRestarts := s.RestartsPerDay * s.Cells() / s.Nodes()
	hourStarts := s.StartsPerSecond / s.Regions * 3600
	return []failureScenario{
		{
			"19 hosts fail, one by one",
			fmt.Sprintf("%s tasks each, %s a day", round(s.TasksPerWorker()), round(s.FailuresPerDay*s.TasksPerWorker())),
			fmt.Sprintf("measured with %d tasks a host: %s appends, %s B of log and syncs; %s", tasksPerFailedWorker,
				formatSlope(series["failures"].Fit(RepairAppends)), formatSlope(series["failures"].Fit(RepairBytes)), restarts(s.TasksPerWorker(), 1)),
		},
		{
			"290 processes or hosts are restarted",
			fmt.Sprintf("one every %s minutes; %s a day hit the owner of a cell", round(24*60/s.RestartsPerDay), round(ownerRestarts)),
			fmt.Sprintf("a day of configuration is %s KB of log for each start; a new owner folds a day of its cell in %s ms (%s KB)",
				round(s.ChangesPerDay*configBytes/1e3), round(jobsPerCell*fold*recordsPerTask/1e3), round(jobsPerCell*endedBytes/1e3)),
		},
		{
			fmt.Sprintf("a rack of %g workers", s.WorkersPerRack),
			fmt.Sprintf("%s tasks of one cell at once", round(rackTasks)),
			restarts(rackTasks, 1),
		},
		{
			"a data centre",
			fmt.Sprintf("%s workers, %s cells, %s tasks, %s targets", round(perDC), round(perDC/s.WorkersPerCell),
				round(perDC*s.TasksPerWorker()), round(s.Targets/s.DataCentres)),
			restarts(perDC*s.TasksPerWorker(), s.Cells()*(1-1/s.DataCentres)),
		},
		{
			"a region is cut off from the log for an hour",
			fmt.Sprintf("%s workers; %s starts are held back while the owners go on under their epochs", round(perRegion), round(hourStarts)),
			fmt.Sprintf("%s changes of configuration to read afterwards; %s appends are due when the log is back, %s minutes at half the log's rate",
				round(s.ChangesPerDay/24), round(hourStarts*appends), round(hourStarts*appends/(limitAppends/2)/60)),
		},
	}
}

// minR2 is the smallest coefficient of determination at which the slope of a line is shown.
const minR2 = 0.5

// formatSlope formats a slope, or says that the readings don't show a clear one.
func formatSlope(f Fit) string {
	if f.R2 < minR2 {
		return "no clear slope in"
	}
	return round(f.Slope)
}

// recordsPerTask is how many records a task adds to its cell's stream: job, assign and end.
const recordsPerTask = 3

// mean returns the mean value of points; 0 without points.
func mean(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += p.Y
	}
	return sum / float64(max(1, len(points)))
}
