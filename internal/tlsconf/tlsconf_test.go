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

// handshake connects client to server over loopback TCP and returns the serial
// number of the server's certificate.
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
	// With TLS 1.3, the client learns that its certificate was rejected only at
	// the first read.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// forceReload sets a later modification time on the certificate file and waits
// until the reloader checks the files at the next handshake.
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

// Guards against accepting a certificate from another authority, in either
// direction: a server must reject such a client, and a client such a server.
func TestCertificateOfAnotherAuthorityIsRejected(t *testing.T) {
	authority, otherAuthority := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server := newReloader(t, authority.Issue(t, t.TempDir()))
	client := newReloader(t, authority.Issue(t, t.TempDir()))
	if _, err := handshake(t, server, client); err != nil {
		t.Fatalf("the server rejected a client whose certificate is from its own authority: %v", err)
	}
	mismatched := otherAuthority.Issue(t, t.TempDir())
	mismatched.CA = filepath.Join(t.TempDir(), "ca.pem")
	authority.WriteCA(t, mismatched.CA)
	if _, err := handshake(t, server, newReloader(t, mismatched)); err == nil {
		t.Fatal("the server accepted a client whose certificate is from another authority")
	}
	if _, err := handshake(t, newReloader(t, otherAuthority.Issue(t, t.TempDir())), client); err == nil {
		t.Fatal("the client accepted a server whose certificate is from another authority")
	}
}

// Guards against a server that keeps its certificate after a renewal, and against
// one that loses its usable certificate when the file is replaced by a broken one.
func TestFilesAreReloaded(t *testing.T) {
	authority := tlstest.NewAuthority(t)
	dir := t.TempDir()
	server := newReloader(t, authority.Issue(t, dir))
	client := newReloader(t, authority.Issue(t, t.TempDir()))
	before, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	authority.Issue(t, dir)
	forceReload(t, dir)
	after, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if before == after {
		t.Fatal("the server still presents the previous certificate after the file changed")
	}
	if err := os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	forceReload(t, dir)
	if _, err := handshake(t, server, client); err != nil {
		t.Fatalf("the handshake failed after the certificate file was broken: %v", err)
	}
}
