package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// gang is one run of a gang: the members that are present. Those that carry another checkpoint aren't of it.
type gang struct {
	name    string
	size    int
	members map[*run]*life
	resumed time.Duration // the work that the checkpoint stands for
	began   time.Time     // since when all members work together; zero before
	over    time.Duration // the work done when it was broken
	broken  bool
}

// joinGang adds a run to its gang, if its job has one. The caller holds the lock.
func (w *World) joinGang(n *life, r *run, checkpoint string) {
	size := w.gangSize[jobOf(r.task)]
	if size == 0 {
		return
	}
	step := r.task[:strings.LastIndex(r.task, ".")]
	key := fmt.Sprintf("%s run %d from %q", step, r.number, checkpoint)
	g := w.gangs[key]
	if g == nil {
		g = &gang{name: step, size: size, members: map[*run]*life{}}
		if len(checkpoint) == 16 {
			ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
			g.resumed = time.Duration(ms) * time.Millisecond
		}
		w.gangs[key] = g
	}
	r.gang = g
	g.members[r] = n
	w.log("%s run %d joins the gang from checkpoint %q: %d of %d", r.task, r.number, checkpoint, len(g.members), size)
	if len(g.members) == size && !g.broken {
		g.began = time.Now()
	}
}

// progress returns how much work the gang has done.
func (g *gang) progress() time.Duration {
	switch {
	case g.broken:
		return g.over
	case g.began.IsZero():
		return g.resumed
	}
	return g.resumed + time.Since(g.began)
}

// value returns the checkpoint for an amount of work; every member of the gang makes the same one.
func (g *gang) value(work time.Duration) string {
	if work <= 0 {
		return ""
	}
	h := fnv.New32a()
	h.Write([]byte(g.name))
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), h.Sum32())
}

// leave takes a member out that has ended; the others end with it.
func (g *gang) leave(r *run, how string) {
	if g == nil || g.members[r] == nil {
		return
	}
	if !g.broken {
		g.over, g.broken = g.progress(), true
	}
	delete(g.members, r)
	if how != "done" {
		how = "broken"
	}
	for o, n := range g.members {
		n.finish(o, how)
	}
}

// worked returns how much of its work a run has done.
func (r *run) worked() time.Duration {
	if r.gang != nil {
		return r.gang.progress()
	}
	return time.Since(r.started)
}
