package sched

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/store"
)

// The progress of a job is one record, or, when that is too large, a head and parts. A part holds the tasks of a block of
// one step. Parts are written before the head and deleted after it, since they may not fit into one append together:
// whatever of them is stored, each task's record is the old or the new one, and parts of occurrences that the head doesn't
// list don't count.

const (
	// partPrefix starts the key of a part: p/JOB/OCCURRENCE.STEP.FROM, with FROM the index of its first task.
	partPrefix = "p/"
	// maxInlineBytes is the size from which on the progress of a job is stored in parts: only those that have changed are
	// written, whereas one record is written as a whole.
	maxInlineBytes = 32 << 10
	// blockTasks is the number of tasks of a block, unless they don't fit into one record.
	blockTasks = 64
)

// jobRecord is the progress of a job as stored, or the head of it.
type jobRecord struct {
	State  State  `json:"s"`
	Reason string `json:"why,omitempty"`
	// Next is the first occurrence that is not yet due, Finished the number of complete ones.
	Next        int                `json:"n,omitempty"`
	Finished    int                `json:"f,omitempty"`
	Occurrences []occurrenceRecord `json:"o,omitempty"`
	// Parts means that the open occurrences are stored in parts; Open are their numbers.
	Parts bool  `json:"parts,omitempty"`
	Open  []int `json:"open,omitempty"`
}

// occurrenceRecord is one open occurrence.
type occurrenceRecord struct {
	K     int            `json:"k,omitempty"`
	Steps [][]taskRecord `json:"t"`
}

// taskRecord is one task; the zero value is a task that never ran.
type taskRecord struct {
	Done       bool   `json:"d,omitempty"`
	Run        int    `json:"r,omitempty"`
	Worker     string `json:"w,omitempty"`
	FailedRuns []int  `json:"f,omitempty"`
	// FailedOn are the workers of the failed runs.
	FailedOn   []string `json:"x,omitempty"`
	Checkpoint string   `json:"c,omitempty"`
	// Copies are earlier runs that may continue.
	Copies []copyRef `json:"p,omitempty"`
	// Crashes are the workers that crashed under a run of the task.
	Crashes []crash `json:"k,omitempty"`
	// Late is the worker that may still carry out an unanswered start of an earlier run, by its ID without birth; see doubtfulStart.
	Late string `json:"l,omitempty"`
}

// errTooLarge means that the progress of a task doesn't fit into a record.
var errTooLarge = errors.New("the progress of one task doesn't fit into a record")

// errNoProgress means that a record has the form of progress but can't be that of its job: another writer has left it.
var errNoProgress = errors.New("no owner writes such progress")

// maxRun bounds the number of a run. A task gets a run a few milliseconds after the last one at most often.
const maxRun = 1 << 40

// check returns why a record can't be the progress of a job, or nil.
func (r *jobRecord) check(spec *job.Spec) error {
	n := spec.Occurrences()
	if !slices.Contains([]State{Queued, Running, Completed, Failed, Cancelled}, r.State) || r.Next < 0 || r.Next > n || r.Finished < 0 || r.Finished > n {
		return fmt.Errorf("%w: state %.20q, next occurrence %d, %d finished of %d", errNoProgress, r.State, r.Next, r.Finished, n)
	}
	open := slices.Clone(r.Open)
	for _, o := range r.Occurrences {
		open = append(open, o.K)
		if len(o.Steps) != len(spec.Steps) {
			return fmt.Errorf("%w: it has %d steps, the job has %d", errNoProgress, len(o.Steps), len(spec.Steps))
		}
		for i, tasks := range o.Steps {
			if len(tasks) > spec.Steps[i].Count {
				return fmt.Errorf("%w: step %d has %d tasks, that of the job %d", errNoProgress, i, len(tasks), spec.Steps[i].Count)
			}
			if err := checkTasks(tasks); err != nil {
				return err
			}
		}
	}
	seen := map[int]bool{}
	for _, k := range open {
		if k < 0 || k >= r.Next || seen[k] {
			return fmt.Errorf("%w: occurrence %d is open, the next one is %d", errNoProgress, k, r.Next)
		}
		seen[k] = true
	}
	return nil
}

// checkTasks returns why records can't be those of tasks, or nil.
func checkTasks(records []taskRecord) error {
	for i := range records {
		runs := []int{records[i].Run}
		for _, c := range records[i].Copies {
			runs = append(runs, c.Run)
		}
		if slices.Min(runs) < 0 || slices.Max(runs) > maxRun {
			return fmt.Errorf("%w: runs %v", errNoProgress, runs)
		}
	}
	return nil
}

// seed is that of the hashes by which changed parts are told.
var seed = maphash.MakeSeed()

// encode returns a value as JSON. The values consist only of strings, numbers, booleans and slices.
func encode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode record: %v", err))
	}
	return out
}

// fits reports whether a record keeps a limit in bytes; 0 means no limit.
func fits(r store.Record, limit int) bool { return limit <= 0 || r.Size() <= limit }

