package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type rec struct {
	key   string
	value []byte
	off   int64
	at    time.Time
}

// keep is how long records are kept.
const keep = 20 * time.Second

// expire moves the first retained offset past old records.
func (t *topic) expire(age time.Duration) {
	for t.first < int64(len(t.recs)) && time.Since(t.recs[t.first].at) > age {
		t.first++
	}
}

type topic struct {
	first  int64
	recs   []rec
	newest map[string]rec
	wake   chan struct{}
}

// Store is the platform's metadata store: a log with keyed topics.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	busy   sync.Mutex // one append at a time
	// faults
	down  map[string]string // node or "*" -> silent|busy|reset
	lost  float64
	late  float64
	slow  time.Duration
	last  string // node that last wrote under a condition
	calls int
}

func NewStore() *Store { return &Store{topics: map[string]*topic{}, down: map[string]string{}} }
func (s *Store) topic(n string) *topic {
	t := s.topics[n]
	if t == nil {
		t = &topic{newest: map[string]rec{}, wake: make(chan struct{})}
		s.topics[n] = t
	}
	return t
}

func (s *Store) Put(tn, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(tn), []rec{{key: key, value: value}})
}

func (s *Store) add(t *topic, rs []rec) int64 {
	first := int64(len(t.recs))
	for _, r := range rs {
		r.off, r.at = int64(len(t.recs)), time.Now()
		t.recs = append(t.recs, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(t.wake)
	t.wake = make(chan struct{})
	return first
}
func abort() { panic(http.ErrAbortHandler) }

func (s *Store) fault(node string, r *http.Request, w http.ResponseWriter) bool {
	s.mu.Lock()
	m := s.down[node]
	if m == "" {
		m = s.down["*"]
	}
	slow := s.slow
	s.calls++
	s.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	switch m {
	case "silent":
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		abort()
	case "busy":
		w.WriteHeader(503)
		return true
	case "many":
		w.WriteHeader(429)
		return true
	case "reset":
		abort()
	}
	return false
}

func (s *Store) Handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) {
		if s.fault(node, r, w) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			abort()
		}
		q := r.URL.Query()
		var rs []rec
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			b := body[4 : 4+n]
			body = body[4+n:]
			k := int(b[0])
			rs = append(rs, rec{key: string(b[1 : 1+k]), value: append([]byte(nil), b[1+k:]...)})
		}
		do := func() (int, int64, int64) {
			s.busy.Lock()
			time.Sleep(4 * time.Millisecond)
			s.busy.Unlock()
			s.mu.Lock()
			defer s.mu.Unlock()
			t := s.topic(q.Get("topic"))
			if a := q.Get("at"); a != "" {
				at, _ := strconv.ParseInt(a, 10, 64)
				if at != int64(len(t.recs)) {
					return 412, 0, int64(len(t.recs))
				}
				s.last = node
			}
			f := s.add(t, rs)
			return 200, f, int64(len(t.recs))
		}
		s.mu.Lock()
		x, lost, late := rand.Float64(), s.lost, s.late
		s.mu.Unlock()
		if x < lost {
			if rand.Float64() < late {
				d := time.Duration(1000+rand.Intn(5000)) * time.Millisecond
				go func() { time.Sleep(d); do() }()
			} else {
				do()
			}
			<-r.Context().Done()
			abort()
		}
		st, f, e := do()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(st)
		json.NewEncoder(w).Encode(map[string]int64{"offset": f, "end": e})
	})
	mux.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) {
		if s.fault(node, r, w) {
			return
		}
		q := r.URL.Query()
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		until := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			t := s.topic(q.Get("topic"))
			wake := t.wake
			if from < int64(len(t.recs)) || wait == 0 {
				break
			}
			s.mu.Unlock()
			select {
			case <-wake:
				continue
			case <-until:
				wait = 0
				continue
			case <-r.Context().Done():
				abort()
			}
		}
		t := s.topic(q.Get("topic"))
		t.expire(keep)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(410)
			json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.recs)))
		out = binary.BigEndian.AppendUint64(out, uint64(t.first))
		for i := from; i < int64(len(t.recs)) && len(out) < 1<<20; i++ {
			c := t.recs[i]
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(c.key)+len(c.value)))
			out = append(out, byte(len(c.key)))
			out = append(out, c.key...)
			out = append(out, c.value...)
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.Write(out)
	})
	mux.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) {
		if s.fault(node, r, w) {
			return
		}
		time.Sleep(2 * time.Millisecond)
		q := r.URL.Query()
		after := q.Get("depends_on")
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		var keys []string
		for k := range t.newest {
			if k > after {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		more := false
		if len(keys) > 500 {
			keys, more = keys[:500], true
		}
		items := []map[string]any{}
		for _, k := range keys {
			c := t.newest[k]
			items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(c.value), "offset": c.off})
		}
		end := len(t.recs)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		note("store: unknown call %s %s", r.Method, r.URL.Path)
		w.WriteHeader(404)
	})
	return mux
}

// serve listens on addr and serves h.
func serve(addr string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fatal("listen %s: %v", addr, err)
	}
	srv := &http.Server{Handler: h, ErrorLog: quiet}
	go srv.Serve(l)
	return srv
}
