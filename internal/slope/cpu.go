package slope

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"runtime/pprof"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// partLabel is the profile label that names which part of a rig a goroutine belongs to.
const partLabel = "part"

// cpuProfile measures the processor time of each part of a rig until it is stopped.
type cpuProfile struct{ buf bytes.Buffer }

// startCPU starts a CPU profile; the process can run only one at a time.
func startCPU() (*cpuProfile, error) {
	p := &cpuProfile{}
	if err := pprof.StartCPUProfile(&p.buf); err != nil {
		return nil, fmt.Errorf("start profile: %w", err)
	}
	return p, nil
}

// stop stops the profile and returns the processor time by part. Unlabelled time of the runtime, such as
// garbage collection, is distributed over the parts in proportion to their own time.
func (p *cpuProfile) stop() (map[string]time.Duration, error) {
	pprof.StopCPUProfile()
	z, err := gzip.NewReader(&p.buf)
	if err != nil {
		return nil, fmt.Errorf("read profile: %w", err)
	}
	raw, err := io.ReadAll(z)
	if err != nil {
		return nil, fmt.Errorf("read profile: %w", err)
	}
	byPart, err := parseProfile(raw)
	if err != nil {
		return nil, err
	}
	return distributeUnlabelled(byPart), nil
}

// distributeUnlabelled distributes the time without a label over the labelled parts in proportion to their time.
func distributeUnlabelled(byPart map[string]time.Duration) map[string]time.Duration {
	shared := byPart[""]
	delete(byPart, "")
	var sum time.Duration
	for _, d := range byPart {
		sum += d
	}
	if sum == 0 {
		return byPart
	}
	for part, d := range byPart {
		byPart[part] = d + time.Duration(float64(shared)*float64(d)/float64(sum))
	}
	return byPart
}

// Field numbers of the profile format that pprof writes.
const (
	fieldSample      = 2
	fieldStringTable = 6
	fieldSampleValue = 2
	fieldSampleLabel = 3
	fieldLabelKey    = 1
	fieldLabelStr    = 2
)

// sample is one sample of a profile: its processor time and its labels, whose keys and values are indexes into the
// string table.
type sample struct {
	nanos  int64
	labels map[uint64]uint64
}

// parseProfile sums the processor time of the samples by their part label.
func parseProfile(raw []byte) (map[string]time.Duration, error) {
	var samples []sample
	var table []string
	err := fields(raw, func(num protowire.Number, _ uint64, data []byte) error {
		switch num {
		case fieldSample:
			s, err := parseSample(data)
			samples = append(samples, s)
			return err
		case fieldStringTable:
			table = append(table, string(data))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	out := map[string]time.Duration{}
	for _, s := range samples {
		part := ""
		for k, v := range s.labels {
			if table[k] == partLabel {
				part = table[v]
			}
		}
		out[part] += time.Duration(s.nanos)
	}
	return out, nil
}

// parseSample decodes one sample; its second value is the processor time.
func parseSample(raw []byte) (sample, error) {
	s := sample{labels: map[uint64]uint64{}}
	err := fields(raw, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldSampleValue:
			// pprof writes two values as separate fields, more of them packed.
			s.nanos = int64(v)
			for remaining := data; len(remaining) > 0; {
				v, n := protowire.ConsumeVarint(remaining)
				if n < 0 {
					return protowire.ParseError(n)
				}
				s.nanos, remaining = int64(v), remaining[n:]
			}
		case fieldSampleLabel:
			var key, val uint64
			err := fields(data, func(num protowire.Number, v uint64, _ []byte) error {
				switch num {
				case fieldLabelKey:
					key = v
				case fieldLabelStr:
					val = v
				}
				return nil
			})
			s.labels[key] = val
			return err
		}
		return nil
	})
	return s, err
}

// fields calls f for every field of a protobuf message with its number and its varint or its bytes.
func fields(raw []byte, f func(protowire.Number, uint64, []byte) error) error {
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		var v uint64
		var data []byte
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(raw)
		case protowire.BytesType:
			data, n = protowire.ConsumeBytes(raw)
		default:
			n = protowire.ConsumeFieldValue(num, typ, raw)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		if err := f(num, v, data); err != nil {
			return err
		}
	}
	return nil
}