// record returns the record of a task.
func (t *task) record() taskRecord {
	if t.state == stateDone {
		return taskRecord{Done: true, Copies: t.copies}
	}
	r := taskRecord{
		Run: t.run, FailedRuns: t.failedRuns, FailedOn: t.failedOn, Checkpoint: t.checkpoint, Copies: t.copies, Crashes: t.crashes,
	}
	if t.held() {
		r.Worker = t.worker
	}
	if t.late != nil {
		r.Late = t.late.worker
	}
	return r
}

// taskRecords returns the records of tasks.
func taskRecords(tasks []*task) []taskRecord {
	out := make([]taskRecord, len(tasks))
	for i, t := range tasks {
		out[i] = t.record()
	}
	return out
}

// progressNeeded reports whether a record of the job must hold its tasks. An ended job needs only its state once no run of
// it may be on a worker.
func (j *jobState) progressNeeded() bool {
	return !j.unstorable && (!j.state.Terminal() || j.held > 0)
}

// inline returns the progress of a job in one record.
func (j *jobState) inline() store.Record {
	r := jobRecord{State: j.state, Reason: j.reason, Next: j.next, Finished: j.finished}
	if j.progressNeeded() {
		for _, o := range j.inOrder() {
			or := occurrenceRecord{K: o.k}
			for _, s := range o.steps {
				or.Steps = append(or.Steps, taskRecords(s.tasks))
			}
			r.Occurrences = append(r.Occurrences, or)
		}
	}
	return store.Record{Key: j.spec.ID, Value: encode(r)}
}

// records returns what has to be written of the progress of a job; limit bounds a record, in bytes.
func (j *jobState) records(limit int) ([]store.Record, error) {
	if !j.inParts || !j.progressNeeded() {
		r := j.inline()
		inline := maxInlineBytes
		if limit > 0 {
			inline = min(inline, limit)
		}
		if !j.progressNeeded() || fits(r, inline) {
			return append([]store.Record{r}, j.deletions(nil)...), nil
		}
		j.inParts = true
	}
	head := jobRecord{State: j.state, Reason: j.reason, Next: j.next, Finished: j.finished, Parts: true}
	var out []store.Record
	written := map[string]uint64{}
	for _, o := range j.inOrder() {
		head.Open = append(head.Open, o.k)
		for _, s := range o.steps {
			parts, err := s.parts(limit)
			if err != nil {
				return nil, err
			}
			for _, p := range parts {
				sum := maphash.Bytes(seed, p.Value)
				if old, ok := j.parts[p.Key]; !ok || old != sum {
					out = append(out, p)
				}
				written[p.Key] = sum
			}
		}
	}
	out = append(out, store.Record{Key: j.spec.ID, Value: encode(head)})
	return append(out, j.deletions(written)...), nil
}

