package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v4"
)

// applyCommand publishes the records of files.
func (t *tool) applyCommand() *ff.Command {
	return &ff.Command{
		Name: "apply", Usage: "crocusctl apply FILE...", ShortHelp: "publish configuration records",
		Exec: t.apply,
	}
}

// apply publishes every file in turn and stops at the first that is refused.
func (t *tool) apply(ctx context.Context, files []string) error {
	if len(files) == 0 {
		return &usageError{"apply: name at least one file"}
	}
	if err := t.set.Check(); err != nil {
		return &usageError{err.Error()}
	}
	for _, f := range files {
		if err := t.applyFile(ctx, f); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
	}
	return nil
}

// applyFile publishes one record.
func (t *tool) applyFile(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	raw, err := yaml.YAMLToJSON(data)
	if err != nil {
		return err
	}
	body := struct {
		ID string `json:"id"`
		By string `json:"by"`
		config.Proposal
	}{ID: record.NewID(), By: t.by}
	if err := json.Unmarshal(raw, &body.Proposal); err != nil {
		return err
	}
	var v config.Verdict
	if err := t.call(ctx, http.MethodPost, "/v1/records", body, &v); err != nil {
		return err
	}
	if !v.Accepted {
		return fmt.Errorf("%s refused: %s", v.Key, v.Reason)
	}
	fmt.Fprintf(t.stdout, "%s version %d is in force\n", v.Key, v.Current)
	return nil
}

// call does one JSON call to the node; a problem answer becomes an error.
func (t *tool) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.node+path, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p jsonhttp.Problem
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			return err
		}
		return fmt.Errorf("%s: %s", p.Title, p.Detail)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
