package tlsconf

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// ca is a certificate authority.
type ca struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newCA returns an authority with a new key.
func newCA(t *testing.T) *ca {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &ca{cert, key}
}

// write writes a new certificate with a serial number, its key and the CA certificate to files.
func (c *ca) write(t *testing.T, f Files, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, c.cert, &key.PublicKey, c.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, b := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: raw},
		f.CA: {Type: "CERTIFICATE", Bytes: c.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// files returns paths in a new directory.
func files(t *testing.T) Files {
	dir := t.TempDir()
	return Files{filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")}
}

// serial connects and returns the serial number of the server's certificate.
func serial(t *testing.T, client *Reloader, addr string) int64 {
	conn, err := client.Dial(nil)(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestReload checks that a listener uses a changed certificate without a restart and keeps the last valid one
// when the files are bad, and that no connection comes about between processes of different authorities.
func TestReload(t *testing.T) {
	ours, theirs := newCA(t), newCA(t)
	server, client, other := files(t), files(t), files(t)
	ours.write(t, server, 10)
	ours.write(t, client, 11)
	theirs.write(t, other, 12)
	var rs []*Reloader
	for _, f := range []Files{server, client, other} {
		r, err := New(f)
		if err != nil {
			t.Fatal(err)
		}
		rs = append(rs, r)
	}
	l, err := tls.Listen("tcp", "127.0.0.1:0", rs[0].Server())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go greet(l)
	if n := serial(t, rs[1], l.Addr().String()); n != 10 {
		t.Errorf("serial %d, want 10", n)
	}
	if _, err := rs[2].Dial(nil)(context.Background(), "tcp", l.Addr().String()); err == nil {
		t.Error("a process of another authority was accepted")
	}
	ours.write(t, server, 20)
	rs[0].expireCache()
	if n := serial(t, rs[1], l.Addr().String()); n != 20 {
		t.Errorf("serial %d after a change, want 20", n)
	}
	if err := os.WriteFile(server.Cert, []byte("nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	rs[0].expireCache()
	if n := serial(t, rs[1], l.Addr().String()); n != 20 || rs[0].Err() == nil {
		t.Errorf("serial %d (error %v) with bad files, want 20 and an error", n, rs[0].Err())
	}
}

// expireCache makes the reloader read its files at the next handshake.
func (r *Reloader) expireCache() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChecked, r.modTimes = time.Time{}, [3]time.Time{}
}

// greet writes one byte to every client whose certificate is verified.
func greet(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			c := conn.(*tls.Conn)
			state := tls.ConnectionState{}
			if c.Handshake() == nil {
				state = c.ConnectionState()
			}
			if Verified(&state) {
				_, _ = c.Write([]byte{1})
			}
		}()
	}
}
