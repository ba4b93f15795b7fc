// Package tlsconf gives TLS between processes from files that may change while the process runs.
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

// lookEvery is how often the files are looked at again, at the earliest.
const lookEvery = time.Second

// Files are the PEM files of a process.
type Files struct {
	// Cert and Key are the process's own certificate chain and key.
	Cert, Key string
	// CA holds the certificates that sign those of the other processes.
	CA string
}

// Set reports whether any file is named.
func (f Files) Set() bool { return f != Files{} }

// Reloader holds what the files say and reads them again when one changes. A set of files that can't be
// read leaves the last good one in force. Use New to make one.
type Reloader struct {
	files Files

	mu     sync.Mutex
	now    *material
	looked time.Time
	stamp  [3]time.Time
	err    error
}

// material is what the files said the last time they could be read.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// New reads the files; all three must be named and sound.
func New(f Files) (*Reloader, error) {
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errors.New("certificate, key and CA must be given together")
	}
	r := &Reloader{files: f}
	m, err := load(f)
	if err != nil {
		return nil, err
	}
	r.now, r.looked = m, time.Now()
	r.stamp = stamp(f)
	return r, nil
}

// load reads the files.
func load(f Files) (*material, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate %s: %w", f.Cert, err)
	}
	pool, err := LoadCA(f.CA)
	if err != nil {
		return nil, err
	}
	return &material{cert, pool}, nil
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

// stamp returns when the files were changed; zero for one that can't be seen.
func stamp(f Files) [3]time.Time {
	var out [3]time.Time
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns what is in force and reads the files again when they changed.
func (r *Reloader) current() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.looked) < lookEvery {
		return r.now
	}
	r.looked = time.Now()
	seen := stamp(r.files)
	if seen == r.stamp {
		return r.now
	}
	m, err := load(r.files)
	r.err = err
	if err == nil {
		r.now, r.stamp = m, seen
	}
	return r.now
}

// Err returns why the files could not be read the last time they changed, if so.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Server returns the settings of a listener. A client's certificate is asked for and must be sound when
// it is given; Verified tells whether one was.
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

// Verified reports whether a connection's client showed a certificate that the CA signed.
func Verified(s *tls.ConnectionState) bool { return s != nil && len(s.VerifiedChains) > 0 }

// Dial returns a dialer that opens TLS connections over another one, with this process's certificate.
func (r *Reloader) Dial(under netdial.Func) netdial.Func {
	if under == nil {
		under = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		conn, err := under(ctx, network, addr)
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
