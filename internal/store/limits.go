package store

import "fmt"

// ErrRejected means that the store refuses a call for what it holds: repeating it can't succeed. It is an ErrRefused.
var ErrRejected = fmt.Errorf("%w for good", ErrRefused)

// Limits are the sizes that a store takes, in bytes; 0 means no limit.
type Limits struct {
	// Key bounds the key of a record, Record a record with its key.
	Key, Record int
	// Call bounds the records of one append together.
	Call int
}

const (
	// recordOverhead is what a record has besides its key and value: the length of the key.
	recordOverhead = 1
	// callOverhead is what a record adds to an append besides its size: its length.
	callOverhead = 4
)

// Size returns the size of a record, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// TooLargeError means that a record exceeds a limit of the store. It is an ErrRejected.
type TooLargeError struct {
	// What is the part that is too large; Size and Limit are in bytes.
	What        string
	Size, Limit int
}

// Error returns a message with the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes, at most %d are stored", e.What, e.Size, e.Limit)
}

// Unwrap returns ErrRejected.
func (e *TooLargeError) Unwrap() error { return ErrRejected }

// Check returns a *TooLargeError if a record exceeds a limit.
func (l Limits) Check(r Record) error {
	switch {
	case l.Key > 0 && len(r.Key) > l.Key:
		return &TooLargeError{"key", len(r.Key), l.Key}
	case l.Record > 0 && r.Size() > l.Record:
		return &TooLargeError{"record", r.Size(), l.Record}
	case l.Call > 0 && r.Size()+callOverhead > l.Call:
		return &TooLargeError{"record", r.Size(), l.Call - callOverhead}
	}
	return nil
}

// CheckAll returns the error of the first record that exceeds a limit.
func (l Limits) CheckAll(records []Record) error {
	for _, r := range records {
		if err := l.Check(r); err != nil {
			return err
		}
	}
	return nil
}

// Calls splits records into lists that fit into one append each, in order. A record that exceeds a limit by itself gets
// a list of its own.
func (l Limits) Calls(records []Record) [][]Record {
	var out [][]Record
	first, size := 0, 0
	for i := range records {
		n := records[i].Size() + callOverhead
		if i > first && (l.Call > 0 && size+n > l.Call || l.Check(records[i]) != nil || l.Check(records[i-1]) != nil) {
			out = append(out, records[first:i])
			first, size = i, 0
		}
		size += n
	}
	if first < len(records) {
		out = append(out, records[first:])
	}
	return out
}
