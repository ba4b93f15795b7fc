package ctl

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/audit"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

// auditCommand returns the command that shows the audit trail.
func (t *tool) auditCommand() *ff.Command {
	var since, until, who, name, action string
	var limit int64
	flags := settings.New("audit")
	flags.String(&since, "since", "", false, "oldest time to show, such as 2026-01-31T08:00:00Z, or how long ago, such as 2h")
	flags.String(&until, "until", "", false, "newest time to show, written like --since")
	flags.String(&who, "who", "", false, "who acted")
	flags.String(&name, "name", "", false, "part of the name of what was acted on")
	flags.String(&action, "action", "", false, "kind of action, such as config-change or evict")
	flags.Int(&limit, "limit", 100, 1, 1000, "most lines to show")
	return t.subcommand("audit", "audit [--since T] [--until T] [--who W] [--name N]", "show the audit trail, newest first", flags,
		func(ctx context.Context, _ []string) error {
			q := url.Values{"limit": {strconv.FormatInt(limit, 10)}}
			for key, text := range map[string]string{"since": timeBeforeNow(since), "until": timeBeforeNow(until), "who": who, "name": name, "action": action} {
				if text != "" {
					q.Set(key, text)
				}
			}
			return t.audit(ctx, q)
		})
}

// timeBeforeNow converts a duration to the time that long before now; other text is returned unchanged.
func timeBeforeNow(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return text
	}
	return time.Now().Add(-d).UTC().Format(time.RFC3339)
}

// audit prints the audit records that a query selects.
func (t *tool) audit(ctx context.Context, q url.Values) error {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var lines []audit.Record
	if err := t.call(ctx, http.MethodGet, "/v1/audit?"+q.Encode(), nil, &lines); err != nil {
		return err
	}
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, []string{
			l.Time.UTC().Format(time.RFC3339), l.Who, l.Action, l.Name, dashIfEmpty(l.Workspace), l.Verdict,
			strconv.FormatInt(int64(l.Offset), 10), dashIfEmpty(l.Reason),
		})
	}
	return t.print(lines, []string{"TIME", "WHO", "ACTION", "NAME", "WORKSPACE", "VERDICT", "OFFSET", "REASON"}, rows)
}
