package tlsconf_test

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/tlsconf/tlstest"
)

// handshake connects client to server over a pipe of loopback TCP and returns
// the server's certificate serial.
func handshake(t *testing.T, server, client *tlsconf.Reloader) (int64, error) {
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

// forceReload makes the files look changed and waits until the reloader looks again.
func forceReload(t *testing.T, dir string) {
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	time.Sleep(tlsconf.CheckInterval)
}

func newReloader(t *testing.T, files tlsconf.Files) *tlsconf.Reloader {
	r, err := tlsconf.NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestUnknownCertificateGetsInNowhere(t *testing.T) {
	ours, theirs := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server := newReloader(t, ours.Issue(t, t.TempDir()))
	friend := newReloader(t, ours.Issue(t, t.TempDir()))
	if _, err := handshake(t, server, friend); err != nil {
		t.Fatalf("a peer of the same authority was refused: %v", err)
	}
	foreign := theirs.Issue(t, t.TempDir())
	foreign.CA = filepath.Join(t.TempDir(), "ca.pem")
	ours.WriteCA(t, foreign.CA)
	if _, err := handshake(t, server, newReloader(t, foreign)); err == nil {
		t.Fatal("a client with a foreign certificate got in")
	}
	if _, err := handshake(t, newReloader(t, theirs.Issue(t, t.TempDir())), friend); err == nil {
		t.Fatal("a server with a foreign certificate was trusted")
	}
}

func TestFilesAreReloaded(t *testing.T) {
	issuer := tlstest.NewAuthority(t)
	dir := t.TempDir()
	server := newReloader(t, issuer.Issue(t, dir))
	client := newReloader(t, issuer.Issue(t, t.TempDir()))
	before, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	issuer.Issue(t, dir)
	forceReload(t, dir)
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
	forceReload(t, dir)
	if _, err := handshake(t, server, client); err != nil {
		t.Fatalf("a broken file replaced a usable one: %v", err)
	}
}
