package ctl_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/ctl"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
)

// certificate writes a self-signed certificate and its key and returns the files.
func certificate(t *testing.T) tlsconf.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := tlsconf.Files{Cert: filepath.Join(t.TempDir(), "cert"), Key: filepath.Join(t.TempDir(), "key")}
	f.CA = f.Cert
	for path, b := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// TestOverTLS checks that nodes communicate with each other and with operators over TLS, that plain HTTP
// fails, and that the protocol between nodes requires a client certificate.
func TestOverTLS(t *testing.T) {
	f := certificate(t)
	secure, err := tlsconf.New(f)
	if err != nil {
		t.Fatal(err)
	}
	in, err := start(t.Cleanup, secure)
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("CROCUS_TOKEN", "platform")
	rec := filepath.Join(t.TempDir(), "rec.yaml")
	if err := os.WriteFile(rec, []byte("{kind: service, name: x, schema: 1, spec: {budget_ms: 5}}"), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := ctl.Main(append([]string{"--node", in.addrs[0]}, args...), &out, &out)
		return code, out.String()
	}
	for code, out := run("--tls-ca", f.CA, "status"); strings.Count(out, "entry ") != 2; code, out = run("--tls-ca", f.CA, "status") {
		if code != app.ExitOK {
			t.Fatalf("status: exit code %d: %s", code, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if code, out := run("--tls-ca", f.CA, "apply", "--wait", rec); code != app.ExitOK || !strings.Contains(out, "in force in 2 processes") {
		t.Errorf("apply over TLS: exit code %d: %s", code, out)
	}
	if code, out := run("list"); code != app.ExitError {
		t.Errorf("list without TLS: exit code %d: %s", code, out)
	}
	pool, err := tlsconf.LoadCA(f.CA)
	if err != nil {
		t.Fatal(err)
	}
	bare := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := bare.Post("https://"+in.addrs[0]+peerv1connect.PeerServiceExchangeProcedure, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusForbidden {
		t.Errorf("a peer call without a certificate got status %d", resp.StatusCode)
	}
}
