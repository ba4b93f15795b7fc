package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
)

// open checks the settings and creates the HTTP client.
func (t *tool) open() error {
	if err := t.set.Check(); err != nil {
		return &usageError{err.Error()}
	}
	t.scheme, t.client = "http", &http.Client{}
	if t.ca == "" {
		return nil
	}
	pool, err := tlsconf.LoadCA(t.ca)
	if err != nil {
		return &usageError{err.Error()}
	}
	t.scheme = "https"
	t.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	return nil
}

// apiPath escapes the parts of an API path and joins them.
func apiPath(parts ...string) string {
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/" + strings.Join(parts, "/")
}

// call sends one JSON request to the node; a problem response becomes an error.
func (t *tool) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.scheme+"://"+t.node+path, body)
	if err != nil {
		return err
	}
	if t.token != "" {
		req.Header.Set("Authorization", "Bearer "+t.token)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("node %s: %w", t.node, err)
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return problemError(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("node %s: status %d: %w", t.node, resp.StatusCode, err)
	}
	return nil
}

// problemError converts a problem response to an error.
func problemError(resp *http.Response) error {
	var p jsonhttp.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	text := p.Detail
	if text == "" {
		text = p.Title
	}
	switch resp.StatusCode {
	case http.StatusUnauthorized, http.StatusForbidden:
		return fail(ExitNotAllowed, "%s", text)
	case http.StatusNotFound:
		return fail(ExitNotFound, "%s", text)
	case http.StatusBadRequest:
		return fail(ExitInvalid, "%s", text)
	}
	return fmt.Errorf("%s: %s", p.Title, text)
}
