// Package tlsconf builds TLS configurations from files and reloads the files
// when they change, without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

// CheckInterval is how often, at most, the files are looked at.
const CheckInterval = time.Second

// Files names the PEM files of one end of a connection.
type Files struct {
	// Cert and Key are the process's own certificate chain and private key.
	Cert string `ini:"cert"`
	Key  string `ini:"key"`
	// CA holds the authorities that a peer's certificate must come from.
	CA string `ini:"ca"`
}

// Enabled reports whether TLS is configured.
func (f *Files) Enabled() bool { return f.Cert != "" }

// Validate implements settings.Validator.
func (f *Files) Validate() (string, error) {
	if (f.Cert == "") != (f.Key == "") {
		return "key", errors.New("cert and key go together")
	}
	if !f.Enabled() {
		return "ca", nil
	}
	if _, err := load(*f); err != nil {
		return "cert", err
	}
	return "", nil
}

// material is what the files held when they were last read.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modified    [3]time.Time
}

// Reloader hands out TLS configurations that follow the files.
type Reloader struct {
	files Files

	mu      sync.Mutex
	current *material
	checked time.Time
}

// NewReloader reads the files once and fails when they are not usable.
func NewReloader(files Files) (*Reloader, error) {
	current, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: current, checked: time.Now()}, nil
}

func load(files Files) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fault.Wrap(err, "load certificate", files.Cert)
	}
	m := &material{certificate: certificate, modified: modifiedTimes(files)}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fault.Wrap(err, "load authorities", files.CA)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, fault.New("no certificate in file", "load authorities", files.CA)
	}
	return m, nil
}

func modifiedTimes(files Files) [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// latest returns the files' content, read again when a file has changed. Files
// that cannot be used leave the former content in force.
func (r *Reloader) latest() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < CheckInterval {
		return r.current
	}
	r.checked = time.Now()
	if modifiedTimes(r.files) == r.current.modified {
		return r.current
	}
	if fresh, err := load(r.files); err == nil {
		r.current = fresh
	}
	return r.current
}

// Server returns a configuration for a listener. With a CA file, each client
// must show a certificate from one of its authorities.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := r.latest()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{m.certificate},
			}
			if m.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = m.authorities
				config.SessionTicketsDisabled = true
			}
			return config, nil
		},
	}
}

// Client returns a configuration for one connection to address, an IP number
// and port, which the server's certificate must name.
func (r *Reloader) Client(address string) *tls.Config {
	m := r.latest()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   host,
	}
}