// deletions returns records that delete the stored parts of a job which are not among those that are current, and
// notes the current ones as stored.
func (j *jobState) deletions(current map[string]uint64) []store.Record {
	var out []store.Record
	for key := range j.parts {
		if _, ok := current[key]; !ok {
			out = append(out, store.Record{Key: key})
		}
	}
	slices.SortFunc(out, func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	j.parts = current
	return out
}

// parts returns the parts of a step, the last block first. A block whose tasks don't fit into one record is halved for good;
// its second half is written before the first, which shrinks.
func (s *step) parts(limit int) ([]store.Record, error) {
	s.divide(0)
	var out []store.Record
	for i := 0; i < len(s.blocks); {
		from, to := s.blocks[i], len(s.tasks)
		if i+1 < len(s.blocks) {
			to = s.blocks[i+1]
		}
		p := store.Record{Key: s.partKey(from), Value: encode(taskRecords(s.tasks[from:to]))}
		switch {
		case fits(p, limit):
			out = append(out, p)
			i++
		case to-from > 1:
			s.divide((from + to) / 2)
		default:
			p.Value = encode([]taskRecord{s.tasks[from].essential()})
			if !fits(p, limit) {
				return nil, fmt.Errorf("%w: task %s has %d bytes", errTooLarge, s.tasks[from].id, p.Size())
			}
			out = append(out, p)
			i++
		}
	}
	slices.Reverse(out)
	return out, nil
}

// essential returns the record of a task without what it can do without: where it has failed, and its checkpoint.
func (t *task) essential() taskRecord {
	r := t.record()
	r.FailedOn, r.Checkpoint = nil, ""
	return r
}

// divide lets a block of a step begin at the task with an index.
func (s *step) divide(at int) {
	if s.blocks == nil {
		for i := 0; i < len(s.tasks); i += blockTasks {
			s.blocks = append(s.blocks, i)
		}
	}
	if i, found := slices.BinarySearch(s.blocks, at); !found {
		s.blocks = slices.Insert(s.blocks, i, at)
	}
}

// partKey returns the key of the part with the tasks from an index on. Indices have a fixed width, so that keys of a step
// are in the order of its blocks.
func (s *step) partKey(from int) string {
	return fmt.Sprintf("%s%s/%d.%d.%05d", partPrefix, s.occ.job.spec.ID, s.occ.k, s.index, from)
}

// parsePartKey returns the parts of a key that partKey has returned.
func parsePartKey(key string) (id string, k, step, from int, err error) {
	rest, ok := strings.CutPrefix(key, partPrefix)
	i := strings.LastIndex(rest, "/")
	if !ok || i < 0 {
		return "", 0, 0, 0, fmt.Errorf("key %q is not that of a part", key)
	}
	numbers := strings.Split(rest[i+1:], ".")
	if len(numbers) != 3 {
		return "", 0, 0, 0, fmt.Errorf("key %q is not that of a part", key)
	}
	for n, dst := range []*int{&k, &step, &from} {
		if *dst, err = strconv.Atoi(numbers[n]); err != nil || *dst < 0 {
			return "", 0, 0, 0, fmt.Errorf("key %q: %q is not a number of 0 or more", key, numbers[n])
		}
	}
	return rest[:i], k, step, from, nil
}

// SortForRestore sorts stored records in the order in which Restore takes them: parts after all others, those of a step
// from the last block on.
func SortForRestore(records []store.Record) {
	slices.SortStableFunc(records, func(a, b store.Record) int {
		pa, pb := strings.HasPrefix(a.Key, partPrefix), strings.HasPrefix(b.Key, partPrefix)
		if !pa || !pb {
			return cmp.Compare(toInt(pa), toInt(pb))
		}
		return -strings.Compare(a.Key, b.Key)
	})
}

// restorePart applies a part of the progress of a job. One that the head doesn't list is deleted with the next record of
// the job.
func (c *Core) restorePart(now time.Time, key string, value []byte) error {
	id, k, index, from, err := parsePartKey(key)
	if err != nil {
		return err
	}
	j := c.jobs[id]
	if j == nil {
		return fmt.Errorf("progress of job %s: no such job", id)
	}
	if j.parts == nil {
		j.parts = map[string]uint64{}
	}
	j.parts[key] = maphash.Bytes(seed, value)
	o := j.occurrences[k]
	if !j.inParts || o == nil || index >= len(o.steps) {
		c.markDirty(j)
		return nil
	}
	var records []taskRecord
	if err := json.Unmarshal(value, &records); err != nil {
		return fmt.Errorf("progress %s: %w", key, err)
	}
	s := o.steps[index]
	if len(records) == 0 || from+len(records) > len(s.tasks) {
		return fmt.Errorf("progress %s: %w: it has %d tasks, the step has %d", key, errNoProgress, len(records), len(s.tasks))
	}
	if err := checkTasks(records); err != nil {
		return fmt.Errorf("progress %s: %w", key, err)
	}
	s.divide(from)
	open := s.openTasks
	// Tasks that a later part holds were moved there when this block was halved.
	for n := from; n < min(from+len(records), s.unrestored); n++ {
		c.restoreTask(now, s.tasks[n], records[n-from])
	}
	s.unrestored = min(s.unrestored, from)
	if open > 0 && s.openTasks == 0 {
		o.openSteps--
	}
	return nil
}

// jobsOf returns the jobs whose progress the records with some keys hold.
func (c *Core) jobsOf(keys []string) map[*jobState]bool {
	out := map[*jobState]bool{}
	for _, key := range keys {
		id := key
		if of, _, _, _, err := parsePartKey(key); err == nil {
			id = of
		}
		if j := c.jobs[id]; j != nil {
			out[j] = true
		}
	}
	return out
}

// Overwritten handles that other writers have appended records with some keys: what this owner has stored there is stored
// again.
func (c *Core) Overwritten(keys []string) {
	for _, key := range keys {
		if worker, ok := strings.CutPrefix(key, workerPrefix); ok {
			c.guards.records.attempt(worker, "")
			if c.inFlight != nil {
				delete(c.inFlight.nodes, worker)
			}
			c.dirtyNodes[worker] = ""
			if w := c.workers[worker]; w != nil {
				c.dirtyNodes[worker] = w.node
			}
		}
		if worker, ok := strings.CutPrefix(key, provisionalPrefix); ok {
			c.guards.provisional.attempt(worker, "")
			if c.inFlight != nil {
				delete(c.inFlight.provisional, worker)
			}
		}
	}
	for j := range c.jobsOf(keys) {
		for _, key := range keys {
			if strings.HasPrefix(key, partPrefix+j.spec.ID+"/") {
				// The hash of no part is that of a deleted one.
				if j.parts == nil {
					j.parts = map[string]uint64{}
				}
				j.parts[key] = 0
			}
		}
		c.markDirty(j)
	}
}

// failUnstorable fails a job whose progress can't be stored.
func (c *Core) failUnstorable(now time.Time, j *jobState, reason string) {
	c.logDecision(event.Reject, j.spec.ID, reason)
	if j.unstorable {
		// Its state can't be stored either; it is told to callers as long as this owner lasts.
		j.storedState = j.state
		return
	}
	j.unstorable = true
	if !j.state.Terminal() {
		c.finishJob(now, j, Failed, reason)
	}
	c.markDirty(j)
}
