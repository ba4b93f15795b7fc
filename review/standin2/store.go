package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedRecord is one record of a topic: the length of its key, the key and the value.
type storedRecord []byte

// key returns the key of a record.
func (r storedRecord) key() string {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return ""
	}
	return string(r[1 : 1+int(r[0])])
}

// value returns the value of a record.
func (r storedRecord) value() []byte {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return nil
	}
	return r[1+int(r[0]):]
}

// topic is one partition of a topic whose records have keys.
type topic struct {
	records []storedRecord
	// first is the offset of the first record that reads return; the newest of each key stays.
	first  int
	newest map[string]int
	added  chan struct{}
	// free is when the partition has carried out the appends that wait.
	free time.Time
}

// fate is what happens to one call.
type fate int

const (
	answered fate = iota
	// lost: carried out at once, not answered.
	lost
	// late: not answered, and carried out after a delay.
	late
	// refused: 503, nothing is done.
	refused
	// silent: no answer, nothing is done.
	silent
)

// metaStore stands in for the platform's store.
type metaStore struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appendMS float64
	// fateOf decides what happens to a call; nil means that all are answered.
	fateOf func(r *http.Request, body []byte) (fate, time.Duration)
	rec    *recorder
}

func newMetaStore(rec *recorder) *metaStore {
	return &metaStore{topics: map[string]*topic{}, appendMS: 4, rec: rec}
}

// topicOf returns a topic and creates it on first use. The caller holds the lock.
func (s *metaStore) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, added: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends one record as the operator does.
func (s *metaStore) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topicOf(name), []storedRecord{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records. The caller holds the lock.
func (s *metaStore) add(t *topic, records []storedRecord) int {
	at := len(t.records)
	for i, r := range records {
		t.records = append(t.records, r)
		if len(r.value()) == 0 {
			delete(t.newest, r.key())
		} else {
			t.newest[r.key()] = at + i
		}
	}
	if len(records) > 0 {
		close(t.added)
		t.added = make(chan struct{})
	}
	return at
}

// ServeHTTP serves the calls of the log.
func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, delay := answered, time.Duration(0)
	s.mu.Lock()
	decide := s.fateOf
	s.mu.Unlock()
	if decide != nil {
		f, delay = decide(r, body)
	}
	switch f {
	case refused:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case lost, late:
		if f == late {
			go func() {
				time.Sleep(delay)
				status, _ := s.do(r, body)
				s.rec.note("store carries a late call out: %s status=%d", r.URL.String(), status)
			}()
		} else {
			s.do(r, body)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	switch r.URL.Path {
	case "/v1/log-append":
		status, answer := s.do(r, body)
		reply(w, status, answer)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.newestOf(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

// do carries an append out.
func (s *metaStore) do(r *http.Request, body []byte) (int, map[string]any) {
	if r.URL.Path != "/v1/log-append" {
		return http.StatusOK, nil
	}
	q := r.URL.Query()
	var records []storedRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return http.StatusBadRequest, map[string]any{}
		}
		records = append(records, append(storedRecord{}, body[4:4+n]...))
		body = body[4+n:]
	}
	s.mu.Lock()
	t := s.topicOf(q.Get("topic"))
	now := time.Now()
	if t.free.Before(now) {
		t.free = now
	}
	if t.free.Sub(now) > 2*time.Second {
		s.mu.Unlock()
		return http.StatusServiceUnavailable, map[string]any{}
	}
	t.free = t.free.Add(time.Duration(s.appendMS * float64(time.Millisecond)))
	wait := t.free.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" {
		if n, err := strconv.Atoi(at); err != nil || n != len(t.records) {
			return http.StatusPreconditionFailed, map[string]any{"end": len(t.records)}
		}
	}
	at := s.add(t, records)
	return http.StatusOK, map[string]any{"offset": at, "end": len(t.records)}
}

// read answers with the records from an offset on.
func (s *metaStore) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topicOf(q.Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < len(t.records) || wait <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, uint64(t.first))
			for i := from; i < len(t.records) && len(out) < maxKB<<10; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Write(out)
			return
		}
		added := t.added
		s.mu.Unlock()
		select {
		case <-added:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// newestOf answers with a page of the newest records of each key.
func (s *metaStore) newestOf(w http.ResponseWriter, r *http.Request) {
	const page = 500
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topicOf(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	items := []map[string]any{}
	for _, k := range keys {
		at := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[at].value()), "offset": at})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

// newestValue returns the newest value of a key.
func (s *metaStore) newestValue(name, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	at, ok := t.newest[key]
	if !ok {
		return nil, false
	}
	return t.records[at].value(), true
}

// expire drops the history of all topics.
func (s *metaStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

// hasKey reports whether an append holds a record with a key.
func hasKey(body []byte, key string) bool {
	return strings.Contains(string(body), string(byte(len(key)))+key)
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
