package cell

import (
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// maxGroup is how many records one append carries at the most.
const maxGroup = 200

// outbox keeps records until they are seen in the stream. A record whose append failed or whose
// answer was lost is appended again under the same id, which folds without effect the second time.
type outbox struct {
	waiting  []record.Envelope
	sent     map[string]bool
	inFlight bool
}

// newOutbox returns an empty outbox.
func newOutbox() outbox { return outbox{sent: map[string]bool{}} }

// add queues a record.
func (o *outbox) add(kind record.Kind, by string, body any) {
	env, err := record.New(record.NewID(), kind, SchemaVersion, by, body)
	if err != nil {
		return
	}
	o.waiting = append(o.waiting, env)
}

// take returns what is to be appended now, as one group, or nil.
func (o *outbox) take() []record.Envelope {
	if o.inFlight {
		return nil
	}
	var out []record.Envelope
	for _, e := range o.waiting {
		if !o.sent[e.ID] && len(out) < maxGroup {
			out = append(out, e)
			o.sent[e.ID] = true
		}
	}
	o.inFlight = out != nil
	return out
}

// done takes the answer to the append in flight; after an error its records are due again.
func (o *outbox) done(records []record.Envelope, err error) {
	o.inFlight = false
	if err == nil {
		return
	}
	for _, e := range records {
		delete(o.sent, e.ID)
	}
}

// seen drops a record that stands in the stream.
func (o *outbox) seen(e logsvc.Entry) {
	if len(o.waiting) == 0 {
		return
	}
	env, err := record.Decode(e.Data)
	if err != nil {
		return
	}
	for i, w := range o.waiting {
		if w.ID == env.ID {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			delete(o.sent, env.ID)
			return
		}
	}
}
