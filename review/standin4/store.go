package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append.
const appendTime = 4 * time.Millisecond

// maxPageItems is the most records of one page of newest records.
const maxPageItems = 500

// storeRecord is one record of a partition; keyed topics have its key in data.
type storeRecord []byte

// topic is the only partition of a topic.
type topic struct {
	records []storeRecord
	changed chan struct{}
	// turn holds one element while an append is processed.
	turn chan struct{}
}

// logStore is the platform's store: topics with one partition, conditional appends, long reads and newest records.
type logStore struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newLogStore() *logStore { return &logStore{topics: map[string]*topic{}} }

// topic returns a topic and creates it on first use. The caller holds the lock.
func (s *logStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{}), turn: make(chan struct{}, 1)}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record without a condition.
func (s *logStore) put(name, key string, value []byte) {
	rec := append([]byte{byte(len(key))}, key...)
	s.append(name, -1, []storeRecord{append(rec, value...)})
}

// append appends records at an offset, -1 for any; it reports false and the end on a conflict.
func (s *logStore) append(name string, at int, records []storeRecord) (int, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at >= 0 && at != len(t.records) {
		return 0, len(t.records), false
	}
	first := len(t.records)
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first, len(t.records), true
}

func (s *logStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return mux
}

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	at := -1
	if text := q.Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if 4+n > len(data) {
			break
		}
		records = append(records, slices.Clone(data[4:4+n]))
		data = data[4+n:]
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.turn <- struct{}{}
	time.Sleep(appendTime)
	first, end, ok := s.append(q.Get("topic"), at, records)
	<-t.turn
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": end})
}

func (s *logStore) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := len(t.records), t.changed
		var records []storeRecord
		if from < end {
			records = slices.Clone(t.records[from:end])
		}
		s.mu.Unlock()
		if len(records) > 0 || waitMS == 0 {
			writeRecords(w, end, records)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeRecords(w, end, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int, records []storeRecord) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out)
}

func (s *logStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	newest, offsets := map[string][]byte{}, map[string]int{}
	for i, rec := range t.records {
		key := string(rec[1 : 1+rec[0]])
		if newest[key], offsets[key] = rec[1+rec[0]:], i; len(newest[key]) == 0 {
			delete(newest, key)
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	var keys []string
	for key := range newest {
		if key > q.Get("depends_on") {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	more := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(newest[key]), "offset": offsets[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
