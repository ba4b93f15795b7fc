package operator

import (
	"os"
	"strings"
	"sync"
	"time"
)

// checkInterval is the shortest time between two checks of the file for changes.
const checkInterval = time.Second

// Source provides the operators of a settings text or file; it reads a file again when it changes.
type Source struct {
	path string

	mu          sync.Mutex
	list        List
	lastChecked time.Time
	modTime     time.Time
	err         error
}

// Open reads operators. The setting is the document itself when it contains a newline or an opening brace,
// else the path of a file; empty or blank for no operators.
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

// load reads the file if its modification time has changed. The caller holds the lock or has the only
// reference to s.
func (s *Source) load(now time.Time) error {
	s.lastChecked = now
	info, err := os.Stat(s.path)
	if err != nil {
		return err
	}
	if info.ModTime().Equal(s.modTime) {
		return s.err
	}
	data, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	s.modTime = info.ModTime()
	list, err := Parse(data)
	if err == nil {
		s.list = list
	}
	return err
}

// List returns the current operators. When the file can't be read, they stay those of the last successful
// read, and Err returns the error.
func (s *Source) List() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.path != "" && now.Sub(s.lastChecked) > checkInterval {
		s.err = s.load(now)
	}
	return s.list
}

// Err returns the error of the latest failed check of the file; nil once a changed file was read successfully.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
