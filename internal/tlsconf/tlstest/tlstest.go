// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
)

// validity is half the period of validity: certificates are valid from validity before
// their creation until validity after it.
const validity = time.Hour

// Authority is a certificate authority. It is not safe for concurrent use.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// serial is the serial number of the certificate issued last.
	serial int64
}

// NewAuthority returns a new authority with a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-validity),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{certificate: certificate, key: key, serial: 1}
}

// Issue creates a key and a certificate for 127.0.0.1 and the loopback address of
// the test process (see package testhost). It writes them and the authority's certificate into dir and returns
// the paths.
func (a *Authority) Issue(t testing.TB, dir string) tlsconf.Files {
	key := newKey(t)
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: "peer"},
		NotBefore:    time.Now().Add(-validity),
		NotAfter:     time.Now().Add(validity),
		IPAddresses:  []net.IP{net.ParseIP("127.0.0.1"), net.ParseIP(testhost.Address())},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := tlsconf.Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	writePEM(t, files.Cert, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	a.WriteCA(t, files.CA)
	return files
}

// WriteCA writes the authority's certificate to the file path.
func (a *Authority) WriteCA(t testing.TB, path string) {
	writePEM(t, path, "CERTIFICATE", a.certificate.Raw)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// writePEM writes one PEM block to the file path.
func writePEM(t testing.TB, path, blockType string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
