package operator

import (
	"os"
	"strings"
	"sync"
	"time"
)

// reloadEvery is how often a file is looked at again.
const reloadEvery = time.Second

// Source gives the operators of a settings text or file; a file is read again when it changes.
type Source struct {
	path string

	mu      sync.Mutex
	list    List
	looked  time.Time
	changed time.Time
	err     error
}

// Open reads operators. The setting is the text itself when it has more than one line or starts with
// a brace, else the path of a file; empty for no operators.
func Open(setting string) (*Source, error) {
	s := &Source{}
	if strings.TrimSpace(setting) == "" {
		return s, nil
	}
	if strings.ContainsAny(setting, "\n{") {
		var err error
		s.list, err = Parse([]byte(setting))
		return s, err
	}
	s.path = setting
	return s, s.load(time.Now())
}

// load reads the file when it has changed. The caller holds the lock or is alone.
func (s *Source) load(now time.Time) error {
	s.looked = now
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.ModTime().Equal(s.changed) {
		return s.err
	}
	data, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	s.changed = info.ModTime()
	list, err := Parse(data)
	if err == nil {
		s.list = list
	}
	return err
}

// List returns the operators now. A file that can't be read leaves those known before, and Err tells.
func (s *Source) List() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.path != "" && now.Sub(s.looked) > reloadEvery {
		s.err = s.load(now)
	}
	return s.list
}

// Err returns why the file could not be read the last time, if so.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
