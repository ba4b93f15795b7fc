package main

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the metadata store, as the settings file gives them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
)

// Store is the platform's metadata store: topics of one partition each, kept in memory.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// refusedLarge counts appends that were refused because of their size.
	refusedLarge int
}

// topic is partition 0 of a topic.
type topic struct {
	appending sync.Mutex // a partition processes its appends one at a time
	records   [][]byte
	changed   chan struct{} // closed at the next append
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[string]*topic{}} }

// topic returns a topic and creates it on first use.
func (s *Store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// keyed encodes a record of a keyed topic without its length.
func keyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Put appends a record as the operator does.
func (s *Store) Put(name, key string, value []byte) {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{keyed(key, value)})
}

// add appends records and wakes readers. The caller holds the store's lock.
func (t *topic) add(records [][]byte) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Newest returns the newest value of a key.
func (s *Store) Newest(name, key string) []byte {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(t.records) - 1; i >= 0; i-- {
		if k, v, ok := split(t.records[i]); ok && k == key {
			return v
		}
	}
	return nil
}

// split separates the key and the value of a record of a keyed topic.
func split(r []byte) (key string, value []byte, ok bool) {
	if len(r) == 0 || 1+int(r[0]) > len(r) {
		return "", nil, false
	}
	return string(r[1 : 1+int(r[0])]), r[1+int(r[0]):], true
}

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return mux
}

// serveAppend appends records, all or nothing.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	large := len(data) > callBytes
	for rest := data; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			writeJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		large = large || n > recordBytes
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	if large {
		s.mu.Lock()
		s.refusedLarge++
		s.mu.Unlock()
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	}
	if name := q.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	t := s.topic(q.Get("topic"))
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	t.add(records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": len(t.records)})
}

// serveRead returns records from an offset on, as soon as there are any.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	t := s.topic(q.Get("topic"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		end, changed := len(t.records), t.changed
		if from < end || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i, rec := range t.records[min(from, end):] {
				if i > 0 && len(out)+len(rec) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// serveNewest returns a page of the newest records of each key.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t := s.topic(q.Get("topic"))
	s.mu.Lock()
	newest := map[string]int{}
	for i, rec := range t.records {
		if k, v, ok := split(rec); ok && strings.HasPrefix(q.Get("topic"), "keyed.") {
			if len(v) == 0 {
				delete(newest, k)
			} else {
				newest[k] = i
			}
		}
	}
	var keys []string
	for k := range newest {
		if k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		_, v, _ := split(t.records[newest[k]])
		if len(items) == pageItems || size > 0 && size+len(v) > pageBytes {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
