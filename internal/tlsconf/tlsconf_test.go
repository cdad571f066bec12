package tlsconf

import (
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

// authority issues certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key, serial: 1}
}

// issue writes a fresh certificate for 127.0.0.1 into dir and returns its files.
func (a *authority) issue(t *testing.T, dir string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "peer"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects client to server over a pipe of loopback TCP and returns
// the server's certificate serial.
func handshake(t *testing.T, server, client *Reloader) (int64, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("x"))
	}()
	address := listener.Addr().String()
	conn, err := tls.Dial("tcp", address, client.Client(address))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	// With TLS 1.3 a refused client certificate shows at the first read.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func newReloader(t *testing.T, files Files) *Reloader {
	r, err := NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestUnknownCertificateGetsInNowhere(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := newReloader(t, ours.issue(t, t.TempDir()))
	friend := newReloader(t, ours.issue(t, t.TempDir()))
	if _, err := handshake(t, server, friend); err != nil {
		t.Fatalf("a peer of the same authority was refused: %v", err)
	}
	foreign := theirs.issue(t, t.TempDir())
	foreign.CA = filepath.Join(t.TempDir(), "ca.pem")
	writePEM(t, foreign.CA, "CERTIFICATE", ours.certificate.Raw)
	if _, err := handshake(t, server, newReloader(t, foreign)); err == nil {
		t.Fatal("a client with a foreign certificate got in")
	}
	if _, err := handshake(t, newReloader(t, theirs.issue(t, t.TempDir())), friend); err == nil {
		t.Fatal("a server with a foreign certificate was trusted")
	}
}

func TestFilesAreReloaded(t *testing.T) {
	issuer := newAuthority(t)
	dir := t.TempDir()
	server := newReloader(t, issuer.issue(t, dir))
	client := newReloader(t, issuer.issue(t, t.TempDir()))
	before, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	issuer.issue(t, dir)
	server.checked = time.Now().Add(-2 * checkInterval)
	server.current.modified[0] = time.Time{}
	after, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if before == after {
		t.Fatal("the changed certificate was not read")
	}
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.checked = time.Now().Add(-2 * checkInterval)
	if _, err := handshake(t, server, client); err != nil {
		t.Fatalf("a broken file replaced a usable one: %v", err)
	}
}
