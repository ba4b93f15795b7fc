// Package standin is the command crocus-standin and the announcer that the stand-ins of the platform share.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
)

const (
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval = 500 * time.Millisecond
	// AnnounceLease is how long an announcement is valid.
	AnnounceLease   = 2 * time.Second
	announceTimeout = 500 * time.Millisecond
)

// Announcer announces a target or worker to nodes.
type Announcer struct {
	announcement announce.Announcement
	nodes        []string
	leaving      atomic.Bool
	seq          atomic.Int64
	client       *http.Client
}

// NewAnnouncer returns an announcer to the nodes at the given addresses; it tries them in turn until
// one accepts the announcement.
func NewAnnouncer(a announce.Announcement, nodes []string) *Announcer {
	a.LeaseMS = AnnounceLease.Milliseconds()
	return &Announcer{announcement: a, nodes: nodes, client: &http.Client{Timeout: announceTimeout}}
}

// Run announces until ctx ends.
func (an *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(AnnounceInterval)
	defer t.Stop()
	for {
		_ = an.AnnounceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Leave announces at once that no new work is wanted.
func (an *Announcer) Leave(ctx context.Context) error {
	an.leaving.Store(true)
	return an.AnnounceOnce(ctx)
}

// AnnounceOnce sends one announcement to the first node that accepts it.
func (an *Announcer) AnnounceOnce(ctx context.Context) error {
	a := an.announcement
	a.Seq = an.seq.Add(1)
	a.Leaving = an.leaving.Load()
	data, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	first := int(a.Seq) % len(an.nodes)
	for i := range an.nodes {
		if err = an.post(ctx, an.nodes[(first+i)%len(an.nodes)], data); err == nil {
			return nil
		}
	}
	return fmt.Errorf("announce %s: %w", a.Name, err)
}

// post sends an announcement to one node.
func (an *Announcer) post(ctx context.Context, node string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := an.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("status %d: %s", resp.StatusCode, msg)
	}
	return nil
}
