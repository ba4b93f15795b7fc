// Package tlsconf provides TLS configurations from certificate files that may change while the process runs.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/netdial"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// Files are the PEM files of a process.
type Files struct {
	// Cert and Key are the process's own certificate chain and key.
	Cert, Key string
	// CA holds the certificates of the authorities that sign those of the other processes.
	CA string
}

// IsSet reports whether any path is set.
func (f Files) IsSet() bool { return f != Files{} }

// Reloader holds the certificates and the key of the files and reads them again when one changes. When the
// changed files can't be read, those loaded last stay in use. Use New to make one.
type Reloader struct {
	files Files

	mu          sync.Mutex
	loaded      *keyMaterial
	lastChecked time.Time
	modTimes    [3]time.Time
	err         error
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// New reads the files; all three must be set and valid.
func New(f Files) (*Reloader, error) {
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errors.New("certificate, key and CA must be given together")
	}
	r := &Reloader{files: f}
	m, err := load(f)
	if err != nil {
		return nil, err
	}
	r.loaded, r.lastChecked = m, time.Now()
	r.modTimes = modTimes(f)
	return r, nil
}

// load reads and parses the files.
func load(f Files) (*keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	pool, err := LoadCA(f.CA)
	if err != nil {
		return nil, err
	}
	return &keyMaterial{cert, pool}, nil
}

// LoadCA reads the certificates of a file into a pool.
func LoadCA(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA %s: no certificate found", path)
	}
	return pool, nil
}

// modTimes returns the modification times of the files; zero for a file whose status can't be read.
func modTimes(f Files) [3]time.Time {
	var out [3]time.Time
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the key material in use. It reads the files again when they have changed, at most once per
// checkInterval.
func (r *Reloader) current() *keyMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastChecked) < checkInterval {
		return r.loaded
	}
	r.lastChecked = time.Now()
	seen := modTimes(r.files)
	if seen == r.modTimes {
		return r.loaded
	}
	m, err := load(r.files)
	r.err = err
	if err == nil {
		r.loaded, r.modTimes = m, seen
	}
	return r.loaded
}

// Err returns the error of the latest reload; nil when it succeeded.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Server returns the configuration of a listener. It requests a client certificate, which must be valid if the
// client sends one; Verified reports whether it did.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
				ClientCAs: m.pool, ClientAuth: tls.VerifyClientCertIfGiven,
				GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &m.cert, nil },
			}, nil
		},
	}
}

// Verified reports whether the client of a connection sent a certificate that the CA signed.
func Verified(s *tls.ConnectionState) bool { return s != nil && len(s.VerifiedChains) > 0 }

// Dial returns a dialer that opens TLS connections with this process's certificate over connections of base;
// nil for the standard dialer.
func (r *Reloader) Dial(base netdial.Func) netdial.Func {
	if base == nil {
		base = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		conn, err := base(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		m := r.current()
		c := tls.Client(conn, &tls.Config{
			MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: m.pool,
			Certificates: []tls.Certificate{m.cert}, NextProtos: []string{"http/1.1"},
		})
		if err := c.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return c, nil
	}
}
